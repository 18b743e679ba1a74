/** A lease in the table service that grants one daemon the right to send orders to the engines of a pool in a data centre. */

import type {
	CallId, Millis, DecisionResult, RowResponse,
} from '@cicadapost/types';
import {decodeLeaseRow, encodeLeaseRow, type LeaseRow} from './lease-row.js';

export type LeaseTimes = Readonly<{
	/** Duration of a lease, measured on the holder's own clock from the moment it issued the write. */
	leaseMs: Millis;
	renewMs: Millis;
	/** Maximum time between the lease check for an order and the arrival of the order at the engine. */
	maxTransitMs: Millis;
}>;

export const leaseTimes: LeaseTimes = {leaseMs: 6000, renewMs: 2000, maxTransitMs: 2000};

const readIntervalMs = 1000;
/** Delay before reading the row back after the response to a write was lost. */
const readBackMs = 200;
/** Maximum number of own writes with an unknown result to keep track of. */
const maxUnconfirmedWrites = 16;

export type LeaseEvent =
	/**
	`wants`: `hold` acquires the lease when it is free; `release` releases it. `watch` only reads the row, so that the
	takeover delay of a standby daemon is already running when the holder dies. `nonce` is unique.
	*/
	| Readonly<{kind: 'tick'; call: CallId; nonce: string; wants: 'hold' | 'watch' | 'nothing' | 'release'}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowResponse}>;

export type LeaseAction =
	| Readonly<{kind: 'read-row'; call: CallId}>
	| Readonly<{kind: 'write-row'; call: CallId; expectedVersion: number; value: string}>;

type Write = Readonly<{row: LeaseRow; requestedAt: Millis}>;

export type LeaseState = {
	/** Identifies the process rather than the VM: a restarted daemon counts as a different holder. */
	readonly self: string;
	readonly times: LeaseTimes;
	/** The row as last read, and the time at which this version was first seen. */
	seen: Readonly<{version: number; row: LeaseRow | undefined; at: Millis}> | undefined;
	held: Readonly<{fence: number; expiresAt: Millis}> | undefined;
	pending: Readonly<{call: CallId; write: Write | undefined}> | undefined;
	/** Own writes with an unknown result, by nonce. Reading the row back may show that one of them succeeded. */
	unconfirmedWrites: Map<string, Write>;
	nextAt: Millis;
};

export function createLease(self: string, times: LeaseTimes = leaseTimes): LeaseState {
	return {
		self, times, seen: undefined, held: undefined, pending: undefined, unconfirmedWrites: new Map(), nextAt: 0,
	};
}

/** Whether this process holds the lease at `now`. Must be checked immediately before an order is sent. */
export function isHeld(state: LeaseState, now: Millis): boolean {
	return state.held !== undefined && now < state.held.expiresAt;
}

/** Whether the lease is free: never acquired, released, or unchanged for so long that no order of its holder can still be in transit. */
export function canAcquire(state: LeaseState, now: Millis): boolean {
	const {seen, times} = state;
	if (seen === undefined || isHeld(state, now)) {
		return false;
	}

	return seen.row === undefined || seen.row.holder === '' || now - seen.at >= times.leaseMs + times.maxTransitMs;
}

function write(state: LeaseState, call: CallId, row: LeaseRow, now: Millis): LeaseAction[] {
	const request: Write = {row, requestedAt: now};
	state.pending = {call, write: request};
	state.unconfirmedWrites.set(row.nonce, request);
	const [oldest] = state.unconfirmedWrites.keys();
	if (state.unconfirmedWrites.size > maxUnconfirmedWrites && oldest !== undefined) {
		state.unconfirmedWrites.delete(oldest);
	}

	return [{
		kind: 'write-row', call, expectedVersion: state.seen?.version ?? 0, value: encodeLeaseRow(row),
	}];
}

function read(state: LeaseState, call: CallId): LeaseAction[] {
	state.pending = {call, write: undefined};
	return [{kind: 'read-row', call}];
}

/** Records the current version of the row. If an own write produced it, the lease runs from the moment that write was issued. */
function observeRow(state: LeaseState, version: number, row: LeaseRow | undefined, now: Millis): void {
	const isNew = state.seen?.version !== version;
	if (isNew) {
		state.seen = {version, row, at: now};
	}

	const own = row === undefined ? undefined : state.unconfirmedWrites.get(row.nonce);
	if (own === undefined) {
		if (isNew) {
			// Own writes still in transit expect an older version, so they can no longer succeed.
			state.unconfirmedWrites.clear();
		}

		state.held = row?.holder === state.self ? state.held : undefined;
		return;
	}

	state.unconfirmedWrites.clear();
	state.held = own.row.holder === state.self ? {fence: own.row.fence, expiresAt: own.requestedAt + state.times.leaseMs} : undefined;
}

function handleAnswer(state: LeaseState, answer: RowResponse, now: Millis): void {
	const pendingWrite = state.pending?.write;
	state.pending = undefined;
	switch (answer.kind) {
		case 'absent': {
			observeRow(state, 0, undefined, now);
			break;
		}

		case 'row':
		case 'conflict': {
			// An unreadable row is treated as held by another process.
			observeRow(state, answer.version, decodeLeaseRow(answer.value) ?? {holder: 'unreadable', fence: state.seen?.row?.fence ?? 0, nonce: ''}, now);
			break;
		}

		case 'written': {
			if (pendingWrite !== undefined) {
				observeRow(state, answer.version, pendingWrite.row, now);
				state.nextAt = pendingWrite.requestedAt + state.times.renewMs;
			}

			break;
		}

		case 'unavailable': {
			state.nextAt = now + (pendingWrite === undefined ? readIntervalMs : readBackMs);
			break;
		}
	}
}

function tick(state: LeaseState, event: Extract<LeaseEvent, {kind: 'tick'}>, now: Millis): LeaseAction[] {
	if (state.held !== undefined && now >= state.held.expiresAt) {
		state.held = undefined;
	}

	if (state.pending !== undefined) {
		return [];
	}

	const {call, nonce, wants} = event;
	if (state.held !== undefined && wants === 'release') {
		return write(state, call, {holder: '', fence: state.held.fence, nonce}, now);
	}

	const isIdle = state.held === undefined && wants !== 'hold' && wants !== 'watch';
	if (isIdle || now < state.nextAt) {
		return [];
	}

	state.nextAt = now + readIntervalMs;
	if (state.unconfirmedWrites.size > 0) {
		return read(state, call);
	}

	if (state.held !== undefined) {
		state.nextAt = now + state.times.renewMs;
		return write(state, call, {holder: state.self, fence: state.held.fence, nonce}, now);
	}

	if (wants === 'hold' && canAcquire(state, now)) {
		return write(state, call, {holder: state.self, fence: (state.seen?.row?.fence ?? 0) + 1, nonce}, now);
	}

	return read(state, call);
}

/** Processes one event of a lease. Updates `state` in place and returns it with the actions to perform. */
export function decideLease(state: LeaseState, event: LeaseEvent, now: Millis): DecisionResult<LeaseState, LeaseAction> {
	if (event.kind === 'tick') {
		return {state, actions: tick(state, event, now)};
	}

	if (state.pending?.call === event.call) {
		handleAnswer(state, event.answer, now);
	}

	return {state, actions: []};
}
