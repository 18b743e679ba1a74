import type {
	DataCentreId, Millis, ModelId, ServiceId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';

/** The record that an upstream publishes about itself in the platform's list. */
export type UpstreamRecord = Readonly<{
	id: UpstreamId;
	service: ServiceId;
	/** IP address and port. */
	address: string;
	dataCentre: DataCentreId;
	softwareVersion: SoftwareVersion;
	/** Number of requests that it processes concurrently. */
	slots: number;
	state: 'ready' | 'leaving';
	/** Time until it reaches full speed, in milliseconds. */
	warmUpMs: Millis;
	/** Weight version of each loaded model. Empty for plain services. */
	models: ReadonlyMap<ModelId, number>;
	/** Unix time in milliseconds at which it was started. An upstream may be restarted under the same id. */
	bornAt: number;
	/** Set if the platform may reclaim it at any time. */
	isSpot?: true;
}>;

/** The load that an upstream reports with a response. */
export type LoadReport = Readonly<{
	running: number;
	waiting: number;
	slots: number;
	/** Current duration of work relative to normal; 1 is normal. */
	slowdown: number;
}>;
