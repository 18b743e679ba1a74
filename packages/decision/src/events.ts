/** Events that the decision logic of a daemon accepts, and actions that it returns. */

import type {ProblemError} from '@cicadapost/errors';
import type {
	AttemptFailure, AttemptId, CallId, Chunk, DaemonId, ListedRow, MemberId, Millis, ObjectResponse, Payload, PeerMessage, PoolId, RefusalReason, Request, RequestId, RowResponse,
	TrainerAnswer, TrainerCall, UpstreamId, UpstreamStatus, VersionSpan, VmRecord,
} from '@cicadapost/types';

export type DaemonEvent =
	/** A caller's request that has been authenticated and checked. */
	| Readonly<{kind: 'request'; request: Request}>
	| Readonly<{kind: 'caller-left'; requestId: RequestId}>
	/** From now on a byte may have reached the upstream. */
	| Readonly<{kind: 'attempt-sent'; attempt: AttemptId}>
	| Readonly<{kind: 'attempt-chunk'; attempt: AttemptId; chunk: Chunk}>
	| Readonly<{kind: 'attempt-finished'; attempt: AttemptId; tokens: number; status: number; contentType: string}>
	| Readonly<{kind: 'attempt-failed'; attempt: AttemptId; failure: AttemptFailure | RefusalReason; sent: boolean; retryAfterMs?: Millis; detail?: string}>
	| Readonly<{kind: 'message'; from: DaemonId; message: PeerMessage}>
	/** A connection to `daemon` is open. */
	| Readonly<{kind: 'peer-connected'; daemon: DaemonId}>
	/** No connection could be opened in time to send `message`. */
	| Readonly<{kind: 'message-unsent'; to: DaemonId; message: PeerMessage}>
	/** Response to `read-state`. `status` is undefined if the upstream did not respond. */
	| Readonly<{kind: 'upstream-state'; upstream: UpstreamId; status: UpstreamStatus | undefined}>
	/** Response to `read-weights`: newest weight version of the pool's model, undefined if the weight store did not return one. */
	| Readonly<{kind: 'weights'; pool: PoolId; version: number | undefined}>
	/** Whether the engine accepted the order of `send-order`. */
	| Readonly<{kind: 'order-answer'; upstream: UpstreamId; isAccepted: boolean}>
	| Readonly<{kind: 'vm-list'; vms: readonly VmRecord[]}>
	| Readonly<{kind: 'row-answer'; call: CallId; answer: RowResponse}>
	| Readonly<{kind: 'list-answer'; call: CallId; rows: readonly ListedRow[] | undefined}>
	| Readonly<{kind: 'object-answer'; call: CallId; answer: ObjectResponse}>
	/** A trainer's call that has been authenticated and checked. */
	| Readonly<{kind: 'trainer-call'; call: CallId; member: MemberId; request: TrainerCall}>
	| Readonly<{kind: 'trainer-left'; call: CallId}>
	| Readonly<{kind: 'apply-configuration'; call: CallId; expectedVersion: number; document: string}>
	| Readonly<{kind: 'shut-down'}>
	/** Must be posted every 20 ms while `hasWaitingFrames` is true. A tick flushes the frames as well. */
	| Readonly<{kind: 'flush-relays'}>
	/** Must be posted at least every 100 ms. */
	| Readonly<{kind: 'tick'}>;

export type DaemonAction =
	| Readonly<{kind: 'send'; to: DaemonId; message: PeerMessage}>
	| Readonly<{kind: 'connect'; daemon: DaemonId; address: string}>
	| Readonly<{kind: 'disconnect'; daemon: DaemonId}>
	/** Answered by a `vm-list` event. */
	| Readonly<{kind: 'read-vm-list'}>
	/** Requests `GET /state` of an upstream. Answered by an `upstream-state` event. */
	| Readonly<{kind: 'read-state'; upstream: UpstreamId}>
	/** The I/O layer checks `notAfter` again right before it writes the first byte, and reports `late` if the time has passed. */
	| Readonly<{kind: 'open-attempt'; attempt: AttemptId; upstream: UpstreamId; payload: Payload; idempotent: boolean; resumeFrom: number; deadlineAt: Millis; notAfter: Millis}>
	| Readonly<{kind: 'cancel-attempt'; attempt: AttemptId}>
	| Readonly<{kind: 'deliver'; requestId: RequestId; chunk: Chunk}>
	| Readonly<{kind: 'complete'; requestId: RequestId; tokens: number; status: number; contentType: string; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'fail'; requestId: RequestId; cause: AttemptFailure | RefusalReason; sent: boolean; problem: ProblemError}>
	| Readonly<{kind: 'read-row'; call: CallId; table: string; key: string}>
	/** Compare-and-set. An `expectedVersion` of 0 inserts the row. */
	| Readonly<{kind: 'write-row'; call: CallId; table: string; key: string; expectedVersion: number; value: string}>
	| Readonly<{kind: 'list-rows'; call: CallId; table: string; prefix: string}>
	| Readonly<{kind: 'get-object'; call: CallId; key: string}>
	| Readonly<{kind: 'put-object'; call: CallId; key: string; value: string}>
	| Readonly<{kind: 'delete-object'; call: CallId; key: string}>
	| Readonly<{kind: 'trainer-answer'; call: CallId; answer: TrainerAnswer}>
	/** Answered by a `weights` event. */
	| Readonly<{kind: 'read-weights'; pool: PoolId}>
	/** Sends `POST /orders` with `load-version`. Must not be sent at or after `notAfter` on the monotonic clock. */
	| Readonly<{kind: 'send-order'; call: CallId; pool: PoolId; upstream: UpstreamId; version: number; fence: number; notAfter: Millis}>
	| Readonly<{kind: 'configuration-in-effect'; version: number; document: string}>
	| Readonly<{kind: 'apply-accepted'; call: CallId; version: number}>
	| Readonly<{kind: 'apply-refused'; call: CallId; problem: ProblemError; currentVersion: number; currentDocument: string}>
	/** Writes a log line. `event` is its stable name. */
	| Readonly<{kind: 'log'; event: string; detail: string}>
	/** No work is in flight and the daemon may exit. */
	| Readonly<{kind: 'stopped'}>;
