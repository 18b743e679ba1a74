import type {
	DaemonId, DataCentreId, Millis, UpstreamId,
} from '@cicadapost/types';

export const heartbeatIntervalMs = 1000;
/** A daemon that has not been heard from for longer than this is considered dead. */
export const daemonTimeoutMs = 3000;

export type PeerView = {
	dataCentre: DataCentreId;
	incarnation: number;
	sequence: number;
	lastHeardAt: Millis;
	leaving: boolean;
	configurationVersion: number;
	/** Upstreams of its data centre that it has itself observed to be leaving. */
	leavingUpstreams: ReadonlySet<UpstreamId>;
	/** Live daemons of its data centre, if it is a gateway from there to this data centre. */
	live: readonly DaemonId[] | undefined;
	liveReceivedAt: Millis;
	/** Data centres that it has a connection to, if it is a gateway of this data centre. */
	reaches: readonly DataCentreId[];
};

/** An entry VM in the last VM list. */
export type ListedDaemon = Readonly<{
	dataCentre: DataCentreId;
	/** `host:port` of the peer listener. */
	address: string;
	leaving: boolean;
}>;

export type MembershipState = {
	readonly self: DaemonId;
	readonly dataCentre: DataCentreId;
	leaving: boolean;
	peers: Map<DaemonId, PeerView>;
	/** Upstreams of this data centre that must get no new work, merged from all sources. */
	leavingUpstreams: ReadonlySet<UpstreamId>;
	listed: Map<DaemonId, ListedDaemon>;
	/** Leaving upstreams in the last VM list. */
	listedLeaving: ReadonlySet<UpstreamId>;
	/** Upstreams of owned shards that reported in `GET /state` that they are leaving. */
	reportedLeaving: Set<UpstreamId>;
	/** Leaving upstreams that a lost daemon or a peer no longer reports, each with the time until which it is retained for the new owner to read its state. */
	retainedLeaving: Map<UpstreamId, Millis>;
	/** Connections that this daemon has requested from the I/O layer, with the time of the request. */
	connections: Map<DaemonId, Millis>;
	/** Data centres that requests are relayed to, with the time until which each connection is kept. */
	relayDataCentres: Map<DataCentreId, Millis>;
	/** Daemons at the other end of running relayed requests, in either direction. Their connections are kept. */
	inUse: ReadonlySet<DaemonId>;
	/** Unresponsive daemons of other data centres, with the time from which they are tried again. */
	unreachable: Map<DaemonId, Millis>;
	/** Last heartbeat of each daemon. Kept after the daemon is lost, so that stale heartbeats are recognised. */
	lastHeartbeats: Map<DaemonId, Readonly<{incarnation: number; sequence: number}>>;
	/** List of live daemons that was last sent to each daemon of another data centre. */
	lastLiveListSent: Map<DaemonId, Readonly<{live: string; at: Millis}>>;
	sequence: number;
	nextHeartbeatAt: Millis;
	nextVmListReadAt: Millis;
	/** Time of the last decision, undefined before the first. A gap shows that the process was paused. */
	lastDecisionAt: Millis | undefined;
	/** End of the settling period after a long pause. Until then the daemon owns nothing, so that it first hears from its peers again. */
	settlesAt: Millis;
	/** Owners computed since the last change of the views. */
	ownerCache: Map<string, DaemonId | undefined>;
	/** Ranks of this daemon among the gateways towards other data centres, computed since the last change of the views. */
	gatewayRankCache: Map<DataCentreId, number>;
};

export type MembershipOptions = Readonly<{
	self: DaemonId;
	dataCentre: DataCentreId;
}>;

export function createMembership(options: MembershipOptions): MembershipState {
	return {
		...options,
		leaving: false,
		peers: new Map(),
		leavingUpstreams: new Set(),
		listed: new Map(),
		listedLeaving: new Set(),
		reportedLeaving: new Set(),
		retainedLeaving: new Map(),
		connections: new Map(),
		relayDataCentres: new Map(),
		inUse: new Set(),
		unreachable: new Map(),
		lastHeartbeats: new Map(),
		lastLiveListSent: new Map(),
		sequence: 0,
		nextHeartbeatAt: 0,
		nextVmListReadAt: 0,
		lastDecisionAt: undefined,
		settlesAt: Number.NEGATIVE_INFINITY,
		ownerCache: new Map(),
		gatewayRankCache: new Map(),
	};
}
