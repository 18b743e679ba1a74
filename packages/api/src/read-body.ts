import {type IncomingMessage} from 'node:http';
import {ProblemError} from '@cicadapost/errors';

/** Reads the whole body as text; `latin1` gives one character per byte. Throws a `body-too-large` problem as soon as the body exceeds `maxBytes`. */
export async function readBody(req: IncomingMessage, maxBytes: number, encoding: 'utf8' | 'latin1' = 'utf8'): Promise<string> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of req as AsyncIterable<Uint8Array>) {
		size += part.length;
		if (size > maxBytes) {
			throw new ProblemError({
				kind: 'body-too-large', detail: `the body has more than ${maxBytes} bytes`, remedy: 'send a smaller body', field: 'body',
			});
		}

		parts.push(part);
	}

	return Buffer.concat(parts).toString(encoding);
}
