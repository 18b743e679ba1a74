import type {UpstreamRecord} from '@cicadapost/fleet';
import type {ItemId, Millis} from '@cicadapost/types';

export type SampleCall = Readonly<{
	engine: UpstreamRecord;
	host: string;
	item: ItemId;
	path: string;
	/** The item's own headers, name and value in turn. */
	headers: readonly string[];
	body: Uint8Array;
	/** Time that the engine may take. */
	deadlineMs: Millis;
	/** Id of the last event that is known; the run goes on after it. */
	resumeAfter: number | undefined;
}>;

export type SampleEvent = Readonly<{
	id: number;
	data: string;
	/** Set at an event from which on the weights have another version. */
	version: number | undefined;
}>;

export type RunEnd =
	/** The whole text has come. */
	| Readonly<{kind: 'complete'}>
	/** The engine has not run it: full, loading weights, or another engine is at its address. */
	| Readonly<{kind: 'not-run'; status: number}>
	/** The run failed and counts as an attempt. */
	| Readonly<{kind: 'failed'; status: number}>
	/** The item can never be done. */
	| Readonly<{kind: 'impossible'}>
	/** No connection to the engine was to be had. */
	| Readonly<{kind: 'unreachable'; cause: string}>
	/** The stream broke off. */
	| Readonly<{kind: 'broken'; cause: string}>
	| Readonly<{kind: 'aborted'}>;

export type SampleHandlers = Readonly<{
	/** The run begins, with this version of the weights. */
	onStart: (version: number | undefined) => void;
	onEvent: (event: SampleEvent) => void;
	onEnd: (end: RunEnd) => void;
}>;

export type SampleRun = Readonly<{abort: () => void}>;

/** Runs samples at engines as streams of events. */
export abstract class EngineClient {
	abstract run(call: SampleCall, handlers: SampleHandlers): SampleRun;
}
