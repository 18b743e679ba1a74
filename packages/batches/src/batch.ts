import type {
	BatchId, ItemId, Millis, ModelId,
} from '@cicadapost/types';

/** One sample that a trainer asks for. */
export type BatchItem = Readonly<{
	id: ItemId;
	/** Path at the engine. */
	path: string;
	/** Name and value in turn. */
	headers: readonly string[];
	body: Uint8Array;
	/** Prompt tokens and the maximum of output tokens. */
	tokens: number;
	/** Items of a group share their prompt and count for the trainer only together. */
	group: string;
	/** The trainer's estimate of the output tokens, right at the median only. */
	expectedTokens: number;
}>;

/** One training step's samples as submitted. */
export type BatchSubmission = Readonly<{
	id: BatchId;
	host: string;
	/** Path that it was submitted to; its route's prefix begins it. */
	path: string;
	step: number;
	model: ModelId;
	/** Oldest weight version that may generate its tokens. */
	minVersion: number;
	/** Groups that the trainer waits for. */
	targetGroups: number;
	items: readonly BatchItem[];
}>;

/** Data of the events of one run so far, with the versions that made them. */
export type SampleText = Readonly<{
	/** Data of each event, in order. */
	events: readonly string[];
	/** Id of the last event. */
	lastEventId: number;
	versions: readonly number[];
}>;

export type SampleResult = Readonly<{
	id: ItemId;
	state: 'completed' | 'terminated';
	output: string;
	versions: readonly number[];
}>;

/** What stays in memory of a batch, without bodies and texts. */
export type BatchPlan = Readonly<{
	host: string;
	path: string;
	step: number;
	model: ModelId;
	minVersion: number;
	targetGroups: number;
	/** Time on the store's clock at which it was first submitted. */
	submittedAt: Millis;
	groups: readonly GroupPlan[];
}>;

export type GroupPlan = Readonly<{
	items: ReadonlyArray<Readonly<{id: ItemId; expectedTokens: number}>>;
}>;

/** Where an item stands. */
export type ItemClaim =
	| Readonly<{kind: 'open'; failures: number; hasPartialText: boolean}>
	/** A daemon runs it at an engine. */
	| Readonly<{kind: 'running'; failures: number; hasPartialText: boolean; life: string; engine: string}>
	/** Its result has a position. */
	| Readonly<{kind: 'listed'}>;

export const unclaimed: ItemClaim = {kind: 'open', failures: 0, hasPartialText: false};

export function itemCount(plan: BatchPlan): number {
	return plan.groups.reduce((sum, group) => sum + group.items.length, 0);
}
