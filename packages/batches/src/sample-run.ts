import type {UpstreamRecord} from '@cicadapost/fleet';
import type {BatchId, Millis, UpstreamId} from '@cicadapost/types';
import type {SampleText} from './batch.js';
import type {ItemBody} from './encode-rows.js';
import type {RunEnd, SampleRun} from './engine-client.js';
import type {ClaimTarget, ItemReference} from './plan-claims.js';

export type RunReport = Readonly<{
	batch: BatchId;
	item: string;
	engine: UpstreamId;
	outcome: string;
	events: number;
	expectedTokens: number;
	tookMs: Millis;
	failures: number;
}>;

/** A sample that runs at an engine, or waits to be sent there again. */
export type ActiveRun = {
	readonly batch: BatchId;
	readonly group: number;
	readonly item: number;
	readonly engine: UpstreamId;
	readonly startedAt: Millis;
	readonly body: ItemBody;
	readonly isLong: boolean;
	readonly expectedTokens: number;
	text: {events: string[]; lastEventId: number; versions: number[]};
	/** Version of the weights that make the events now. */
	version: number | undefined;
	failures: number;
	refusals: number;
	lastActivityAt: Millis;
	sentAt: Millis;
	/** Events since the run was sent to its engine. */
	eventsSinceSent: number;
	savedAt: Millis;
	savedEvents: number;
	engineRun: SampleRun | undefined;
	resendTimer: NodeJS.Timeout | undefined;
	isOver: boolean;
};

/** What a run begins with. */
export type RunOptions = Readonly<{
	engine: UpstreamRecord;
	target: ClaimTarget;
	item: number;
	body: ItemBody;
	failures: number;
	/** What the item has generated so far, if the run may go on from it. */
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
		text: {events: [...text?.events ?? []], lastEventId: text?.lastEventId ?? -1, versions: [...text?.versions ?? []]},
		version: undefined,
		failures: options.failures,
		refusals: 0,
		lastActivityAt: now,
		sentAt: now,
		eventsSinceSent: 0,
		savedAt: now,
		savedEvents: text?.events.length ?? 0,
		engineRun: undefined,
		resendTimer: undefined,
		isOver: false,
	};
}

/** One text for the place of an item, as a key of sets. */
export function itemKeyOf({batch, group, item}: ItemReference): string {
	return `${batch}/${group}/${item}`;
}

export function snapshotText(text: ActiveRun['text']): SampleText {
	return {events: [...text.events], lastEventId: text.lastEventId, versions: [...text.versions]};
}

export function describeEnd(end: RunEnd): string {
	if ('status' in end) {
		return `${end.kind} with status ${end.status}`;
	}

	return 'cause' in end ? `${end.kind}: ${end.cause}` : end.kind;
}
