import {createConfiguration, type ConfigurationState} from '@cicadapost/configuration';
import {createMembership, type MembershipState} from '@cicadapost/membership';
import {createRollouts, type RolloutState} from '@cicadapost/rollouts';
import {createRouter, type RouterState} from '@cicadapost/routing';
import type {SchedulerState} from '@cicadapost/scheduling';
import type {SiteConfiguration} from '@cicadapost/settings';
import type {
	Acquire, AttemptId, DaemonId, DataCentreId, RegionId, RequestId, ShardId,
} from '@cicadapost/types';

/** Where the result of a request goes. */
export type Origin =
	| Readonly<{kind: 'caller'}>
	/** Another daemon has asked for it. */
	| Readonly<{kind: 'relay'; from: DaemonId; attempt: AttemptId}>
	/** A sample of a training step that this daemon owns. */
	| Readonly<{kind: 'rollout'}>;

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
	rollouts: RolloutState;
	/** Shards that this daemon owns. */
	schedulers: Map<ShardId, SchedulerState>;
	origins: Map<RequestId, Origin>;
	acquires: Map<AttemptId, OpenAcquire>;
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
	/** Limit of writes a second to the store while training steps catch up after an outage. */
	catchUpWritesPerSecond?: number;
}>;

export function createDaemonState(options: DaemonOptions): DaemonState {
	return {
		...options,
		membership: createMembership({self: options.self, dataCentre: options.dataCentre}),
		configuration: createConfiguration(),
		site: undefined,
		router: createRouter(),
		rollouts: createRollouts(options),
		schedulers: new Map(),
		origins: new Map(),
		acquires: new Map(),
		leaving: false,
		stopped: false,
		calls: 0,
	};
}
