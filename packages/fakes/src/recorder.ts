import type {DaemonAction} from '@cicadapost/decision';
import type {
	AttemptFailure, AttemptId, Chunk, DaemonId, Millis, RefusalReason, RequestId, RunOutcome, UpstreamId, VersionSpan,
} from '@cicadapost/types';

/** An event that is visible from outside the daemons. Times are virtual, in milliseconds. */
export type Observation = Readonly<
	/** `job` is the `key` of the job, which stays the same when a caller resends it. */
	| {kind: 'caller-sent'; daemon: DaemonId; requestId: RequestId; job: string}
	| {kind: 'caller-chunk'; requestId: RequestId; chunk: Chunk}
	| {kind: 'caller-completed'; requestId: RequestId; tokens: number; status: number; versions: readonly VersionSpan[]}
	| {kind: 'caller-failed'; requestId: RequestId; cause: AttemptFailure | RefusalReason; outcome: RunOutcome; retryAfterMs: Millis | undefined}
	/** The caller's connection broke because the daemon was not running any more. */
	| {kind: 'caller-cut'; requestId: RequestId}
	| {kind: 'upstream-received'; upstream: UpstreamId; attempt: AttemptId; job: string; resumeFrom: number; isLeaving: boolean; cachedTokens: number}
	| {kind: 'upstream-ended'; upstream: UpstreamId; attempt: AttemptId; job: string; result: 'finished' | 'cancelled' | 'died'; tokens: number}
	| {kind: 'upstream-died' | 'upstream-started' | 'upstream-leaving'; upstream: UpstreamId}
	| {kind: 'upstream-order'; upstream: UpstreamId; fence: number; version: number; result: 'accepted' | 'stale-fence' | 'dead'}
	| {kind: 'upstream-version'; upstream: UpstreamId; version: number; isFailedSwap: boolean}
	| {kind: 'row-written'; by: string; table: string; key: string; version: number; value: string}
	| {kind: 'object-written' | 'object-deleted'; by: string; key: string}
	| {kind: 'daemon-started' | 'daemon-killed' | 'daemon-paused' | 'daemon-resumed' | 'daemon-stopped'; daemon: DaemonId}
	| {kind: 'configuration-in-effect'; daemon: DaemonId; version: number}
	| {kind: 'apply-accepted'; daemon: DaemonId; call: string; version: number}
	| {kind: 'apply-refused'; daemon: DaemonId; call: string; currentVersion: number}
	/** The decision code returned an action for which no handler is registered. */
	| {kind: 'unhandled-action'; daemon: DaemonId; action: Readonly<{kind: string}>}
	| {kind: 'note'; text: string; data?: unknown}
> & Readonly<{at: Millis}>;

type WithoutTime<Value> = Value extends unknown ? Omit<Value, 'at'> : never;

/** Records observations in the order in which they happen. */
export class Recorder {
	readonly events: Observation[] = [];
	private readonly listeners: Array<(event: Observation) => void> = [];

	/** If `recordsEvents` is false, observations only go to listeners, so that memory does not grow during long runs. */
	constructor(private readonly now: () => Millis, private readonly recordsEvents = true) {}

	listen(listener: (event: Observation) => void): void {
		this.listeners.push(listener);
	}

	record(event: WithoutTime<Observation>): void {
		const observation = {at: this.now(), ...event} as Observation;
		if (this.recordsEvents) {
			this.events.push(observation);
		}

		for (const listener of this.listeners) {
			listener(observation);
		}
	}
}

export type ActionOf<Kind extends DaemonAction['kind']> = Extract<DaemonAction, {kind: Kind}>;
