import {createConfiguration, type ConfigurationState} from '@cicadapost/configuration';
import {createMembership, type MembershipState} from '@cicadapost/membership';
import {createRouter, type RouterState} from '@cicadapost/routing';
import {createSuspectTable, type SchedulerState, type SuspectTable} from '@cicadapost/scheduling';
import type {SiteConfiguration} from '@cicadapost/settings';
import type {
	Acquire, AttemptId, DaemonId, DataCentreId, RegionId, RequestId, ShardId,
} from '@cicadapost/types';
import {createCaps, type CapsState} from './caps-part.js';
import type {HeldGrants} from './held-grants.js';

/** Where the result of a request goes. */
export type Origin =
	| Readonly<{kind: 'caller'}>
	/** Another daemon has asked for it. */
	| Readonly<{kind: 'relay'; from: DaemonId; attempt: AttemptId}>;

/** An `acquire` without an answer yet. It is sent again when the shard changes its owner. */
export type OpenAcquire = Readonly<{
	acquire: Acquire;
	to: DaemonId;
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
	grants: HeldGrants;
	/** Fingerprints that were on dead upstreams, shared with all daemons. */
	suspects: SuspectTable;
	caps: CapsState;
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
		grants: new Map(),
		suspects: createSuspectTable(),
		caps: createCaps(),
		leaving: false,
		stopped: false,
		calls: 0,
	};
}
