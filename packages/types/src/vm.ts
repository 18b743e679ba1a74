import type {DataCentreId, DaemonId, UpstreamId} from './ids.js';

/** A row of the platform's VM list. The list is updated with a delay, so daemons also rely on heartbeats. */
export type VmRecord = Readonly<{
	/** Daemon id for an entry VM, upstream id for an upstream VM. */
	id: DaemonId | UpstreamId;
	role: 'entry' | 'upstream';
	dataCentre: DataCentreId;
	state: 'live' | 'leaving';
	/** `host:port` of the peer listener. Set for entry VMs only. */
	peerAddress?: string;
}>;

/** Status that an upstream reports about itself. */
export type UpstreamStatus = Readonly<{
	/** The upstream is being taken out of service and must not get new work. */
	leaving: boolean;
	/** Weight version that the upstream serves. */
	version: number;
	/** The upstream is loading another weight version. */
	swapping: boolean;
	/** Highest fencing token among the orders that it has executed; 0 if none. */
	fence: number;
}>;
