import type {DaemonState} from '@cicadapost/decision';
import type {Metrics} from '@cicadapost/observability';

/** What `cicadapost status` shows of one daemon. */
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

function shardStatus(scheduler: DaemonState['schedulers'] extends Map<unknown, infer Scheduler> ? Scheduler : never): Record<string, unknown> {
	const running = new Map<string, number>();
	for (const {upstream} of scheduler.running.values()) {
		running.set(upstream, (running.get(upstream) ?? 0) + 1);
	}

	return {
		waiting: scheduler.waiting.length,
		upstreams: Object.fromEntries([...scheduler.upstreams.values()].map(({upstream, leaving}) => [upstream, {running: running.get(upstream) ?? 0, leaving}])),
	};
}
