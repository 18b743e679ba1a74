import type {LoadReport} from '@cicadapost/fleet';
import type {Millis, RequestId, UpstreamId} from '@cicadapost/types';
import type {ResponseHead} from './connection-pool.js';

/** What an upstream's answer says beside its body. */
export type ResponseMetadata = Readonly<{
	/** The request that it answers, if it says so. */
	requestId?: RequestId;
	/** Whether it bears the mark by which callers know a whole answer of an upstream. */
	isSealed: boolean;
	/** The upstream states that it has not run the request. */
	didNotRun: boolean;
	load?: LoadReport;
	/** Version of the weights at the start of the answer. */
	weightVersion?: number;
}>;

export type ForwardedHeaders = Readonly<{
	/** Name and value in turn, as the caller sent them. */
	received: readonly string[];
	host: string;
	requestId: RequestId | undefined;
	/** Time that the upstream may take. */
	deadlineMs: Millis;
	/** The upstream that is meant; another one at its address must not run the request. */
	upstream: UpstreamId;
}>;

/** Names and forms in which upstreams are spoken to. */
export abstract class UpstreamProtocol {
	/** Headers for the upstream, name and value in turn. */
	abstract requestHeaders(options: ForwardedHeaders): string[];
	abstract readMetadata(head: ResponseHead): ResponseMetadata;
	/** Headers of the upstream's answer that go to the caller, name and value in turn. */
	abstract responseHeaders(head: ResponseHead): string[];
}
