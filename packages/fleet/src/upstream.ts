import type {
	DataCentreId, Millis, ModelId, ServiceId, UpstreamId,
} from '@cicadapost/types';

/** What an upstream says of itself in the platform's list. */
export type UpstreamRecord = Readonly<{
	id: UpstreamId;
	service: ServiceId;
	/** IP address and port. */
	address: string;
	dataCentre: DataCentreId;
	/** Requests that it processes at the same time. */
	slots: number;
	state: 'ready' | 'leaving';
	/** Time until it has its full speed, in milliseconds. */
	warmUpMs: Millis;
	/** Weight version of each model that it has loaded. Empty for plain services. */
	models: ReadonlyMap<ModelId, number>;
	/** Unix time of its start in milliseconds. An upstream may start again under its id. */
	bornAt: number;
}>;

/** What an upstream said of its load along with an answer. */
export type LoadReport = Readonly<{
	running: number;
	waiting: number;
	slots: number;
	/** Time that work takes now, relative to the usual; 1 is as usual. */
	slowdown: number;
}>;
