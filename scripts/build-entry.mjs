/** Builds `target/cicadapost.cjs`, the bundle that the platform runs. */
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.mjs';

mkdirSync('target', {recursive: true});
await build({...bundleOptions, entryPoints: ['packages/cli/src/main.ts'], outfile: 'target/cicadapost.cjs'});
