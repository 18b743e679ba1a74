import {decodeList, encodeList} from '@cicadapost/store';
import type {
	DaemonId, Millis, ModelId,
} from '@cicadapost/types';

/**
Permit for an order to one engine. Before a daemon sends an order, it writes this row on the condition that the row has not
changed. Since these engines do not check fencing tokens, another daemon must first see the row unchanged for a while.
*/
export type OrderPermit = Readonly<{
	holder: DaemonId;
	/** Incremented with each permit. */
	fencingToken: number;
	model: ModelId;
	version: number;
}>;

export const permitKey = 'order';

export function encodePermit(permit: OrderPermit): Uint8Array {
	return encodeList([permit.holder, permit.fencingToken, permit.model, permit.version]);
}

/** Returns undefined for a row of an unknown shape. Such a row is never overwritten. */
export function decodePermit(value: Uint8Array): OrderPermit | undefined {
	const [holder, fencingToken, model, version] = decodeList(value) ?? [];
	return typeof holder === 'string' && typeof fencingToken === 'number' && typeof model === 'string' && typeof version === 'number'
		? {
			holder: holder as DaemonId, fencingToken, model: model as ModelId, version,
		}
		: undefined;
}

/** An order must be sent within this time after its permit was requested. */
export const permitValidityMs = 500;
/** Maximum time that an order takes to reach an engine. */
const maxTransitMs = 300;

export type PermitRequestState = Readonly<{
	permit: OrderPermit | undefined;
	/** Time since this daemon learned of the current permit. */
	unchangedMs: Millis;
	self: DaemonId;
	/** Minimum time that engines require between orders of two different holders. */
	silenceMs: Millis;
}>;

/** Whether this daemon may request a permit now. The current holder always may. */
export function canRequestPermit({permit, unchangedMs, self, silenceMs}: PermitRequestState): boolean {
	return permit === undefined || permit.holder === self || unchangedMs >= permitValidityMs + silenceMs + maxTransitMs;
}

export type ClockReadings = Readonly<{steady: Millis; wall: Millis}>;

/**
Whether a permit that was requested at `requestedAt` still allows an order at `now`. The monotonic clock may stop while the VM
is suspended, and the wall clock may be adjusted, so both must agree that little time has passed.
*/
export function isPermitValid(requestedAt: ClockReadings, now: ClockReadings): boolean {
	const steady = now.steady - requestedAt.steady;
	const wall = now.wall - requestedAt.wall;
	return steady >= 0 && steady < permitValidityMs && wall >= -maxTransitMs && wall < permitValidityMs;
}
