import type {UpstreamRecord} from '@cicadapost/fleet';
import type {DaemonId, ModelId} from '@cicadapost/types';

export type LoadOrder = Readonly<{
	model: ModelId;
	version: number;
	/** `retain`: runs go on under the new version. `wait`: runs end first. */
	mode: 'retain' | 'wait';
	holder: DaemonId;
	fencingToken: number;
	/** Orders that the engine must have accepted so far, so that a delayed order can't undo a newer one. */
	expectedOrders: number | undefined;
}>;

export type OrderOutcome =
	| Readonly<{kind: 'accepted'}>
	/** The engine has the version already. */
	| Readonly<{kind: 'holds'}>
	/** Another order is being carried out, or the number of accepted orders is another one. */
	| Readonly<{kind: 'busy'}>
	| Readonly<{kind: 'rejected'; status: number}>
	/** No answer: it may be carried out now or later. */
	| Readonly<{kind: 'unknown'; cause: string}>;

export type EngineReport = Readonly<{
	versions: ReadonlyMap<ModelId, number>;
	isBusy: boolean;
	acceptedOrders: number;
}>;

/** Orders to engines and what they report of themselves. */
export abstract class OrderClient {
	abstract load(engine: UpstreamRecord, order: LoadOrder): Promise<OrderOutcome>;
	/** Undefined if the engine did not answer. */
	abstract report(engine: UpstreamRecord): Promise<EngineReport | undefined>;
}
