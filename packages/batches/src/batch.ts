import type {
	BatchId, ItemId, Millis, ModelId, RequestId, SoftwareVersion, TeamId,
} from '@cicadapost/types';
import type {GroupPrompt, PromptPart} from './group-prompt.js';

/** The request to a plain service whose signed response is the reward of a sample. It may be repeated. */
export type RewardCall = Readonly<{
	id: RequestId;
	host: string;
	/** Path including the query string. */
	path: string;
	body: Uint8Array;
}>;

/** A sample requested by a trainer. */
export type BatchItem = Readonly<{
	id: ItemId;
	/** Request path at the engine. */
	path: string;
	/** Alternating names and values. */
	headers: readonly string[];
	body: Uint8Array;
	/** Prompt tokens plus the maximum number of output tokens. */
	tokens: number;
	/** Items of a group share a prompt, and the trainer can only use a group that is complete. */
	group: string;
	/** The trainer's estimate of the number of output tokens. Only its median is accurate. */
	expectedTokens: number;
	/** Tokens of the prompt, and the parts that it begins with, in order. Absent if the trainer does not give them. */
	promptTokens?: number;
	promptParts?: readonly PromptPart[];
	/** Absent if the trainer computes the reward itself. */
	reward?: RewardCall;
}>;

/** The samples of one training step, as submitted. */
export type BatchSubmission = Readonly<{
	id: BatchId;
	host: string;
	/** Path that the batch was submitted to. It starts with the prefix of its route. */
	path: string;
	step: number;
	model: ModelId;
	/** Oldest weight version that may generate tokens for the batch. */
	minVersion: number;
	/** Number of complete groups that the trainer waits for. */
	targetGroups: number;
	/** The team that the batch belongs to, if any. */
	team?: TeamId;
	items: readonly BatchItem[];
}>;

/** Output of a run so far, with the weight versions that generated it. */
export type SampleText = Readonly<{
	/** Data of each event, in order. */
	events: readonly string[];
	/** Id of the last event. */
	lastEventId: number;
	versions: readonly number[];
	/** Software version of the engines that generated it. Undefined for texts that earlier builds have stored. */
	softwareVersion: SoftwareVersion | undefined;
}>;

export type SampleResult = Readonly<{
	id: ItemId;
	state: 'completed' | 'terminated';
	output: string;
	versions: readonly number[];
	/** Signature of the response to the item's reward call. */
	score?: string;
}>;

/** The part of a batch that is kept in memory, without request bodies and outputs. */
export type BatchPlan = Readonly<{
	host: string;
	path: string;
	step: number;
	model: ModelId;
	minVersion: number;
	targetGroups: number;
	/** Time of the first submission, on the store's clock. */
	submittedAt: Millis;
	groups: readonly GroupPlan[];
	/** Set if an item has a reward call. Daemons of builds that can't send such calls must not run the batch. */
	hasRewards?: true;
	/** The team that the batch belongs to. Absent if there were no teams when it was submitted, or a daemon of an earlier build took it. */
	team?: TeamId;
}>;

/** Who makes a call about a batch. */
export type BatchReader =
	/** The configuration has no teams. */
	| Readonly<{kind: 'anyone'}>
	/** `team` is undefined for a public call without a known key. */
	| Readonly<{kind: 'team'; team: TeamId | undefined}>;

export const anyone: BatchReader = {kind: 'anyone'};

/** Whether the batch exists as far as the reader can tell. A batch without a team exists for everyone. */
export function isVisible(plan: BatchPlan, reader: BatchReader): boolean {
	return reader.kind === 'anyone' || plan.team === undefined || plan.team === reader.team;
}

export type GroupPlan = Readonly<{
	items: ReadonlyArray<Readonly<{id: ItemId; expectedTokens: number}>>;
	/** Absent if the trainer does not give the prompt tokens of all items, or a daemon of an earlier build took the batch. */
	prompt?: GroupPrompt;
}>;

/** What earlier runs of an item have left. */
export type ClaimedText = Readonly<{
	failures: number;
	hasPartialText: boolean;
	/** Software version of the engines that generated the partial text, if known. */
	textVersion?: SoftwareVersion | undefined;
}>;

/** State of an item. */
export type ItemClaim =
	| Readonly<{kind: 'open'} & ClaimedText>
	/** A daemon is running the item on an engine. */
	| Readonly<{kind: 'running'; incarnation: string; engine: string} & ClaimedText>
	/** The text is complete and stored. A daemon gets its reward, or none does if `incarnation` is undefined. */
	| Readonly<{kind: 'rewarding'; incarnation: string | undefined; rewardFailures: number} & ClaimedText>
	/** The result of the item has a position in the list of results. */
	| Readonly<{kind: 'listed'}>;

export const unclaimed: ItemClaim = {kind: 'open', failures: 0, hasPartialText: false};

export function itemCount(plan: BatchPlan): number {
	return plan.groups.reduce((sum, group) => sum + group.items.length, 0);
}
