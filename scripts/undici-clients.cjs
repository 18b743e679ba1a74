/** The parts of undici that an entry daemon uses. Loading the rest, such as HTTP/2 and fetch, takes about a tenth of its start. */
module.exports = {
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
	buildConnector: require('../node_modules/undici/lib/core/connect.js'),
	errors: require('../node_modules/undici/lib/core/errors.js'),
};
