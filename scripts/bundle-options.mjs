/** Options of esbuild that all bundles of cicadapost share. */
import {readFileSync} from 'node:fs';

const {version} = JSON.parse(readFileSync('packages/cli/package.json', 'utf8'));

export const bundleOptions = {
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	// Prefers ES modules: esbuild can't bundle the way in which the UMD build of jsonc-parser loads its own files.
	mainFields: ['module', 'main'],
	// Optional dependencies of bunyan, hot-shots, msgpackr and ws; each library works without them.
	alias: Object.fromEntries([
		'dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'unix-dgram', 'msgpackr-extract', 'bufferutil', 'utf-8-validate',
	].map(name => [name, './scripts/unavailable-module.cjs'])),
	define: {
		'import.meta.url': '__moduleUrl',
		'process.env.CICADAPOST_VERSION': JSON.stringify(version),
	},
	banner: {js: 'const __moduleUrl = require("node:url").pathToFileURL(process.execPath).href;'},
	logLevel: 'warning',
};

/** Options of the bundle with the command `entry` alone. */
export const entryBundleOptions = {
	...bundleOptions,
	entryPoints: ['packages/cli/src/entry-program.ts'],
	alias: {
		...bundleOptions.alias,
		undici: './scripts/undici-clients.cjs',
		// undici then does without HTTP/2, which no upstream and no store speaks.
		'node:http2': './scripts/unavailable-module.cjs',
	},
};
