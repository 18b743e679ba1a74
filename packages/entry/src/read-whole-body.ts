import type {IncomingMessage} from 'node:http';
import type {Millis} from '@cicadapost/types';

export type BodyOutcome =
	| Readonly<{kind: 'body'; body: Uint8Array}>
	| Readonly<{kind: 'too-large'}>
	/** No data arrived within the idle limit. */
	| Readonly<{kind: 'stalled'}>
	/** The caller disconnected, or the message was malformed. */
	| Readonly<{kind: 'broken'}>;

export type BodyLimits = Readonly<{
	bytes: number;
	/** Maximum time between two chunks of the body. */
	idleMs: Millis;
}>;

/** Reads the body of a request within the given limits. */
export async function readWholeBody(req: IncomingMessage, limits: BodyLimits): Promise<BodyOutcome> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		const settle = (outcome: BodyOutcome) => {
			clearTimeout(timer);
			resolve(outcome);
		};

		const timer = setTimeout(() => {
			settle({kind: 'stalled'});
		}, limits.idleMs);
		req.on('data', (chunk: Uint8Array) => {
			timer.refresh();
			size += chunk.length;
			if (size > limits.bytes) {
				settle({kind: 'too-large'});
				req.pause();
				return;
			}

			chunks.push(chunk);
		});
		req.on('end', () => {
			settle({kind: 'body', body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)});
		});
		req.on('error', () => {
			settle({kind: 'broken'});
		});
		req.on('close', () => {
			settle({kind: 'broken'});
		});
	});
}
