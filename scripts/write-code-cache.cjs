/** Writes the code cache of a bundle in the directory of the first argument. Without settings the program ends when its modules are loaded. */
const {renameSync, writeFileSync} = require('node:fs');
const path = require('node:path');

delete process.env.CICADAPOST_SETTINGS;
process.stderr.write = () => true;
const {script, cacheFile} = require(path.resolve(process.argv[2], 'cicadapost.cjs'));

setImmediate(() => {
	// A rename replaces the file atomically, so that no process reads half of a cache.
	writeFileSync(`${cacheFile}.new`, script.createCachedData());
	renameSync(`${cacheFile}.new`, cacheFile);
	process.exit(0);
});
