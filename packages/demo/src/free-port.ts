import {createServer, type AddressInfo} from 'node:net';

/** Returns a loopback port that is free at the moment; another process can take it before the caller does. */
export async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	return port;
}
