import {createConfiguration, type ConfigurationState} from '@cicadapost/configuration';
import {createMembership, type MembershipState} from '@cicadapost/membership';
import {createRouter, type RouterState} from '@cicadapost/routing';
import type {SchedulerState} from '@cicadapost/scheduling';
import type {SiteConfiguration} from '@cicadapost/settings';
import type {
	Acquire, AttemptId, DaemonId, DataCentreId, Millis, PoolId, RegionId, RequestId, ShardId, UpstreamId,
} from '@cicadapost/types';
import type {PoolLease} from './pool-leases.js';

/** Where the result of a request goes. */
export type Origin =
	| Readonly<{kind: 'caller'}>
	/** Another daemon has asked for it. */
	| Readonly<{kind: 'relay'; from: DaemonId; attempt: AttemptId}>;

/** An `acquire` without an answer yet. It is sent again when the shard changes its owner. */
export type OpenAcquire = Readonly<{
	acquire: Acquire;
	to: DaemonId | undefined;
	sentAt: Millis;
	/** When it is sent again if there is no answer: sooner after a refusal by a daemon that is not the owner. */
	retryAt: Millis;
}>;

export type DaemonState = {
	readonly self: DaemonId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	readonly incarnation: number;
	membership: MembershipState;
	configuration: ConfigurationState;
	site: SiteConfiguration | undefined;
	router: RouterState;
	/** Shards that this daemon owns. */
	schedulers: Map<ShardId, SchedulerState>;
	origins: Map<RequestId, Origin>;
	acquires: Map<AttemptId, OpenAcquire>;
	/** Attempts that run in another data centre, with the daemon that runs them. */
	relays: Map<AttemptId, DaemonId>;
	/** When the state of each upstream of an owned shard is read next. */
	stateReads: Map<UpstreamId, Millis>;
	/** Leases of the pools of engines in this data centre. */
	poolLeases: Map<PoolId, PoolLease>;
	leaving: boolean;
	stopped: boolean;
	/** Number of platform calls so far; makes their ids. */
	calls: number;
};

export type DaemonOptions = Readonly<{
	self: DaemonId;
	dataCentre: DataCentreId;
	region: RegionId;
	/** Grows with each start of the process, such as its start time in milliseconds. */
	incarnation: number;
}>;

export function createDaemonState(options: DaemonOptions): DaemonState {
	return {
		...options,
		membership: createMembership({self: options.self, dataCentre: options.dataCentre}),
		configuration: createConfiguration(),
		site: undefined,
		router: createRouter(),
		schedulers: new Map(),
		origins: new Map(),
		acquires: new Map(),
		relays: new Map(),
		stateReads: new Map(),
		poolLeases: new Map(),
		leaving: false,
		stopped: false,
		calls: 0,
	};
}
