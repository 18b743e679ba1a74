/** Relays between data centres: where own requests run, and the streams that this daemon runs for others. */

import type {
	AttemptId, Chunk, DaemonId, Millis, RelayChunk, RequestId,
} from '@cicadapost/types';

/** A request that this daemon runs for another one. */
type RelayStream = {
	readonly to: DaemonId;
	readonly attempt: AttemptId;
	/** Tokens that wait for the next frame. */
	waiting: Chunk | undefined;
	lastFrameAt: Millis;
};

export type RelaysState = {
	/** The daemon that each relayed attempt of an own request was sent to. */
	sentTo: Map<AttemptId, DaemonId>;
	streams: Map<RequestId, RelayStream>;
	/** Attempts that were taken or cancelled, with the time until which a repeated frame is recognised. Oldest first. */
	seenAttempts: Map<AttemptId, Millis>;
};

/** A frame for each token would cost ten times its size across the link. */
const frameIntervalMs: Millis = 20;
/** A quarter of the time after which a relay without a frame is taken for lost. */
const keepAliveIntervalMs: Millis = 500;
/** Longer than any frame can be held up on a connection that is cut after 4 s of silence. */
const seenAttemptTtlMs: Millis = 600_000;

export function createRelays(): RelaysState {
	return {sentTo: new Map(), streams: new Map(), seenAttempts: new Map()};
}

/** Remembers `attempt`. False if it was taken or cancelled before, so that a repeated or late frame does not run it. */
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

/** Adds tokens to the next frame. Returns the frames that are due now. */
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

/** Ends a stream and returns its last frame. */
export function closeRelayStream(state: RelaysState, requestId: RequestId, now: Millis): Frame[] {
	const stream = state.streams.get(requestId);
	state.streams.delete(requestId);
	return stream === undefined ? [] : flushWaiting(stream, now);
}

/** Whether tokens wait for a frame, so that the edge should call `flushFrames` within `batchMs`. */
export function hasWaitingFrames(state: RelaysState): boolean {
	for (const stream of state.streams.values()) {
		if (stream.waiting !== undefined) {
			return true;
		}
	}

	return false;
}

/** The frames that are due, and a keep-alive frame for each stream that has been quiet. */
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
