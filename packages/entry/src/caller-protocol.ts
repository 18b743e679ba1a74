import type {BatchSubmission, ResultsPage} from '@cicadapost/batches';
import type {
	BatchId, ItemId, Millis, RequestId,
} from '@cicadapost/types';
import type {Either} from 'purify-ts';

/** The head of a request as it came in. */
export type RequestHead = Readonly<{
	method: string;
	/** Path with the query. */
	target: string;
	/** Name and value in turn. */
	headers: readonly string[];
}>;

/** What a caller asks for. */
export type CallerCall =
	/** A request that its route decides about: one for an upstream, or the submission of a batch. */
	| Readonly<{kind: 'routed'; host: string; path: string; requestId: RequestId | undefined; deadlineMs: Millis | undefined}>
	| Readonly<{kind: 'batch-results'; batch: BatchId; after: number; waitMs: Millis}>
	| Readonly<{kind: 'item-body'; batch: BatchId; item: ItemId}>
	| Readonly<{kind: 'end-batch'; batch: BatchId}>
	| Readonly<{kind: 'invalid'; detail: string}>;

/** A submission that can't be accepted, with the field and the remedy. */
export class SubmissionError extends Error {
	override readonly name = 'SubmissionError';
}

/** Names and forms in which callers and trainers speak. */
export abstract class CallerProtocol {
	/** Path at which the platform asks whether this daemon takes callers. */
	abstract readonly readyPath: string;
	abstract parseCall(head: RequestHead): CallerCall;
	abstract parseSubmission(options: Readonly<{batch: BatchId; host: string; path: string; body: Uint8Array}>): Either<SubmissionError, BatchSubmission>;
	abstract encodeResults(page: ResultsPage): string;
	abstract encodeError(detail: string): string;
}
