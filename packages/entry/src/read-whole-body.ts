import type {IncomingMessage} from 'node:http';
import type {BodyMemory} from '@cicadapost/byte-budget';
import type {Millis} from '@cicadapost/types';

export type BodyOutcome =
	/** `release` must be called when nothing reads the body any more. */
	| Readonly<{kind: 'body'; body: Uint8Array; release: () => void}>
	| Readonly<{kind: 'too-large'}>
	/** No data arrived within the idle limit. */
	| Readonly<{kind: 'stalled'}>
	/** The caller disconnected, or the message was malformed. */
	| Readonly<{kind: 'broken'}>
	/** There is no memory for the body. */
	| Readonly<{kind: 'no-memory'}>
	/** The body arrived too slowly while other callers needed its memory. */
	| Readonly<{kind: 'slow'}>;

export type BodyLimits = Readonly<{
	bytes: number;
	/** Maximum time between two chunks of the body. */
	idleMs: Millis;
}>;

/** Reads the body of a request within the given limits. */
export async function readWholeBody(req: IncomingMessage, limits: BodyLimits, memory: BodyMemory): Promise<BodyOutcome> {
	const declaredBytes = declaredLength(req);
	if (declaredBytes !== undefined && declaredBytes > limits.bytes) {
		return {kind: 'too-large'};
	}

	return new Promise(resolve => {
		let isSettled = false;
		const settle = (outcome: BodyOutcome) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			clearTimeout(timer);
			if (outcome.kind !== 'body') {
				buffer?.release();
			}

			resolve(outcome);
		};

		const timer = setTimeout(() => {
			settle({kind: 'stalled'});
		}, limits.idleMs);
		const buffer = memory.open({
			declaredBytes,
			onClosed() {
				settle({kind: 'slow'});
			},
		});
		if (buffer === undefined) {
			settle({kind: 'no-memory'});
			return;
		}

		req.on('data', (chunk: Uint8Array) => {
			if (isSettled) {
				return;
			}

			timer.refresh();
			if (buffer.length + chunk.length > limits.bytes) {
				settle({kind: 'too-large'});
				req.pause();
			} else if (!buffer.append(chunk)) {
				settle({kind: 'no-memory'});
			}
		});
		req.on('end', () => {
			settle({
				kind: 'body',
				body: buffer.finish(),
				release() {
					buffer.release();
				},
			});
		});
		req.on('error', () => {
			settle({kind: 'broken'});
		});
		req.on('close', () => {
			settle({kind: 'broken'});
		});
	});
}

/** Returns the length that the head declares. Undefined if the body has chunks. A request with neither has no body. */
function declaredLength({headers}: IncomingMessage): number | undefined {
	return headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined;
}
