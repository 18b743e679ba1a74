import type {Chunk, VersionSpan} from '@cicadapost/types';

/** A completion as far as it has been received. Chunks may arrive late, twice and out of order. */
export type StreamState = {
	/** Tokens that have been passed on, in order and without gaps. */
	delivered: number;
	/** Chunks that wait for an earlier one, by offset. */
	early: Map<number, Chunk>;
	/** Total number of tokens, once the upstream has named it. */
	total: number | undefined;
	versions: VersionSpan[];
};

export function createStream(): StreamState {
	return {
		delivered: 0, early: new Map(), total: undefined, versions: [],
	};
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

/** Adds a chunk and returns those that can now be passed on, in order. */
export function addChunk(stream: StreamState, chunk: Chunk): Chunk[] {
	if (chunk.offset < stream.delivered || chunk.tokens === 0) {
		return [];
	}

	stream.early.set(chunk.offset, chunk);
	const ready: Chunk[] = [];
	let next = stream.early.get(stream.delivered);
	while (next !== undefined) {
		stream.early.delete(next.offset);
		stream.delivered += next.tokens;
		recordVersion(stream, next);
		ready.push(next);
		next = stream.early.get(stream.delivered);
	}

	return ready;
}

/** Whether each token up to the total has been passed on. */
export function isWhole(stream: StreamState): boolean {
	return stream.total !== undefined && stream.delivered >= stream.total;
}
