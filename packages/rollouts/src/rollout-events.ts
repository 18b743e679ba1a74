import type {
	CallId, Chunk, DaemonId, ListedRow, MemberId, Millis, ObjectResponse, PoolId, RequestId, RowResponse, TouchCall, TrainerAnswer, TrainerCall, VersionSpan,
} from '@cicadapost/types';

/** `<member>/<step>`, with the member percent-encoded. */
export type StepKey = string;

export type RolloutEvent =
	/**
	A trainer's call. `from` is the daemon that forwarded it, or undefined if the trainer is connected to this daemon.
	`mayForward` is false for a call that has already been forwarded within this data centre, which prevents forwarding loops.
	*/
	| Readonly<{kind: 'call'; call: CallId; from: DaemonId | undefined; member: MemberId; request: TrainerCall | TouchCall; owner: DaemonId | undefined; mayForward: boolean}>
	/** The owner's response to a call that this daemon forwarded. */
	| Readonly<{kind: 'forward-answer'; call: CallId; answer: TrainerAnswer}>
	/** The trainer closed its connection before it received a response. */
	| Readonly<{kind: 'trainer-left'; call: CallId}>
	| Readonly<{kind: 'sample-chunk'; requestId: RequestId; chunk: Chunk}>
	| Readonly<{kind: 'sample-finished'; requestId: RequestId; tokens: number; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'sample-failed'; requestId: RequestId; retryAfterMs: Millis}>
	| Readonly<{kind: 'row-answer'; call: CallId; answer: RowResponse}>
	| Readonly<{kind: 'list-answer'; call: CallId; rows: readonly ListedRow[] | undefined}>
	| Readonly<{kind: 'object-answer'; call: CallId; answer: ObjectResponse}>
	/** The current owner of each step that this daemon holds or has forwarded a call for. */
	| Readonly<{kind: 'owners'; owners: ReadonlyMap<StepKey, DaemonId | undefined>}>
	/** Must be sent at least every 100 ms. */
	| Readonly<{kind: 'tick'}>;

export type RolloutAction =
	/** Responds to a trainer's call. `to` is the daemon that forwarded it, or undefined if the trainer is connected to this daemon. */
	| Readonly<{kind: 'answer'; call: CallId; to: DaemonId | undefined; answer: TrainerAnswer}>
	| Readonly<{kind: 'forward'; call: CallId; to: DaemonId; member: MemberId; request: TrainerCall | TouchCall}>
	| Readonly<{kind: 'start-sample'; requestId: RequestId; member: MemberId; pool: PoolId; prompt: string; seed: number; maxTokens: number; timeoutMs: Millis}>
	| Readonly<{kind: 'cancel-sample'; requestId: RequestId}>
	| Readonly<{kind: 'read-row'; call: CallId; table: string; key: string}>
	| Readonly<{kind: 'write-row'; call: CallId; table: string; key: string; expectedVersion: number; value: string}>
	| Readonly<{kind: 'list-rows'; call: CallId; table: string; prefix: string}>
	| Readonly<{kind: 'get-object'; call: CallId; key: string}>
	| Readonly<{kind: 'put-object'; call: CallId; key: string; value: string}>
	| Readonly<{kind: 'delete-object'; call: CallId; key: string}>;
