import type {UpstreamRecord} from '@cicadapost/fleet';
import type {ItemId, Millis} from '@cicadapost/types';

export type SampleCall = Readonly<{
	engine: UpstreamRecord;
	host: string;
	item: ItemId;
	path: string;
	/** Headers of the item, as alternating names and values. */
	headers: readonly string[];
	body: Uint8Array;
	/** Time limit for the engine. */
	deadlineMs: Millis;
	/** Id of the last known event, after which the run resumes. */
	resumeAfter: number | undefined;
}>;

export type SampleEvent = Readonly<{
	id: number;
	data: string;
	/** Set if the weight version changed with this event. */
	version: number | undefined;
}>;

export type RunEnd =
	/** The output is complete. */
	| Readonly<{kind: 'complete'}>
	/** The engine did not run the sample: it is full or loading weights, or another engine now has its address. */
	| Readonly<{kind: 'not-run'; status: number}>
	/** The run failed and counts as an attempt. */
	| Readonly<{kind: 'failed'; status: number}>
	/** The item can never succeed. */
	| Readonly<{kind: 'impossible'}>
	/** The engine could not be reached. */
	| Readonly<{kind: 'unreachable'; cause: string}>
	/** The stream ended prematurely. */
	| Readonly<{kind: 'broken'; cause: string}>
	/** The engine sent bytes that are no response. */
	| Readonly<{kind: 'invalid'; cause: string}>
	| Readonly<{kind: 'aborted'}>;

export type SampleHandlers = Readonly<{
	/** The engine responded; its limit in requests per second, or undefined if it has none. */
	onLimit: (requestsPerSecond: number | undefined) => void;
	/** The run has started, with this version of the weights. */
	onStart: (version: number | undefined) => void;
	onEvent: (event: SampleEvent) => void;
	/** Called for each piece of the response with the number of bytes since the last event, which the client keeps. */
	onPending?: (bytes: number) => void;
	onEnd: (end: RunEnd) => void;
}>;

export type SampleRun = Readonly<{
	abort: () => void;
	/** Number of the connection that it uses, for logs. */
	connectionNumber?: number;
}>;

/** Runs samples on engines, which respond with streams of events. */
export abstract class EngineClient {
	abstract run(call: SampleCall, handlers: SampleHandlers): SampleRun;
}
