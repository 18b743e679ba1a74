import type {ByteMeter} from '@cicadapost/byte-budget';
import type {UpstreamDirectory} from '@cicadapost/fleet';
import type {RequestLimits} from '@cicadapost/rate-limits';
import type {RowStore} from '@cicadapost/store';
import type {Clock, UpstreamId} from '@cicadapost/types';
import type {BatchCache, BatchView} from './batch-cache.js';
import type {CommitQueue} from './commit-queue.js';
import type {RowShapeError} from './encode-rows.js';
import type {EngineClient} from './engine-client.js';
import type {ItemReference} from './plan-claims.js';
import type {BatchRules, CompletedText, RunReport} from './sample-run.js';

export type SampleRunnerOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	batchCache: BatchCache;
	directory: UpstreamDirectory;
	client: EngineClient;
	limits: RequestLimits;
	commits: Pick<CommitQueue, 'push'>;
	/** Returns the rules of a batch, or undefined if no route serves it any more. */
	rulesOf: (batch: BatchView) => BatchRules | undefined;
	/** Whether an engine is currently loading weights. */
	isLoading: (engine: UpstreamId) => boolean;
	/** Counts the texts of running samples. They are not counted by default. */
	textBytes?: ByteMeter;
	/** Called when an engine has reported its weight version. */
	onVersion: (engine: UpstreamId, batch: BatchView, version: number) => void;
	/** Returns how many times as long an engine takes for an event as faster ones that could take a sample of the batch now. Defaults to 1. */
	slowerBy?: (engine: UpstreamId, batch: BatchView) => number;
	/** Whether a run of an item may end so that another engine goes on with it. Defaults to always. */
	mayMove?: (item: ItemReference) => boolean;
	/** Called when the complete text of a sample with a reward call is about to be stored. */
	onTextComplete: (completed: CompletedText) => void;
	/** Called when a slot of an engine has become free. */
	onSlotFreed: () => void;
	onRunReport: (report: RunReport) => void;
	onUnreadableRow: (err: RowShapeError) => void;
}>;
