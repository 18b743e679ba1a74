/** Relays between data centres: the targets of this daemon's own requests, and the streams that it runs for other daemons. */

import type {
	AttemptId, Chunk, DaemonId, Millis, RelayChunk, RequestId,
} from '@cicadapost/types';

/** The response stream of a request that this daemon runs for another daemon. */
type RelayStream = {
	readonly to: DaemonId;
	readonly attempt: AttemptId;
	/** Tokens buffered for the next frame. */
	waiting: Chunk | undefined;
	lastFrameAt: Millis;
};

export type RelaysState = {
	/** Daemon that each relayed attempt of this daemon's own requests was sent to. */
	sentTo: Map<AttemptId, DaemonId>;
	streams: Map<RequestId, RelayStream>;
	/** Attempts that were started or cancelled, with the time until which a repeated frame is recognised. Oldest first. */
	seenAttempts: Map<AttemptId, Millis>;
};

/** Interval over which tokens are batched into one frame. One frame for each token would take ten times the volume on the link. */
const frameIntervalMs: Millis = 20;
/** A quarter of the time after which a relay without frames is considered lost. */
const keepAliveIntervalMs: Millis = 500;
/** Longer than any frame can be delayed, since connections are closed after 4 s without traffic. */
const seenAttemptTtlMs: Millis = 600_000;

export function createRelays(): RelaysState {
	return {sentTo: new Map(), streams: new Map(), seenAttempts: new Map()};
}

/** Records `attempt`. Returns false if it was started or cancelled before, so that a repeated or late frame does not run it. */
export function registerAttempt(state: RelaysState, attempt: AttemptId, now: Millis): boolean {
	for (const [old, forgetAt] of state.seenAttempts) {
		if (forgetAt > now) {
			break;
		}

		state.seenAttempts.delete(old);
	}

	if (state.seenAttempts.has(attempt)) {
		return false;
	}

	state.seenAttempts.set(attempt, now + seenAttemptTtlMs);
	return true;
}

type RelayTarget = Readonly<{requestId: RequestId; to: DaemonId; attempt: AttemptId}>;

export function openRelayStream(state: RelaysState, target: RelayTarget, now: Millis): void {
	state.streams.set(target.requestId, {
		to: target.to, attempt: target.attempt, waiting: undefined, lastFrameAt: now,
	});
}

type Frame = Readonly<{to: DaemonId; message: RelayChunk}>;

function createFrame(stream: RelayStream, chunk: Chunk, now: Millis): Frame {
	stream.lastFrameAt = now;
	return {to: stream.to, message: {kind: 'relay-chunk', attempt: stream.attempt, chunk}};
}

function flushWaiting(stream: RelayStream, now: Millis): Frame[] {
	const {waiting} = stream;
	stream.waiting = undefined;
	return waiting === undefined ? [] : [createFrame(stream, waiting, now)];
}

function mergeChunks(first: Chunk, next: Chunk): Chunk | undefined {
	const continues = first.offset + first.tokens === next.offset && first.version === next.version;
	return continues ? {...first, tokens: first.tokens + next.tokens, text: first.text + next.text} : undefined;
}

/** Buffers tokens for the next frame. Returns the frames that are due now. */
export function bufferChunk(state: RelaysState, requestId: RequestId, chunk: Chunk, now: Millis): Frame[] {
	const stream = state.streams.get(requestId);
	if (stream === undefined) {
		return [];
	}

	const joined = stream.waiting === undefined ? chunk : mergeChunks(stream.waiting, chunk);
	const earlier = joined === undefined ? flushWaiting(stream, now) : [];
	stream.waiting = joined ?? chunk;
	return stream.lastFrameAt + frameIntervalMs <= now ? [...earlier, ...flushWaiting(stream, now)] : earlier;
}

/** Ends a stream and returns its last frame if tokens are buffered. */
export function closeRelayStream(state: RelaysState, requestId: RequestId, now: Millis): Frame[] {
	const stream = state.streams.get(requestId);
	state.streams.delete(requestId);
	return stream === undefined ? [] : flushWaiting(stream, now);
}

/** Whether tokens are buffered, so that the I/O layer should post `flush-relays` within `frameIntervalMs`. */
export function hasWaitingFrames(state: RelaysState): boolean {
	for (const stream of state.streams.values()) {
		if (stream.waiting !== undefined) {
			return true;
		}
	}

	return false;
}

/** Returns the frames that are due, and a keep-alive frame for each idle stream. */
export function flushFrames(state: RelaysState, now: Millis): Frame[] {
	const frames: Frame[] = [];
	for (const stream of state.streams.values()) {
		if (stream.waiting !== undefined && stream.lastFrameAt + frameIntervalMs <= now) {
			frames.push(...flushWaiting(stream, now));
		} else if (stream.lastFrameAt + keepAliveIntervalMs <= now) {
			frames.push(createFrame(stream, {
				offset: 0, tokens: 0, text: '', version: 0,
			}, now));
		}
	}

	return frames;
}
