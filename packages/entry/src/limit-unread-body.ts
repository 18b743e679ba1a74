import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerLimits} from '@cicadapost/forwarding';

export type UnreadBodyOptions = Readonly<{
	limits: () => Pick<CallerLimits, 'bodyBytes' | 'idleTimeoutMs'>;
	/** Called when the connection is closed. */
	onClosed: () => void;
}>;

/**
Discards the rest of a body that goes on after the response, so that its caller can read the response and use the connection
again. Closes the connection if the rest is larger than a body may be, or stalls.
*/
export function limitUnreadBody(req: IncomingMessage, res: ServerResponse, {limits, onClosed}: UnreadBodyOptions): void {
	// Node.js discards such a body without events unless something has begun to read it by the end of the response.
	res.prependOnceListener('finish', () => {
		if (req.complete || req.destroyed) {
			return;
		}

		const {bodyBytes, idleTimeoutMs} = limits();
		let bytes = 0;
		const close = () => {
			clearTimeout(timer);
			if (!req.complete && !req.socket.destroyed) {
				onClosed();
				req.socket.destroy();
			}
		};

		const timer = setTimeout(close, idleTimeoutMs);
		req.on('data', (chunk: Uint8Array) => {
			timer.refresh();
			bytes += chunk.length;
			if (bytes > bodyBytes) {
				close();
			}
		});
		req.once('close', () => {
			clearTimeout(timer);
		});
		req.read(0);
		req.resume();
	});
}
