import type {UpstreamRecord} from '@cicadapost/fleet';
import type {DaemonId, ModelId} from '@cicadapost/types';

export type LoadOrder = Readonly<{
	model: ModelId;
	version: number;
	/** `retain`: active runs continue with the new version. `wait`: active runs finish first. */
	mode: 'retain' | 'wait';
	holder: DaemonId;
	fencingToken: number;
	/** Number of orders that the engine must have accepted so far, so that a delayed order cannot undo a newer one. */
	expectedOrders: number | undefined;
}>;

export type OrderOutcome =
	| Readonly<{kind: 'accepted'}>
	/** The engine already has the version. */
	| Readonly<{kind: 'holds'}>
	/** Another order is being executed, or the number of accepted orders differs. */
	| Readonly<{kind: 'busy'}>
	| Readonly<{kind: 'rejected'; status: number}>
	/** No response: the order may still be executed, now or later. */
	| Readonly<{kind: 'unknown'; cause: string}>;

export type EngineReport = Readonly<{
	versions: ReadonlyMap<ModelId, number>;
	isBusy: boolean;
	acceptedOrders: number;
}>;

/** Sends load orders to engines and queries their state. */
export abstract class OrderClient {
	abstract load(engine: UpstreamRecord, order: LoadOrder): Promise<OrderOutcome>;
	/** Resolves to undefined if the engine did not respond. */
	abstract report(engine: UpstreamRecord): Promise<EngineReport | undefined>;
}
