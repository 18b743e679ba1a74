import {queueDeadlineOf, type BatchRules, type BatchView} from '@cicadapost/batches';
import type {UpstreamRecord} from '@cicadapost/fleet';
import {
	matchRoute, routeForTeam, type Route, type RoutingConfiguration,
} from '@cicadapost/forwarding';
import type {RewardRules} from '@cicadapost/rewards';
import type {Millis} from '@cicadapost/types';

export type BatchRoutesOptions = Readonly<{
	configuration: () => RoutingConfiguration | undefined;
	/** Returns the current time on the store's clock. */
	storeTime: () => Millis;
}>;

/** What the current configuration allows for a batch. */
export class BatchRoutes {
	constructor(private readonly options: BatchRoutesOptions) {}

	/** Returns undefined if no route serves the batch any more. */
	routeOf({plan: {host, path, team}}: BatchView): Route | undefined {
		const configuration = this.options.configuration();
		const route = configuration === undefined ? undefined : matchRoute(configuration, host, path);
		return route?.kind === 'batch' ? routeForTeam(route, team === undefined ? undefined : configuration?.teams?.teamNamed(team)) : undefined;
	}

	rulesOf(batch: BatchView): BatchRules | undefined {
		const route = this.routeOf(batch);
		return route === undefined ? undefined : {maxAttempts: route.maxAttempts, isSingleVersion: route.isSingleVersion, runMs: route.maxQueueMs};
	}

	/** Time at which a batch is due, or undefined if the engine's service must not run it or the batch has expired. */
	dueAt(batch: BatchView, engine: UpstreamRecord): Millis | undefined {
		const route = this.routeOf(batch);
		const isServed = route?.services.some(({service, weight}) => service === engine.service && weight > 0) ?? false;
		return isServed ? this.rewardRulesOf(batch)?.dueAt : undefined;
	}

	/** Returns undefined if the batch has expired or no route serves it any more. */
	rewardRulesOf(batch: BatchView): RewardRules | undefined {
		const route = this.routeOf(batch);
		return route !== undefined && this.options.storeTime() < queueDeadlineOf(batch, route.maxQueueMs)
			? {maxAttempts: route.maxAttempts, dueAt: batch.plan.submittedAt + route.batchDeadlineMs}
			: undefined;
	}
}
