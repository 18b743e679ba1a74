import type {Chunk, VersionSpan} from '@cicadapost/types';

/** A completion as far as it has been received. Chunks may arrive late, twice, out of order and overlapping. */
export type StreamState = {
	/** Tokens that have been passed on, in order and without gaps. */
	delivered: number;
	/** Chunks that wait for an earlier one, by offset. */
	buffered: Map<number, Chunk>;
	/** Total number of tokens, once the upstream has named it. */
	total: number | undefined;
	versions: VersionSpan[];
	/** The end of the text that has been passed on by this process. */
	text: string;
	/** Token offsets at which a recent chunk began or ended, with their places in the whole text. */
	boundaries: Map<number, number>;
	/** Place in the whole text at which `text` begins. */
	textStart: number;
	/** Version of the last token that the caller has, if it is known. */
	version: number | undefined;
};

/** Why a chunk can't continue the stream. */
export type StreamFault =
	/** Its version is another one and the caller does not allow mixed versions. */
	| 'version-changed'
	/** Its text contradicts what has been passed on, or it overlaps in a way that can't be cut. */
	| 'diverged';

export type AddedChunk = Readonly<{
	/** Chunks that can be passed on now, in order. */
	ready: readonly Chunk[];
	fault?: StreamFault;
}>;

/** More waiting chunks than this are not a reordering but a stream with a gap. */
const maxBuffered = 4096;
/** Chunk boundaries that are kept to cut an overlapping chunk; an overlap is about one chunk long. */
const maxBoundaries = 256;

export type StreamOptions = Readonly<{
	/** Tokens that the caller already has. */
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

/** Forgets what came from an upstream beyond the tokens passed on, before another upstream continues. */
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

/** The text passed on from token `offset`, or undefined if no recent chunk began there. */
function deliveredTextFrom(stream: StreamState, offset: number): string | undefined {
	const boundary = stream.boundaries.get(offset);
	return boundary === undefined || boundary < stream.textStart ? undefined : stream.text.slice(boundary - stream.textStart);
}

/** Whether an old chunk contradicts the text that was passed on, as far as that is still known. */
function contradictsDelivered(stream: StreamState, chunk: Chunk): boolean {
	return !(deliveredTextFrom(stream, chunk.offset)?.startsWith(chunk.text) ?? true);
}

/** The part of `chunk` after the tokens that were passed on, or undefined if its text does not continue them. */
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

/** Adds a chunk and returns those that can now be passed on. After a fault the attempt that sent the chunk must end. */
export function addChunk(stream: StreamState, chunk: Chunk, mixedVersions = true): AddedChunk {
	if (chunk.offset + chunk.tokens <= stream.delivered) {
		return contradictsDelivered(stream, chunk) ? {ready: [], fault: 'diverged'} : {ready: []};
	}

	// Almost each chunk is the next one.
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

/** Whether each token up to the total has been passed on. */
export function isComplete(stream: StreamState): boolean {
	return stream.total !== undefined && stream.delivered >= stream.total;
}
