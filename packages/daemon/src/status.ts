import type {DaemonState} from '@cicadapost/decision';
import type {Metrics} from '@cicadapost/observability';

/** Status of one daemon, as shown by `cicadapost status`. */
export function daemonStatus(state: DaemonState, metrics: Metrics): Record<string, unknown> {
	return {
		daemon: state.self,
		dataCentre: state.dataCentre,
		region: state.region,
		leaving: state.leaving,
		configurationVersion: state.configuration.version,
		requestsInFlight: state.router.requests.size,
		steps: [...state.rollouts.steps.values()].filter(step => step.isOwned).map(({member, step, groups}) => ({member, step, groups: groups.size})),
		leavingUpstreams: [...state.membership.leavingUpstreams],
		peers: Object.fromEntries([...state.membership.peers].map(([daemon, peer]) => [daemon, {
			dataCentre: peer.dataCentre, leaving: peer.leaving, configurationVersion: peer.configurationVersion,
		}])),
		shards: Object.fromEntries([...state.schedulers].map(([shard, scheduler]) => [shard, shardStatus(scheduler)])),
		histograms: metrics.summaries(),
	};
}

type Scheduler = DaemonState['schedulers'] extends Map<unknown, infer Value> ? Value : never;

function shardStatus(scheduler: Scheduler): Record<string, unknown> {
	return {
		waiting: scheduler.queue.attempts.size,
		upstreams: Object.fromEntries([...scheduler.upstreams].map(([name, upstream]) => [name, {
			running: upstream.running,
			window: Math.floor(upstream.window.window),
			leaving: upstream.settings.leaving,
			health: upstream.health.status,
		}])),
	};
}
