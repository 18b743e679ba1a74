import type {DataCentreId, DaemonId, UpstreamId} from './ids.js';

/** A row of the platform's VM list. The list lags, so daemons also listen to heartbeats. */
export type VmRecord = Readonly<{
	/** Daemon id of an entry VM, upstream id of an upstream VM. */
	id: DaemonId | UpstreamId;
	role: 'entry' | 'upstream';
	dataCentre: DataCentreId;
	state: 'live' | 'leaving';
	/** `host:port` of the peer listener, for entry VMs. */
	peerAddress?: string;
}>;

/** What an upstream tells about itself. */
export type UpstreamStatus = Readonly<{
	/** It is being taken out of service and must get no new work. */
	leaving: boolean;
	/** Weight version that it runs. */
	version: number;
	/** It is loading another version. */
	swapping: boolean;
	/** Highest fencing number of an order that it has carried out; 0 if none. */
	fence: number;
}>;
