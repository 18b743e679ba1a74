/**
 * Builds `dist/cicadapost`, a single executable with the bundle and the Node.js runtime,
 * `dist/stand-ins.cjs`, the stand-ins that the demo and the process tests start,
 * and `dist/entry`, the program of the deployment, for the process tests.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, renameSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.mjs';

const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});
await build({...bundleOptions, entryPoints: ['packages/cli/src/main.ts'], outfile: 'dist/cicadapost.cjs'});
await build({...bundleOptions, entryPoints: ['packages/stand-ins/src/main.ts'], outfile: 'dist/stand-ins.cjs'});

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
	'node_modules/postject/dist/cli.js', temporary, 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', sentinelFuse,
], {stdio: ['ignore', 'ignore', 'ignore']});
// A rename replaces the file atomically; a running daemon keeps its old executable.
renameSync(temporary, 'dist/cicadapost');
execFileSync(process.execPath, ['scripts/build-entry.mjs', 'dist/entry'], {stdio: 'inherit'});
console.log('built dist/cicadapost');
