import {decodeList, encodeList} from '@cicadapost/store';
import type {
	DaemonId, Millis, ModelId,
} from '@cicadapost/types';

/**
Permits for orders to one engine. Before a daemon sends an order it writes this row under the condition that it has not
changed. Engines here check no fencing token, so another daemon lets the row rest for a while before it writes it.
*/
export type OrderPermit = Readonly<{
	holder: DaemonId;
	/** Grows with each permit. */
	fencingToken: number;
	model: ModelId;
	version: number;
}>;

export const permitKey = 'order';

export function encodePermit(permit: OrderPermit): Uint8Array {
	return encodeList([permit.holder, permit.fencingToken, permit.model, permit.version]);
}

/** Undefined for a row of another shape; such a row is never overwritten. */
export function decodePermit(value: Uint8Array): OrderPermit | undefined {
	const [holder, fencingToken, model, version] = decodeList(value) ?? [];
	return typeof holder === 'string' && typeof fencingToken === 'number' && typeof model === 'string' && typeof version === 'number'
		? {
			holder: holder as DaemonId, fencingToken, model: model as ModelId, version,
		}
		: undefined;
}

/** An order is sent within this time after its permit was asked for. */
export const permitValidityMs = 500;
/** Orders are on their way to an engine for at most this long. */
const maxTransitMs = 300;

export type PermitRequestState = Readonly<{
	permit: OrderPermit | undefined;
	/** Time since this daemon learned of the permit. */
	unchangedMs: Millis;
	self: DaemonId;
	/** Silence between orders of two holders that engines ask for. */
	silenceMs: Millis;
}>;

/** Whether this daemon may ask for a permit now. The holder itself always may. */
export function canRequestPermit({permit, unchangedMs, self, silenceMs}: PermitRequestState): boolean {
	return permit === undefined || permit.holder === self || unchangedMs >= permitValidityMs + silenceMs + maxTransitMs;
}

export type ClockReadings = Readonly<{steady: Millis; wall: Millis}>;

/**
Whether a permit that was asked for at `asked` still allows an order at `now`. The steady clock may stand still while the
VM is suspended, and the time of day may be set, so both have to agree that little time has passed.
*/
export function isPermitValid(asked: ClockReadings, now: ClockReadings): boolean {
	const steady = now.steady - asked.steady;
	const wall = now.wall - asked.wall;
	return steady >= 0 && steady < permitValidityMs && wall >= -maxTransitMs && wall < permitValidityMs;
}
