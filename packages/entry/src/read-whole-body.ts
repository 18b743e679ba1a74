import type {IncomingMessage} from 'node:http';

export type BodyOutcome =
	| Readonly<{kind: 'body'; body: Uint8Array}>
	| Readonly<{kind: 'too-large'}>
	/** The caller left, or its message was not valid. */
	| Readonly<{kind: 'broken'}>;

/** Reads the body of a request up to a limit in bytes. */
export async function readWholeBody(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				resolve({kind: 'too-large'});
				req.pause();
				return;
			}

			chunks.push(chunk);
		});
		req.on('end', () => {
			resolve({kind: 'body', body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)});
		});
		req.on('error', () => {
			resolve({kind: 'broken'});
		});
		req.on('close', () => {
			resolve({kind: 'broken'});
		});
	});
}
