import {decodeList, encodeList} from '@cicadapost/store';
import type {DaemonId, ModelId} from '@cicadapost/types';

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
