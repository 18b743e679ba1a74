import type {Chunk} from '@cicadapost/types';
import {createParser} from 'eventsource-parser';
import * as z from 'zod';

/** The stream ended without the `[DONE]` marker. */
export class TruncatedStreamError extends Error {}

/** An event or response that does not have the expected form. */
export class MalformedStreamError extends Error {}

const eventSchema = z.object({
	text: z.string(), tokens: z.int().min(0), version: z.int(), offset: z.int().min(0),
});

/** Limits the memory used for a stream without line breaks, which the parser would otherwise buffer in full. */
const maxEventLength = 1024 * 1024;

function parseEvent(data: string): Chunk {
	let value: unknown;
	try {
		value = JSON.parse(data);
	} catch {
		throw new MalformedStreamError('an event of the upstream is not valid JSON');
	}

	const parsed = eventSchema.safeParse(value);
	if (!parsed.success) {
		throw new MalformedStreamError(`an event of the upstream has a faulty field "${parsed.error.issues[0]?.path.join('.') ?? ''}"`);
	}

	return parsed.data;
}

/**
Reads server-sent events up to the end marker and returns the total number of tokens, including those before `resumeFrom`.
Throws `MalformedStreamError` for an invalid event and `TruncatedStreamError` for a stream without an end marker.
*/
export async function readEvents(body: AsyncIterable<Uint8Array>, resumeFrom: number, onChunk: (chunk: Chunk) => void): Promise<number> {
	let received = resumeFrom;
	let isDone = false;
	const parser = createParser({
		onEvent(event) {
			if (isDone || event.data === '[DONE]') {
				isDone = true;
				return;
			}

			const chunk = parseEvent(event.data);
			received = Math.max(received, chunk.offset + chunk.tokens);
			onChunk(chunk);
		},
	});
	const decoder = new TextDecoder();
	let lineLength = 0;
	for await (const part of body) {
		const text = decoder.decode(part, {stream: true});
		const lastBreak = text.lastIndexOf('\n');
		lineLength = lastBreak === -1 ? lineLength + text.length : text.length - lastBreak;
		if (lineLength > maxEventLength) {
			throw new MalformedStreamError('an event of the upstream is too long');
		}

		parser.feed(text);
	}

	if (!isDone) {
		throw new TruncatedStreamError('the stream ended before its end marker');
	}

	return received;
}
