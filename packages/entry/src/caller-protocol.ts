import type {BatchSubmission, ResultsPage} from '@cicadapost/batches';
import type {StreamContinuation} from '@cicadapost/forwarding';
import type {Credential} from '@cicadapost/teams';
import type {
	BatchId, ItemId, Millis, RequestId, TeamId,
} from '@cicadapost/types';
import type {Either} from 'purify-ts';

/** The head of an incoming HTTP request. */
export type RequestHead = Readonly<{
	method: string;
	/** Path and query string. */
	target: string;
	/** Alternating names and values. */
	headers: readonly string[];
}>;

/** A parsed call of a caller or trainer. */
export type CallerCall =
	/** A request whose handling depends on its route: forwarded to an upstream, or the submission of a batch. */
	| Readonly<{
		kind: 'routed';
		host: string;
		path: string;
		requestId: RequestId | undefined;
		deadlineMs: Millis | undefined;
		/** Set if the caller continues an interrupted stream. */
		continues?: StreamContinuation;
		credential?: Credential;
	}>
	| Readonly<{kind: 'batch-results'; batch: BatchId; after: number; waitMs: Millis; credential?: Credential}>
	| Readonly<{kind: 'item-body'; batch: BatchId; item: ItemId; credential?: Credential}>
	| Readonly<{kind: 'end-batch'; batch: BatchId; credential?: Credential}>
	| Readonly<{kind: 'invalid'; detail: string}>;

/** An invalid submission. The message names the field and the remedy. */
export class SubmissionError extends Error {
	override readonly name = 'SubmissionError';
}

/** Parses calls of callers and trainers, and encodes the responses. */
export abstract class CallerProtocol {
	/** Path of the platform's readiness probe. */
	abstract readonly readyPath: string;
	abstract parseCall(head: RequestHead): CallerCall;
	/** Returns the headers of an allowed request without its credential and with the name of its team, if any, as alternating names and values. */
	abstract admittedHeaders(options: Readonly<{received: readonly string[]; team: TeamId | undefined}>): string[];
	/** Parses a submission in the memory of its body, which can't be read again. The bodies of its items share that memory. */
	abstract parseSubmission(options: Readonly<{batch: BatchId; host: string; path: string; body: Uint8Array}>): Either<SubmissionError, BatchSubmission>;
	abstract encodeResults(page: ResultsPage): string;
	abstract encodeError(detail: string): string;
}
