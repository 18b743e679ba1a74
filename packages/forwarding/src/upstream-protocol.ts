import type {LoadReport} from '@cicadapost/fleet';
import type {Millis, RequestId, UpstreamId} from '@cicadapost/types';
import type {ResponseHead} from './connection-pool.js';

/** What the headers of an upstream's response say about it. */
export type ResponseMetadata = Readonly<{
	/** The request that it belongs to, if stated. */
	requestId?: RequestId;
	/** Whether it carries the signature that proves to callers that the response comes from an upstream and is complete. */
	isSigned: boolean;
	/** Whether the upstream states that it has not run the request. */
	didNotRun: boolean;
	load?: LoadReport;
	/** Number of requests per second that the upstream takes from all daemons together. Absent if it has no limit. */
	requestsPerSecond?: number;
	/** Set if the upstream states that it leaves. */
	isLeaving?: true;
	/** Version of the weights at the start of the response. */
	weightVersion?: number;
}>;

const misdirectedRequest = 421;

/** Whether a response comes from the intended upstream: it is not garbled, and not from another process at the same address. */
export function isFromUpstream({isSigned, didNotRun}: ResponseMetadata, status: number): boolean {
	return (isSigned || didNotRun) && status !== misdirectedRequest;
}

/** Whether the intended upstream states that it leaves. Refusals and answers to orders and reports carry no signature. */
export function statesLeaving({isLeaving}: ResponseMetadata, status: number): boolean {
	return isLeaving === true && status !== misdirectedRequest;
}

export type ForwardedHeaders = Readonly<{
	/** Alternating names and values, as the caller sent them. */
	received: readonly string[];
	host: string;
	requestId: RequestId | undefined;
	/** Time that the upstream has for the request. */
	deadlineMs: Millis;
	/** The intended upstream. Another one that now uses the same address must not run the request. */
	upstream: UpstreamId;
}>;

/** Defines the headers that upstreams expect and send. */
export abstract class UpstreamProtocol {
	/** Returns the headers for the upstream as alternating names and values. */
	abstract requestHeaders(options: ForwardedHeaders): string[];
	abstract readMetadata(head: ResponseHead): ResponseMetadata;
	/** Returns the signature of a response with these headers, which are alternating names and values. */
	abstract signatureOf(headers: readonly string[]): string | undefined;
	/** Returns the headers of the upstream's response that go to the caller, as alternating names and values. */
	abstract responseHeaders(head: ResponseHead): string[];
}
