import type {Millis} from '@cicadapost/types';
import type {SampleResult, SampleText} from './batch.js';
import type {RunEnd} from './engine-client.js';

export type RunState = Readonly<{
	text: SampleText;
	/** Runs of the item that failed, on any engine. */
	failures: number;
	maxAttempts: number;
	/** Refusals of the present engine in a row. */
	refusals: number;
	/** Whether the engine takes new work. */
	isEngineReady: boolean;
	minVersion: number;
	isSingleVersion: boolean;
}>;

export type FollowUp =
	| Readonly<{kind: 'list'; state: SampleResult['state']}>
	/** Runs again at the same engine after a pause, going on from the text. */
	| Readonly<{kind: 'again'; afterMs: Millis}>
	/** Leaves the item to the next engine with room. */
	| Readonly<{kind: 'release'; failures: number; keepText: boolean}>;

/** An engine that refuses frees a slot within some tens of milliseconds, or is loading weights for about a second. */
const refusalRetryMs = 60;
/** Refusals after which another engine is likely to be faster. */
const maxRefusals = 20;

/** Decides what follows the end of a run of one sample. A text that breaks a bound on versions is never listed. */
export function decideFollowUp(end: Exclude<RunEnd, {kind: 'aborted'}>, state: RunState): FollowUp {
	switch (end.kind) {
		case 'complete': {
			return areVersionsAllowed(state.text.versions, state)
				? {kind: 'list', state: 'completed'}
				: {kind: 'release', failures: state.failures, keepText: false};
		}

		case 'impossible': {
			return {kind: 'list', state: 'terminated'};
		}

		case 'failed': {
			const failures = state.failures + 1;
			return failures >= state.maxAttempts ? {kind: 'list', state: 'terminated'} : {kind: 'release', failures, keepText: true};
		}

		case 'not-run': {
			return state.isEngineReady && state.refusals < maxRefusals && end.status !== 421
				? {kind: 'again', afterMs: refusalRetryMs}
				: {kind: 'release', failures: state.failures, keepText: true};
		}

		case 'unreachable':
		case 'broken': {
			return {kind: 'release', failures: state.failures, keepText: true};
		}
	}
}

/** Whether a text may be a sample of its batch. */
export function areVersionsAllowed(versions: readonly number[], bounds: Readonly<{minVersion: number; isSingleVersion: boolean}>): boolean {
	return versions.every(version => version >= bounds.minVersion) && (!bounds.isSingleVersion || versions.length <= 1);
}

export type StallState = Readonly<{
	/** Time since the run was sent or its last event came. */
	sinceLastEventMs: Millis;
	hasEvents: boolean;
}>;

/** A run has to wait at most for the prompts of others and a load of weights before its first event. */
const firstEventTimeoutMs = 2500;
/** Events come 30 to 50 ms apart, up to four times that on a slowed engine; a load of weights takes about a second. */
const nextEventTimeoutMs = 1600;

/** Whether a silent run is given up, since its engine may have gone dark without closing the connection. */
export function isStalled({sinceLastEventMs, hasEvents}: StallState): boolean {
	return sinceLastEventMs > (hasEvents ? nextEventTimeoutMs : firstEventTimeoutMs);
}
