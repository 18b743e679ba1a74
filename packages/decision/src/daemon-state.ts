import {
	createClaims, createKeyGuard, type ClaimsState, type KeyGuardState,
} from '@cicadapost/claims';
import {createConfigurationState, type ConfigurationState} from '@cicadapost/configuration';
import {createMembership, type MembershipState} from '@cicadapost/membership';
import {createRollouts, type RolloutState} from '@cicadapost/rollouts';
import {createRouter, type RouterState} from '@cicadapost/routing';
import {createSuspectTable, type SchedulerState, type SuspectTable} from '@cicadapost/scheduling';
import type {DataCentreConfiguration} from '@cicadapost/settings';
import type {
	Acquire, AttemptId, DaemonId, DataCentreId, Millis, PoolId, RegionId, RequestId, ShardId,
} from '@cicadapost/types';
import {createCaps, type CapsState} from './caps.js';
import type {DeathReports} from './death-reports.js';
import type {HeldGrants} from './held-grants.js';
import type {PoolLease} from './pool-leases.js';
import {createRelays, type RelaysState} from './relays.js';
import type {StateReads} from './state-reads.js';

/** Where a request comes from, which is where its result goes. */
export type RequestOrigin =
	| Readonly<{kind: 'caller'}>
	/** Relayed by another daemon. */
	| Readonly<{kind: 'relay'; from: DaemonId; attempt: AttemptId}>
	/** A sample of a training step that this daemon owns. */
	| Readonly<{kind: 'rollout'}>;

/** An `acquire` that has not been answered. It is sent again when the owner of the shard changes. */
export type PendingAcquire = Readonly<{
	acquire: Acquire;
	/** Undefined while the shard has no owner. */
	to: DaemonId | undefined;
	deadlineAt: Millis;
	/** Time at which the `acquire` is sent again if it has not been answered. */
	retryAt: Millis;
	retryDelayMs: Millis;
}>;

export type DaemonState = {
	readonly self: DaemonId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	readonly incarnation: number;
	membership: MembershipState;
	configuration: ConfigurationState;
	site: DataCentreConfiguration | undefined;
	router: RouterState;
	claims: ClaimsState;
	/** Idempotency keys of idempotent requests. */
	keys: KeyGuardState;
	relays: RelaysState;
	rollouts: RolloutState;
	/** Shards that this daemon owns. */
	schedulers: Map<ShardId, SchedulerState>;
	origins: Map<RequestId, RequestOrigin>;
	pendingAcquires: Map<AttemptId, PendingAcquire>;
	grants: HeldGrants;
	/** Fingerprints of requests that ran on upstreams that died, shared between all daemons. */
	suspects: SuspectTable;
	/** Upstream deaths that this daemon has reported and that the shard owner has not yet been seen to count. */
	deathReports: DeathReports;
	/** State reads of the engines in the owned shards. */
	stateReads: StateReads;
	/** Time of the last decision. A gap shows that the process was paused. */
	lastDecisionAt: Millis;
	caps: CapsState;
	/** Leases of the engine pools in this data centre. */
	poolLeases: Map<PoolId, PoolLease>;
	leaving: boolean;
	stopped: boolean;
	/** Number of platform calls so far, used to generate their ids. */
	calls: number;
};

export type DaemonOptions = Readonly<{
	self: DaemonId;
	dataCentre: DataCentreId;
	region: RegionId;
	/** A number that increases with each start of the process, such as its start time in milliseconds. */
	incarnation: number;
	/** Maximum writes per second to the store while training steps catch up after an outage. */
	catchUpWritesPerSecond?: number;
}>;

export function createDaemonState(options: DaemonOptions): DaemonState {
	return {
		...options,
		membership: createMembership({self: options.self, dataCentre: options.dataCentre}),
		configuration: createConfigurationState(),
		site: undefined,
		router: createRouter(),
		claims: createClaims(`${options.self}.${options.incarnation}.claim`),
		keys: createKeyGuard(),
		relays: createRelays(),
		rollouts: createRollouts(options),
		schedulers: new Map(),
		origins: new Map(),
		pendingAcquires: new Map(),
		grants: new Map(),
		suspects: createSuspectTable(),
		deathReports: new Map(),
		stateReads: new Map(),
		lastDecisionAt: Number.POSITIVE_INFINITY,
		caps: createCaps(),
		poolLeases: new Map(),
		leaving: false,
		stopped: false,
		calls: 0,
	};
}
