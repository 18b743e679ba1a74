import {RequestLimits, type Turn, type UpstreamLimit} from './request-limits.js';

/** Ignores all limits. For tests of senders, and as the baseline of tests of the limits. */
export class UnlimitedRequests extends RequestLimits {
	override limitOf(): UpstreamLimit | undefined {
		return undefined;
	}

	override requestTurn(upstream: unknown, maxWaitMs: unknown, onTurn: (turn: Turn) => void): () => void {
		onTurn('granted');
		return () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	}

	override recordSend(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	override recordResponse(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}
