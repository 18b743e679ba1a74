/** Builds the program that the platform runs, with its bundle and the code cache of the bundle, in `target` or the directory of the first argument. */
import {execFileSync} from 'node:child_process';
import {
	copyFileSync, mkdirSync, readFileSync, rmSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {entryBundleOptions} from './bundle-options.mjs';

const [directory = 'target'] = process.argv.slice(2);
mkdirSync(directory, {recursive: true});
await build({...entryBundleOptions, outfile: `${directory}/bundle.cjs`});
copyFileSync('scripts/load-bundle.cjs', `${directory}/cicadapost.cjs`);
rmSync(`${directory}/bundle.cache`, {force: true});
// A cache is used only by a process with the same flags.
const flags = /^run = "node (?<flags>(?:--\S+ )*)/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.flags.trim().split(' ');
execFileSync(process.execPath, [...flags, 'scripts/write-code-cache.cjs', directory], {stdio: 'inherit'});
