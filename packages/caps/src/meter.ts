/** Meters one member in one data centre: grants token allowances and transfers parts of the cap to other data centres. */

import type {
	CallId, DaemonId, DataCentreId, Fingerprint, MemberId, Millis, DecisionResult, RequestId, RowResponse,
} from '@cicadapost/types';
import {
	createBucket, fill, waitFor, type Bucket,
} from './bucket.js';
import {
	splitEqually, giveUpSurplus, parseRow, rescale, type CapRow, type CapSettings,
} from './parts.js';

/** A meter that has not been called for this long was paused, and another meter may have replaced it. */
const pauseThresholdMs = 1000;
const rebalanceIntervalMs = 1000;
/** The demand of a data centre is unknown if its last report is older than this. */
const demandTtlMs = 3000;
const demandTimeConstantMs = 2000;
/** A call to the table service is repeated after this time without an answer. */
const callTimeoutMs = 2000;
/** The row is read again at this interval, so that a lost `cap-parts` message has no lasting effect. */
const readIntervalMs = 3000;
const retryAfterUnknownMs = 1000;
const maxRetryAfterMs = 120_000;
/** Tokens reserved for a refused caller are kept for this long after its retry time. */
const retrySlotGraceMs = 1000;
const maxRetrySlots = 4096;
/** Number of retry slots that are examined to compute the reserved tokens. Slots are spaced at the member's rate, so later ones add nothing. */
const maxScannedSlots = 16;
/** An answer may allow additional tokens for this much time of the current demand, so that not every request needs a message. */
const batchMs = 50;

type RetrySlot = Readonly<{fingerprint: Fingerprint; at: Millis; tokens: number}>;

export type MeterState = {
	readonly member: MemberId;
	readonly dataCentre: DataCentreId;
	settings: CapSettings;
	/**
	Whether a write of this meter has been accepted since it started or was paused. After that, no write of an earlier
	meter can take effect, so the row known to this meter is the latest one. Also set if the table service is unavailable
	and the meter knows a row.
	*/
	isFenced: boolean;
	row: CapRow | undefined;
	rowVersion: number;
	/** A lower own part that already applies although its write has not been confirmed. */
	loweredPart: number | undefined;
	pending: Readonly<{call: CallId; kind: 'read' | 'write'; at: Millis}> | undefined;
	/** The row of the last write, until its result is known. */
	pendingRow: CapRow | undefined;
	bucket: Bucket;
	/** Requested tokens, decaying with the time constant `demandTimeConstantMs`. */
	demandTokens: number;
	demandAt: Millis;
	demands: Map<DataCentreId, Readonly<{tokensPerSecond: number; at: Millis}>>;
	/** Retry slots of refused callers with the tokens reserved for them, ordered by time. */
	slots: RetrySlot[];
	nextRetrySlotAt: Millis;
	calledAt: Millis;
	rebalancedAt: Millis;
	readAt: Millis;
};

export type MeterEvent =
	| Readonly<{kind: 'ask'; from: DaemonId; requestId: RequestId; fingerprint: Fingerprint; tokens: number}>
	/** Allowed tokens that were not used. */
	| Readonly<{kind: 'return'; tokens: number}>
	| Readonly<{kind: 'configured'; settings: CapSettings}>
	| Readonly<{kind: 'demand'; dataCentre: DataCentreId; tokensPerSecond: number; version: number}>
	| Readonly<{kind: 'parts'; version: number; row: CapRow}>
	| Readonly<{kind: 'row-answer'; call: CallId; answer: RowResponse}>
	/** `call` is the id for a call to the table service that the tick may start. */
	| Readonly<{kind: 'tick'; call: CallId}>;

export type MeterAction =
	| Readonly<{kind: 'allow'; to: DaemonId; requestId: RequestId; tokens: number}>
	| Readonly<{kind: 'deny'; to: DaemonId; requestId: RequestId; retryAfterMs: Millis}>
	| Readonly<{kind: 'read-row'; call: CallId}>
	| Readonly<{kind: 'write-row'; call: CallId; expectedVersion: number; value: string}>
	/** To the meters of the member in the other data centres. */
	| Readonly<{kind: 'send-demand'; tokensPerSecond: number; version: number}>
	/** To all daemons of the data centre and to the meters of the others. */
	| Readonly<{kind: 'share-parts'; version: number; row: CapRow}>;

export type MeterOptions = Readonly<{
	member: MemberId;
	dataCentre: DataCentreId;
	settings: CapSettings;
	/** The row that the daemon knows from an earlier meter. */
	known?: Readonly<{version: number; row: CapRow}>;
}>;

export function createMeter(options: MeterOptions, now: Millis): MeterState {
	const {known, ...rest} = options;
	return {
		...rest,
		isFenced: false,
		row: known?.row,
		rowVersion: known?.version ?? 0,
		loweredPart: undefined,
		pending: undefined,
		pendingRow: undefined,
		bucket: createBucket(now),
		demandTokens: 0,
		demandAt: now,
		demands: new Map(),
		slots: [],
		nextRetrySlotAt: now,
		calledAt: now,
		rebalancedAt: now,
		readAt: Number.NEGATIVE_INFINITY,
	};
}

/** Returns the tokens per second that this data centre may use now. */
export function ownRate(state: MeterState): number {
	if (state.row === undefined || !state.isFenced) {
		return 0;
	}

	const part = Math.min(state.row.parts[state.dataCentre] ?? 0, state.loweredPart ?? Number.POSITIVE_INFINITY);
	return part * Math.min(1, state.settings.cap / state.row.cap);
}

function demandOf(state: MeterState, now: Millis): number {
	const decay = Math.exp(-(now - state.demandAt) / demandTimeConstantMs);
	return Math.min(state.settings.cap, state.demandTokens * decay * 1000 / demandTimeConstantMs);
}

function addDemand(state: MeterState, tokens: number, now: Millis): void {
	state.demandTokens = (state.demandTokens * Math.exp(-(now - state.demandAt) / demandTimeConstantMs)) + tokens;
	state.demandAt = now;
}

/** Removes slots whose callers have not retried in time, and returns the tokens that must be reserved for the remaining slots, including future ones. */
function reservedTokens(state: MeterState, rate: number, now: Millis): number {
	while (state.slots.length > 0 && state.slots[0]!.at + retrySlotGraceMs < now) {
		state.slots.shift();
	}

	let promised = 0;
	let reserved = 0;
	for (const slot of state.slots.slice(0, maxScannedSlots)) {
		promised += slot.tokens;
		reserved = Math.max(reserved, promised - (rate * Math.max(0, slot.at - now) / 1000));
	}

	return reserved;
}

/** Uses up the caller's retry slot if its time has come, and returns whether there was one. */
function claimRetrySlot(state: MeterState, fingerprint: Fingerprint, now: Millis): boolean {
	for (const [index, slot] of state.slots.entries()) {
		if (slot.at > now) {
			return false;
		}

		if (slot.fingerprint === fingerprint) {
			state.slots.splice(index, 1);
			return true;
		}
	}

	return false;
}

/** Reserves a retry slot for a refused caller and returns the time until then. The slots of a member are spaced at its rate. */
function reserveRetrySlot(state: MeterState, event: Extract<MeterEvent, {kind: 'ask'}>, waitMs: Millis, now: Millis): Millis {
	const rate = ownRate(state);
	if (rate <= 0) {
		return retryAfterUnknownMs;
	}

	const at = Math.min(now + maxRetryAfterMs, Math.max(now + waitMs, state.nextRetrySlotAt + (1000 * event.tokens / rate)));
	state.nextRetrySlotAt = at;
	if (state.slots.length < maxRetrySlots) {
		state.slots.push({fingerprint: event.fingerprint, at, tokens: event.tokens});
	}

	return Math.ceil(at - now);
}

function handleAsk(state: MeterState, event: Extract<MeterEvent, {kind: 'ask'}>, now: Millis): MeterAction[] {
	addDemand(state, event.tokens, now);
	const rate = ownRate(state);
	fill(state.bucket, rate, now);
	const isReturning = claimRetrySlot(state, event.fingerprint, now);
	const reserved = isReturning ? 0 : reservedTokens(state, rate, now);
	const waitMs = waitFor(state.bucket, event.tokens + reserved, rate);
	if (waitMs > 0) {
		state.nextRetrySlotAt = Math.max(state.nextRetrySlotAt, now);
		return [{
			kind: 'deny', to: event.from, requestId: event.requestId, retryAfterMs: reserveRetrySlot(state, event, waitMs, now),
		}];
	}

	const spare = Math.max(0, state.bucket.tokens - event.tokens - reserved);
	const batch = state.slots.length > 0 ? 0 : Math.floor(Math.min(spare / 2, demandOf(state, now) * batchMs / 1000));
	state.bucket.tokens -= event.tokens + batch;
	return [{
		kind: 'allow', to: event.from, requestId: event.requestId, tokens: event.tokens + batch,
	}];
}

function writeRow(state: MeterState, row: CapRow, call: CallId, now: Millis): MeterAction[] {
	state.pending = {call, kind: 'write', at: now};
	state.pendingRow = row;
	return [{
		kind: 'write-row', call, expectedVersion: state.rowVersion, value: JSON.stringify(row),
	}];
}

function readRow(state: MeterState, call: CallId, now: Millis): MeterAction[] {
	state.readAt = now;
	state.pending = {call, kind: 'read', at: now};
	return [{kind: 'read-row', call}];
}

/** Gives up what this data centre does not need. Its own part is lowered before the row is written, so that the parts in use never exceed the cap. */
function rebalance(state: MeterState, call: CallId, now: Millis): MeterAction[] {
	const {row} = state;
	if (row === undefined) {
		return [];
	}

	const rescaled = rescale(row, state.settings);
	if (rescaled !== row) {
		state.loweredPart = Math.min(row.parts[state.dataCentre] ?? 0, rescaled.parts[state.dataCentre] ?? 0);
		return writeRow(state, rescaled, call, now);
	}

	const demands = new Map([[state.dataCentre, demandOf(state, now)]]);
	for (const [dataCentre, demand] of state.demands) {
		if (now - demand.at < demandTtlMs) {
			demands.set(dataCentre, demand.tokensPerSecond);
		}
	}

	const next = giveUpSurplus(row, state.dataCentre, demands);
	if (next === undefined) {
		return [];
	}

	state.loweredPart = next.parts[state.dataCentre]!;
	return writeRow(state, next, call, now);
}

function tick(state: MeterState, call: CallId, now: Millis): MeterAction[] {
	if (state.pending !== undefined && now - state.pending.at < callTimeoutMs) {
		return [];
	}

	// If an answer was lost, the write may have taken effect or may still do so. Read the row first.
	const isUnsettled = state.pendingRow !== undefined || !state.isFenced;
	if (isUnsettled || now - state.readAt >= readIntervalMs) {
		return now - state.readAt >= rebalanceIntervalMs ? readRow(state, call, now) : [];
	}

	if (now - state.rebalancedAt < rebalanceIntervalMs) {
		return [];
	}

	state.rebalancedAt = now;
	return [{kind: 'send-demand', tokensPerSecond: demandOf(state, now), version: state.rowVersion}, ...rebalance(state, call, now)];
}

/** Applies a row unless it is older than the known one. Only a data centre itself lowers its part, so an older row never has a smaller own part. */
function applyRow(state: MeterState, version: number, row: CapRow): void {
	if (version >= state.rowVersion) {
		state.row = row;
		state.rowVersion = version;
	}
}

function clearPendingWrite(state: MeterState): void {
	state.pendingRow = undefined;
	state.loweredPart = undefined;
}

/**
Handles a row that has been read. If the result of a write is unknown and the row has not changed, the write is
repeated: then either the first or the second one is accepted, and the other can't take effect any more. For the same
reason, a meter that has just started writes the row unchanged.
*/
function receiveRead(state: MeterState, row: CapRow, version: number, call: CallId, now: Millis): MeterAction[] {
	const isChanged = version > state.rowVersion;
	applyRow(state, version, row);
	if (state.pendingRow !== undefined && !isChanged) {
		return writeRow(state, state.pendingRow, call, now);
	}

	clearPendingWrite(state);
	return state.isFenced ? [] : writeRow(state, row, call, now);
}

function receiveRow(state: MeterState, event: Extract<MeterEvent, {kind: 'row-answer'}>, now: Millis): MeterAction[] {
	const {pending} = state;
	if (pending?.call !== event.call) {
		return [];
	}

	const {answer} = event;
	const nextCall = `${event.call}+` as CallId;
	state.pending = undefined;
	switch (answer.kind) {
		case 'unavailable': {
			// Without access to the store, a new meter uses the part that its data centre knows.
			state.isFenced ||= state.row !== undefined;
			return [];
		}

		case 'written': {
			const row = state.pendingRow!;
			state.isFenced = true;
			clearPendingWrite(state);
			applyRow(state, answer.version, row);
			return [{kind: 'share-parts', version: answer.version, row}];
		}

		case 'absent': {
			return writeRow(state, splitEqually(state.settings), nextCall, now);
		}

		case 'conflict': {
			const row = parseRow(answer.value);
			clearPendingWrite(state);
			applyRow(state, answer.version, row);
			return state.isFenced ? [] : writeRow(state, row, nextCall, now);
		}

		case 'row': {
			return receiveRead(state, parseRow(answer.value), answer.version, nextCall, now);
		}
	}
}

/** Handles one event of a meter. Updates `state` in place and returns it with the resulting actions. */
export function decideMeter(state: MeterState, event: MeterEvent, now: Millis): DecisionResult<MeterState, MeterAction> {
	if (now - state.calledAt > pauseThresholdMs) {
		state.bucket = {tokens: Math.min(0, state.bucket.tokens), at: now};
		state.isFenced = false;
	}

	state.calledAt = now;
	return {state, actions: apply(state, event, now)};
}

function apply(state: MeterState, event: MeterEvent, now: Millis): MeterAction[] {
	switch (event.kind) {
		case 'ask': {
			return handleAsk(state, event, now);
		}

		case 'return': {
			state.bucket.tokens += event.tokens;
			fill(state.bucket, ownRate(state), now);
			return [];
		}

		case 'configured': {
			fill(state.bucket, ownRate(state), now);
			state.settings = event.settings;
			return [];
		}

		case 'demand': {
			state.demands.set(event.dataCentre, {tokensPerSecond: event.tokensPerSecond, at: now});
			if (event.version > state.rowVersion) {
				state.readAt = Math.min(state.readAt, now - readIntervalMs);
			}

			return [];
		}

		case 'parts': {
			fill(state.bucket, ownRate(state), now);
			applyRow(state, event.version, event.row);
			return [];
		}

		case 'row-answer': {
			fill(state.bucket, ownRate(state), now);
			return receiveRow(state, event, now);
		}

		case 'tick': {
			fill(state.bucket, ownRate(state), now);
			return tick(state, event.call, now);
		}
	}
}
