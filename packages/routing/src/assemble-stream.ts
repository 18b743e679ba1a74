import type {Chunk, VersionSpan} from '@cicadapost/types';

/** The received part of a completion. Chunks may arrive late, more than once, out of order, or overlapping. */
export type StreamState = {
	/** Number of tokens delivered to the caller, in order and without gaps. */
	delivered: number;
	/** Chunks that wait for an earlier chunk, by offset. */
	buffered: Map<number, Chunk>;
	/** Total number of tokens, once the upstream has reported it. */
	total: number | undefined;
	versions: VersionSpan[];
	/** The last part of the text that this process has delivered. */
	text: string;
	/** Token offsets at which recent chunks began or ended, mapped to their positions in the whole text. */
	boundaries: Map<number, number>;
	/** Position in the whole text at which `text` begins. */
	textStart: number;
	/** Weight version of the last token that the caller has received, if known. */
	version: number | undefined;
};

/** Why a chunk can't continue the stream. */
export type StreamFault =
	/** It has another weight version and the caller does not allow mixed versions. */
	| 'version-changed'
	/** Its text contradicts the delivered text, or it overlaps the delivered tokens in a way that can't be trimmed. */
	| 'diverged';

export type AddedChunk = Readonly<{
	/** Chunks that can be delivered now, in order. */
	ready: readonly Chunk[];
	fault?: StreamFault;
}>;

/** If more chunks than this are buffered, the stream has a gap and has not merely been reordered. */
const maxBuffered = 4096;
/** Number of chunk boundaries kept for trimming overlapping chunks. An overlap is about one chunk long. */
const maxBoundaries = 256;

export type StreamOptions = Readonly<{
	/** Number of tokens that the caller has already received. */
	resumeFrom?: number;
	/** Weight version of those tokens. */
	version?: number | undefined;
}>;

export function createStream(options: StreamOptions = {}): StreamState {
	const resumeFrom = options.resumeFrom ?? 0;
	return {
		delivered: resumeFrom, buffered: new Map(), total: undefined, versions: [], text: '', boundaries: new Map([[resumeFrom, 0]]), textStart: 0, version: options.version,
	};
}

/** Discards what an upstream has sent beyond the delivered tokens, before another upstream continues the stream. */
export function resumeStream(stream: StreamState): void {
	stream.buffered.clear();
	stream.total = undefined;
}

function recordVersion(stream: StreamState, chunk: Chunk): void {
	const last = stream.versions.at(-1);
	const to = chunk.offset + chunk.tokens;
	if (last?.version === chunk.version && last.to === chunk.offset) {
		stream.versions[stream.versions.length - 1] = {...last, to};
		return;
	}

	stream.versions.push({from: chunk.offset, to, version: chunk.version});
}

/** Returns the delivered text from token `offset` on, or undefined if that is not a recent chunk boundary. */
function deliveredTextFrom(stream: StreamState, offset: number): string | undefined {
	const boundary = stream.boundaries.get(offset);
	return boundary === undefined || boundary < stream.textStart ? undefined : stream.text.slice(boundary - stream.textStart);
}

/** Returns whether a chunk contradicts the delivered text, as far as that text is still known. */
function contradictsDelivered(stream: StreamState, chunk: Chunk): boolean {
	return !(deliveredTextFrom(stream, chunk.offset)?.startsWith(chunk.text) ?? true);
}

/** Returns the part of `chunk` after the delivered tokens, or undefined if its text does not match them. */
function trimDelivered(stream: StreamState, chunk: Chunk): Chunk | undefined {
	if (chunk.offset === stream.delivered) {
		return chunk;
	}

	const known = deliveredTextFrom(stream, chunk.offset);
	if (known === undefined || !chunk.text.startsWith(known)) {
		return undefined;
	}

	return {
		...chunk, offset: stream.delivered, tokens: chunk.offset + chunk.tokens - stream.delivered, text: chunk.text.slice(known.length),
	};
}

function appendDelivered(stream: StreamState, chunk: Chunk): void {
	stream.delivered += chunk.tokens;
	stream.text += chunk.text;
	stream.boundaries.set(stream.delivered, stream.textStart + stream.text.length);
	stream.version = chunk.version;
	recordVersion(stream, chunk);
	if (stream.boundaries.size > 2 * maxBoundaries) {
		pruneBoundaries(stream);
	}
}

function pruneBoundaries(stream: StreamState): void {
	const kept = [...stream.boundaries].slice(-maxBoundaries);
	const start = kept[0]?.[1] ?? stream.textStart;
	stream.text = stream.text.slice(start - stream.textStart);
	stream.textStart = start;
	stream.boundaries = new Map(kept);
}

function takeBuffered(stream: StreamState): Chunk | undefined {
	for (const chunk of stream.buffered.values()) {
		if (chunk.offset <= stream.delivered) {
			stream.buffered.delete(chunk.offset);
			return chunk;
		}
	}

	return undefined;
}

/** Adds a chunk and returns the chunks that can be delivered now. After a fault, the attempt that sent the chunk must be ended. */
export function addChunk(stream: StreamState, chunk: Chunk, mixedVersions = true): AddedChunk {
	if (chunk.offset + chunk.tokens <= stream.delivered) {
		return contradictsDelivered(stream, chunk) ? {ready: [], fault: 'diverged'} : {ready: []};
	}

	// Fast path: almost every chunk is the next one.
	const isNext = chunk.offset === stream.delivered && stream.buffered.size === 0 && (mixedVersions || stream.version === undefined || stream.version === chunk.version);
	if (isNext && chunk.tokens > 0) {
		appendDelivered(stream, chunk);
		return {ready: [chunk]};
	}

	if (chunk.tokens === 0 || (stream.buffered.get(chunk.offset)?.tokens ?? 0) >= chunk.tokens) {
		return {ready: []};
	}

	stream.buffered.set(chunk.offset, chunk);
	const ready: Chunk[] = [];
	for (let next = takeBuffered(stream); next !== undefined; next = takeBuffered(stream)) {
		if (next.offset + next.tokens <= stream.delivered) {
			continue;
		}

		if (!mixedVersions && stream.version !== undefined && next.version !== stream.version) {
			return {ready, fault: 'version-changed'};
		}

		const rest = trimDelivered(stream, next);
		if (rest === undefined) {
			return {ready, fault: 'diverged'};
		}

		appendDelivered(stream, rest);
		ready.push(rest);
	}

	return stream.buffered.size > maxBuffered ? {ready, fault: 'diverged'} : {ready};
}

/** Returns whether all tokens up to the total have been delivered. */
export function isComplete(stream: StreamState): boolean {
	return stream.total !== undefined && stream.delivered >= stream.total;
}
