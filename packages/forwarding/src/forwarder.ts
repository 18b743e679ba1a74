import type {ByteMeter} from '@cicadapost/byte-budget';
import type {UpstreamTargetOptions} from './attempt-target.js';
import {ForwardedRequest} from './forward-request.js';
import type {PlainRequest, ResponseReceiver} from './plain-request.js';
import type {RelayPath} from './relay-path.js';
import type {RequestReporterOptions} from './request-reporter.js';
import type {UpstreamSelectionOptions} from './upstream-selection.js';

export type ForwarderOptions = UpstreamSelectionOptions & UpstreamTargetOptions & RequestReporterOptions & Readonly<{
	/** Defaults to none. */
	relays?: RelayPath;
	/** Counts buffered responses of all requests. They are not counted by default. */
	responseBytes?: ByteMeter;
}>;

/** Sends plain requests to upstreams and returns one complete response for each. */
export class Forwarder {
	private readonly active = new Set<ForwardedRequest>();

	constructor(private readonly options: ForwarderOptions) {}

	/** Starts a request. Call the returned function when the caller disconnects. */
	forward(req: PlainRequest, receiver: ResponseReceiver): () => void {
		const request = new ForwardedRequest(this.options, {
			req,
			receiver,
			onOver: () => {
				this.active.delete(request);
			},
		});
		this.active.add(request);
		return request.start();
	}

	/** Ends all requests, each with a response unless it is a stream that has begun. */
	giveUpAll(reason: string): void {
		for (const request of this.active) {
			request.giveUp(reason);
		}
	}
}
