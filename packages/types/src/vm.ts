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
