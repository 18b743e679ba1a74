/** One lease in the table service: who may send orders to the engines of a pool in one data centre. */

import type {
	CallId, Millis, Outcome, RowAnswer,
} from '@cicadapost/types';
import {decodeLeaseRow, encodeLeaseRow, type LeaseRow} from './lease-row.js';

export type LeaseTimes = Readonly<{
	/** Counted from when the write was requested, on the holder's own clock. */
	leaseMs: Millis;
	renewMs: Millis;
	/** Longest time between the check of an order and its arrival at the engine. */
	maxTransitMs: Millis;
}>;

export const leaseTimes: LeaseTimes = {leaseMs: 6000, renewMs: 2000, maxTransitMs: 2000};

const readIntervalMs = 1000;
/** Pause before a write whose answer was lost is read back. */
const readBackMs = 200;
/** Number of own writes without a known result that are remembered. */
const maxUnconfirmedWrites = 16;

export type LeaseEvent =
	/**
	`wants`: `hold` takes the lease when it is free, `watch` only reads the row, so that the next holder need not begin to wait
	when the holder dies, `release` gives it up. `nonce` is unique.
	*/
	| Readonly<{kind: 'tick'; call: CallId; nonce: string; wants: 'hold' | 'watch' | 'nothing' | 'release'}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowAnswer}>;

export type LeaseAction =
	| Readonly<{kind: 'read-row'; call: CallId}>
	| Readonly<{kind: 'write-row'; call: CallId; expectedVersion: number; value: string}>;

type Write = Readonly<{row: LeaseRow; requestedAt: Millis}>;

export type LeaseState = {
	/** Names the process, not the VM: a restarted daemon is another holder. */
	readonly self: string;
	readonly times: LeaseTimes;
	/** The row as it was read last, and when this version was seen first. */
	seen: Readonly<{version: number; row: LeaseRow | undefined; at: Millis}> | undefined;
	held: Readonly<{fence: number; expiresAt: Millis}> | undefined;
	pending: Readonly<{call: CallId; write: Write | undefined}> | undefined;
	/** Own writes by nonce, which a read-back may find in the row. */
	unconfirmedWrites: Map<string, Write>;
	nextAt: Millis;
};

export function createLease(self: string, times: LeaseTimes = leaseTimes): LeaseState {
	return {
		self, times, seen: undefined, held: undefined, pending: undefined, unconfirmedWrites: new Map(), nextAt: 0,
	};
}

/** Whether this process holds the lease at `now`. An order must be checked against it right before it is sent. */
export function isHeld(state: LeaseState, now: Millis): boolean {
	return state.held !== undefined && now < state.held.expiresAt;
}

/** Whether the lease is free: never taken, given up, or unchanged for so long that no order of its holder is on its way. */
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

/** The row shows `version`. If one of the own writes made it, the lease is held from when that write was requested. */
function observeRow(state: LeaseState, version: number, row: LeaseRow | undefined, now: Millis): void {
	const isNew = state.seen?.version !== version;
	if (isNew) {
		state.seen = {version, row, at: now};
	}

	const own = row === undefined ? undefined : state.unconfirmedWrites.get(row.nonce);
	if (own === undefined) {
		if (isNew) {
			// Own writes that are still on their way were made over an older version and can't take effect any more.
			state.unconfirmedWrites.clear();
		}

		state.held = row?.holder === state.self ? state.held : undefined;
		return;
	}

	state.unconfirmedWrites.clear();
	state.held = own.row.holder === state.self ? {fence: own.row.fence, expiresAt: own.requestedAt + state.times.leaseMs} : undefined;
}

function handleAnswer(state: LeaseState, answer: RowAnswer, now: Millis): void {
	const pendingWrite = state.pending?.write;
	state.pending = undefined;
	switch (answer.kind) {
		case 'absent': {
			observeRow(state, 0, undefined, now);
			break;
		}

		case 'row':
		case 'conflict': {
			// A row that can't be read is waited for like one of another holder.
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

/** Decides about one lease. Updates `state` in place and returns it. */
export function decideLease(state: LeaseState, event: LeaseEvent, now: Millis): Outcome<LeaseState, LeaseAction> {
	if (event.kind === 'tick') {
		return {state, actions: tick(state, event, now)};
	}

	if (state.pending?.call === event.call) {
		handleAnswer(state, event.answer, now);
	}

	return {state, actions: []};
}
