/**
 * Builds `dist/cicadapost`, one executable that holds the bundle and the Node.js runtime,
 * and `dist/stand-ins.cjs`, the stand-ins that the demo and the process tests start.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const {version} = JSON.parse(readFileSync('packages/cli/package.json', 'utf8'));

const shared = {
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	// The UMD build of jsonc-parser loads its parts in a way that can't be bundled.
	mainFields: ['module', 'main'],
	// Optional parts of bunyan, hot-shots, msgpackr and ws; each library works without.
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

mkdirSync('dist', {recursive: true});
await build({...shared, entryPoints: ['packages/cli/src/main.ts'], outfile: 'dist/cicadapost.cjs'});
await build({...shared, entryPoints: ['packages/stand-ins/src/main.ts'], outfile: 'dist/stand-ins.cjs'});

writeFileSync('dist/sea-config.json', JSON.stringify({
	main: 'dist/cicadapost.cjs',
	output: 'dist/sea.blob',
	disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {stdio: ['ignore', 'ignore', 'pipe']});
const temporary = `dist/cicadapost.${process.pid}`;
copyFileSync(process.execPath, temporary);
chmodSync(temporary, 0o755);
execFileSync(process.execPath, [
	'node_modules/postject/dist/cli.js', temporary, 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', fuse,
], {stdio: ['ignore', 'ignore', 'ignore']});
// Renaming replaces the file in one step, so a running daemon keeps its old copy.
renameSync(temporary, 'dist/cicadapost');
console.log('built dist/cicadapost');
