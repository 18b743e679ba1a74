import type {UpstreamRecord} from '@cicadapost/fleet';
import type {
	BatchId, ItemId, Millis, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {RewardCall, SampleResult, SampleText} from './batch.js';
import {areVersionsAllowed} from './decide-run.js';
import type {ItemBody} from './encode-rows.js';
import type {RunEnd, SampleRun} from './engine-client.js';
import type {ClaimTarget, ItemReference} from './plan-claims.js';

/** Limits that the route of a batch sets. */
export type BatchRules = Readonly<{
	maxAttempts: number;
	isSingleVersion: boolean;
	/** Time limit for a run. */
	runMs: Millis;
}>;

/** A sample whose text is complete, and the reward call that its result still needs. */
export type CompletedText = ItemReference & Readonly<{
	id: ItemId;
	text: SampleText;
	reward: RewardCall;
	/** False for a text that is too large for the store, which is lost with this daemon. */
	isStored: boolean;
}>;

/** The outcome of a run, for logs and metrics. */
export type RunReport = Readonly<{
	batch: BatchId;
	item: string;
	engine: UpstreamId;
	outcome: string;
	events: number;
	expectedTokens: number;
	tookMs: Millis;
	failures: number;
	softwareVersion: SoftwareVersion;
	/** Number of the connection to the engine. */
	connection: number | undefined;
	/** Number of events of earlier runs that this run has continued, and the software version that generated them. */
	resumedEvents: number;
	resumedVersion: SoftwareVersion | undefined;
}>;

/** A sample that is running on an engine or waiting to be sent to it again. */
export type ActiveRun = {
	readonly batch: BatchId;
	readonly group: number;
	readonly item: number;
	readonly engine: UpstreamId;
	readonly startedAt: Millis;
	readonly body: ItemBody;
	readonly isLong: boolean;
	readonly expectedTokens: number;
	text: {events: string[]; lastEventId: number; versions: number[]; softwareVersion: SoftwareVersion | undefined};
	/** Software version of the engine when the run was last sent to it. */
	softwareVersion: SoftwareVersion;
	/** Version of the weights that currently generate events. */
	version: number | undefined;
	failures: number;
	refusals: number;
	lastActivityAt: Millis;
	sentAt: Millis;
	/** Number of events since the run was last sent to its engine. */
	eventsSinceSent: number;
	readonly resumedEvents: number;
	readonly resumedVersion: SoftwareVersion | undefined;
	savedAt: Millis;
	savedEvents: number;
	engineRun: SampleRun | undefined;
	resendTimer: NodeJS.Timeout | undefined;
	/** Set while the run waits for its turn at an engine that limits its rate. */
	withdrawTurn: (() => void) | undefined;
	isOver: boolean;
};

/** Initial state of a run. */
export type RunOptions = Readonly<{
	engine: UpstreamRecord;
	target: ClaimTarget;
	item: number;
	body: ItemBody;
	failures: number;
	/** Output of earlier runs of the item, if the run may resume from it. */
	text: SampleText | undefined;
	isLong: boolean;
	expectedTokens: number;
}>;

export function createRun(options: RunOptions, now: Millis): ActiveRun {
	const {target, item, text} = options;
	return {
		batch: target.batch,
		group: target.group,
		item,
		engine: options.engine.id,
		startedAt: now,
		body: options.body,
		isLong: options.isLong,
		expectedTokens: options.expectedTokens,
		text: text === undefined ? emptyText() : {...text, events: [...text.events], versions: [...text.versions]},
		softwareVersion: options.engine.softwareVersion,
		version: undefined,
		failures: options.failures,
		refusals: 0,
		lastActivityAt: now,
		sentAt: now,
		eventsSinceSent: 0,
		resumedEvents: text?.events.length ?? 0,
		resumedVersion: text?.softwareVersion,
		savedAt: now,
		savedEvents: text?.events.length ?? 0,
		engineRun: undefined,
		resendTimer: undefined,
		withdrawTurn: undefined,
		isOver: false,
	};
}

export function emptyText(): ActiveRun['text'] {
	return {
		events: [], lastEventId: -1, versions: [], softwareVersion: undefined,
	};
}

/** Returns a string that identifies an item, for use as a key in sets and maps. */
export function itemKeyOf({batch, group, item}: ItemReference): string {
	return `${batch}/${group}/${item}`;
}

export function snapshotText(text: ActiveRun['text']): SampleText {
	return {...text, events: [...text.events], versions: [...text.versions]};
}

export function toResult({id, text, state, score}: Readonly<{id: ItemId; text: SampleText; state: SampleResult['state']; score?: string}>): SampleResult {
	return {
		id, state, output: text.events.join('\n'), versions: text.versions, ...(score === undefined ? {} : {score}),
	};
}

export function describeEnd(end: RunEnd): string {
	if ('status' in end) {
		return `${end.kind} with status ${end.status}`;
	}

	return 'cause' in end ? `${end.kind}: ${end.cause}` : end.kind;
}

/** Returns the text that a run on an engine of the software version may continue. */
export function usableText(
	{plan}: BatchView,
	{text, rules, softwareVersion}: Readonly<{text: SampleText | undefined; rules: BatchRules | undefined; softwareVersion: SoftwareVersion}>,
): SampleText | undefined {
	if (text === undefined || rules === undefined || rules.isSingleVersion || text.softwareVersion !== softwareVersion) {
		return undefined;
	}

	return areVersionsAllowed(text.versions, {...rules, minVersion: plan.minVersion}) ? text : undefined;
}
