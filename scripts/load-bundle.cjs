/** Runs `bundle.cjs` beside this file with its code cache, so that a start doesn't compile it anew. Without a usable cache it only takes longer. */
const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const {Script} = require('node:vm');

const file = path.join(__dirname, 'bundle.cjs');
const cacheFile = path.join(__dirname, 'bundle.cache');

function readCache() {
	try {
		return readFileSync(cacheFile);
	} catch {
		// Built without a cache.
		return undefined;
	}
}

// The bundle is ASCII outside of comments, and Latin-1 is the faster decoding of ASCII.
const script = new Script(wrap(readFileSync(file, 'latin1')), {filename: file, cachedData: readCache()});
script.runInThisContext()(module.exports, require, module, file, __dirname);
module.exports = {script, cacheFile};
