import type {
	DaemonId, DataCentreId, Millis, UpstreamId,
} from '@cicadapost/types';

export const heartbeatIntervalMs = 1000;
/** A daemon that has not been heard from for this long is considered not alive. */
export const daemonTimeoutMs = 3000;

export type PeerView = {
	dataCentre: DataCentreId;
	incarnation: number;
	sequence: number;
	lastHeardAt: Millis;
	leaving: boolean;
	configurationVersion: number;
	/** Upstreams of its data centre that it knows at first hand to be leaving. */
	leavingUpstreams: ReadonlySet<UpstreamId>;
	/** Live daemons of its data centre, if it is a gateway of another one. */
	live: readonly DaemonId[] | undefined;
	liveReceivedAt: Millis;
	/** Data centres that it has a connection to, if it is a gateway of this one. */
	reaches: readonly DataCentreId[];
};

/** An entry VM of the last VM list. */
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
	/** Upstreams of this data centre that must get no new work, by all that is known. */
	leavingUpstreams: ReadonlySet<UpstreamId>;
	listed: Map<DaemonId, ListedDaemon>;
	/** Leaving upstreams of the last VM list. */
	listedLeaving: ReadonlySet<UpstreamId>;
	/** Leaving upstreams by their own `GET /state`, of shards that this daemon owns. */
	reportedLeaving: Set<UpstreamId>;
	/** What a daemon that was lost knew to be leaving, until its successor has read it anew. */
	retainedLeaving: Map<UpstreamId, Millis>;
	/** Connections that this daemon has asked the edge for, with the time since when. */
	connections: Map<DaemonId, Millis>;
	/** Data centres that requests are relayed to, with the time until which the connection is kept. */
	relayDataCentres: Map<DataCentreId, Millis>;
	/** Daemons that run a relayed request for this one, or this one for them. Their connections are kept. */
	inUse: ReadonlySet<DaemonId>;
	/** Daemons of other data centres that did not answer, with the time from which they are tried again. */
	unreachable: Map<DaemonId, Millis>;
	/** The last heartbeat of each daemon, kept after the daemon is lost, so that older ones are recognised. */
	lastHeartbeats: Map<DaemonId, Readonly<{incarnation: number; sequence: number}>>;
	/** The list of live daemons that was sent last to each daemon of another data centre. */
	lastLiveListSent: Map<DaemonId, Readonly<{live: string; at: Millis}>>;
	sequence: number;
	nextHeartbeatAt: Millis;
	nextVmListReadAt: Millis;
	/** Time of the last decision; undefined before the first. A gap tells that the process was paused. */
	lastDecisionAt: Millis | undefined;
	/** After a pause the daemon owns nothing until it has heard from its peers again. */
	settlesAt: Millis;
	/** Owners that were computed since the views changed last. */
	ownerCache: Map<string, DaemonId | undefined>;
	/** Likewise the rank of this daemon among the gateways towards each other data centre. */
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
