import type {DaemonIncarnation} from '@cicadapost/types';
import type {BatchCache} from './batch-cache.js';
import type {CommitQueue} from './commit-queue.js';
import {planClaimReleases, type PlanClaimReleasesOptions} from './plan-claim-releases.js';
import type {ClaimTarget} from './plan-claims.js';
import type {ItemOutcome} from './plan-commit.js';

export type ClaimReleaserOptions = Readonly<{
	batchCache: BatchCache;
	commits: Pick<CommitQueue, 'push'>;
	incarnation: DaemonIncarnation;
	isWorkedOn: PlanClaimReleasesOptions['isWorkedOn'];
	/** Called when the release of claims is about to be recorded. */
	onReleased: (target: ClaimTarget) => void;
}>;

/** It is that of the other background tasks, so that one wake-up serves all. */
const checkIntervalMs = 400;

/** A background task that releases items which this daemon has claimed without knowing. */
export class ClaimReleaser {
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: ClaimReleaserOptions) {
		this.timer = setInterval(() => {
			this.check();
		}, checkIntervalMs);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	check(): void {
		const {batchCache, commits, incarnation, isWorkedOn, onReleased} = this.options;
		for (const target of planClaimReleases({batches: batchCache.open(), incarnation, isWorkedOn})) {
			onReleased(target);
			for (const item of target.items) {
				commits.push(target.batch, this.releaseOf(target, item));
			}
		}
	}

	private releaseOf({batch, group}: ClaimTarget, item: number): ItemOutcome {
		const claim = this.options.batchCache.get(batch)?.claims[group]?.items[item];
		return claim?.kind === 'rewarding'
			? {
				group, item, kind: 'reward-released', rewardFailures: claim.rewardFailures,
			}
			: {
				group, item, kind: 'released', failures: claim?.kind === 'running' ? claim.failures : 0, text: undefined,
			};
	}
}
