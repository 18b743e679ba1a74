import {GrowingBuffer, smallBodyBytes, type ByteMeter} from '@cicadapost/byte-budget';
import {EventBoundary} from '@cicadapost/event-streams';
import type {Millis} from '@cicadapost/types';
import type {AttemptTarget} from './attempt-target.js';
import {firstHeaderValue, type Exchange, type ResponseHead} from './connection-pool.js';
import type {ResponseMetadata} from './upstream-protocol.js';

/** Maximum size of a buffered response, which is passed on only when complete. An attempt with a longer response fails. */
const maxBufferedResponseBytes = 4 * 1024 * 1024;
/** Maximum length of a line in a stream of events. Longer ones are no events, and a caller's parser would have to keep them. */
const maxStreamLineBytes = 1024 * 1024;
const lineFeed = 0x0A;
const eventStream = 'text/event-stream';

/** One attempt of a request, and what has arrived of its response. */
export class Attempt {
	exchange: Exchange | undefined;
	head: ResponseHead | undefined;
	metadata: ResponseMetadata | undefined;
	isStreaming = false;
	private readonly received = new GrowingBuffer();
	/** Bytes of `received` that are counted. Small responses are not: there is at most one for each connection of a caller. */
	private counted = 0;
	/** Size of the current line of a stream. */
	private size = 0;
	private readonly boundary = new EventBoundary();

	constructor(readonly target: AttemptTarget, readonly sentAt: Millis, private readonly responseBytes?: ByteMeter) {}

	/** Keeps a chunk until the response is complete. Returns false if the response is too long, or if there is no memory for it. */
	buffer(chunk: Uint8Array): boolean {
		if (this.received.length + chunk.length > maxBufferedResponseBytes) {
			return false;
		}

		this.received.append(chunk);
		const more = this.received.capacity - this.counted;
		if (this.received.length <= smallBodyBytes || more === 0 || this.responseBytes === undefined) {
			return true;
		}

		if (!this.responseBytes.tryAdd(more)) {
			return false;
		}

		this.counted += more;
		return true;
	}

	/** Counts the response no longer. Called when the attempt has ended. */
	release(): void {
		this.responseBytes?.remove(this.counted);
		this.counted = 0;
	}

	/** Follows the lines of a stream. Returns false if a chunk continues a line that is too long. */
	checkLine(chunk: Uint8Array): boolean {
		this.boundary.feed(chunk);
		const lineEnd = chunk.lastIndexOf(lineFeed);
		this.size = lineEnd === -1 ? this.size + chunk.length : chunk.length - lineEnd - 1;
		return this.size <= maxStreamLineBytes;
	}

	/** Whether a stream of events that ends here lacks the end of an event. A stream of another content type has no events. */
	get isWithinEvent(): boolean {
		const contentType = this.head === undefined ? undefined : firstHeaderValue(this.head.headers, 'content-type');
		return (contentType ?? eventStream).trim().toLowerCase().startsWith(eventStream) && this.boundary.isWithinEvent;
	}

	get body(): Uint8Array {
		return this.received.bytes;
	}

	/** The target and the state of its connection, for logs. */
	describe(): string {
		return `${this.target.upstream ?? this.target.relay} ${this.exchange?.connection() ?? 'connecting'}`;
	}
}
