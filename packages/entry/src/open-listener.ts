import type {ListenerAddress} from '@cicadapost/listeners';
import type {Logger} from '@cicadapost/observability';
import {parseAddress, type EntrySettings} from './entry-settings.js';

export type OpenListenerOptions = Readonly<{
	/** Name of the setting under `listen`. */
	name: keyof EntrySettings['listen'];
	/** Where to listen. Nothing is opened if it is undefined. */
	address: string | undefined;
	server: Readonly<{listen: (address: ListenerAddress, onError: (err: Error) => void) => Promise<void>}>;
	logger: Logger;
}>;

/** Opens a listener of the settings. Its later errors are logged, and it goes on accepting connections. */
export async function openListener({name, address, server, logger}: OpenListenerOptions): Promise<void> {
	if (address === undefined) {
		return;
	}

	try {
		await server.listen(parseAddress(address), err => {
			logger.error({event: 'listener-error', listener: name, err}, 'a connection could not be accepted');
		});
	} catch (err) {
		throw new Error(`can't listen on ${address} (${(err as Error).message}); end the program that uses it, or change listen.${name} in the settings`, {cause: err});
	}
}
