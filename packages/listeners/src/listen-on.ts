import type {AddressInfo, ListenOptions, Server} from 'node:net';

export type ListenerAddress = Readonly<{host: string; port: number}>;

/** Opens the listener and returns its port. Later errors of the server, such as one of `accept`, are passed to `onError`. */
export async function listenOn(server: Server, options: ListenOptions, onError: (err: Error) => void): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, () => {
			server.off('error', reject);
			server.on('error', onError);
			resolve();
		});
	});
	return (server.address() as AddressInfo).port;
}
