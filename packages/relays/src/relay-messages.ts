import {Packr} from 'msgpackr';
import * as z from 'zod';

const packr = new Packr({useRecords: false});

const requestSchema = z.object({
	/** The daemon that passes the request on. */
	from: z.string(),
	/** Version of the configuration by which it chose the route. */
	configuration: z.int(),
	maxAttempts: z.int().positive(),
	/** Time left for the request, in milliseconds. */
	deadlineMs: z.number().positive(),
	method: z.string(),
	/** Path and query string. */
	target: z.string(),
	/** Headers as the caller sent them, as alternating names and values. */
	headers: z.array(z.string()),
	body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** A request that one daemon passes on to another one. */
export type RelayRequest = z.infer<typeof requestSchema>;

const replySchema = z.discriminatedUnion('kind', [
	/** The response of an upstream, with its headers as alternating names and values. Its body follows. */
	z.object({
		kind: z.literal('response'), status: z.int(), headers: z.array(z.string()), upstream: z.object({id: z.string(), bornAt: z.number()}).optional(),
	}),
	/** The other daemon did not try to send the request. Another one may. */
	z.object({kind: z.literal('unavailable'), reason: z.string()}),
	/** The request has not run and will not run. */
	z.object({kind: z.literal('refused'), retryAfterMs: z.number(), reason: z.string()}),
	/** The request may have run, and there is no response. */
	z.object({kind: z.literal('failed'), reason: z.string()}),
]);

/** How the other daemon answers. */
export type RelayReply = z.infer<typeof replySchema>;

export function encodeRelayRequest(req: RelayRequest): Uint8Array<ArrayBuffer> {
	return packr.pack(req) as Uint8Array<ArrayBuffer>;
}

/** Returns undefined if the bytes are not an encoded request. */
export function decodeRelayRequest(bytes: Uint8Array): RelayRequest | undefined {
	try {
		return requestSchema.safeParse(packr.unpack(bytes)).data;
	} catch {
		// Not MessagePack.
		return undefined;
	}
}

const lengthBytes = 4;

/** Encodes a reply with its length before it, since the body of a response follows in the same stream. */
export function encodeRelayReply(reply: RelayReply): Uint8Array {
	const packed = packr.pack(reply);
	const frame = Buffer.alloc(lengthBytes + packed.length);
	frame.writeUInt32BE(packed.length);
	frame.set(packed, lengthBytes);
	return frame;
}

/** Headers of a response are limited to this size, so that a reply can't fill the memory. */
const maxReplyBytes = 256 * 1024;

/** Separates the reply at the beginning of a stream from the body that follows it. */
export class RelayReplyParser {
	private pending = Buffer.alloc(0);
	private parsed: RelayReply | undefined;

	get reply(): RelayReply | undefined {
		return this.parsed;
	}

	/** Takes the next chunk of the stream. Returns the part of it that belongs to the body. Throws if the reply can't be decoded. */
	feed(chunk: Uint8Array): Uint8Array {
		if (this.parsed !== undefined) {
			return chunk;
		}

		this.pending = Buffer.concat([this.pending, chunk]);
		if (this.pending.length < lengthBytes) {
			return new Uint8Array();
		}

		const end = lengthBytes + this.pending.readUInt32BE();
		if (end > maxReplyBytes) {
			throw new Error('the reply is too long');
		}

		if (this.pending.length < end) {
			return new Uint8Array();
		}

		this.parsed = replySchema.parse(packr.unpack(this.pending.subarray(lengthBytes, end)));
		return this.pending.subarray(end);
	}
}
