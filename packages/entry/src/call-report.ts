import type {BatchId, RequestId} from '@cicadapost/types';

/** The outcome of a call that is not forwarded, for logs and metrics. */
export type CallReport = Readonly<{
	requestId: RequestId | BatchId | undefined;
	outcome: string;
	inputs: Readonly<Record<string, unknown>>;
}>;
