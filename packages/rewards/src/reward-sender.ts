import type {RewardCall} from '@cicadapost/batches';
import {
	ResponseReceiver, type ForwardFailure, type Forwarder, type Route, type UpstreamProtocol,
} from '@cicadapost/forwarding';
import type {Clock, Millis} from '@cicadapost/types';
import type {CallEnd} from './decide-follow-up.js';

export type SendOptions = Readonly<{
	route: Route;
	deadlineMs: Millis;
	/** Called once, unless the call is cancelled. */
	onEnd: (end: CallEnd) => void;
}>;

/** Sends one reward call to one upstream. */
export abstract class RewardSender {
	/** Call the returned function to cancel the call. */
	abstract send(call: RewardCall, options: SendOptions): () => void;
}

export type ForwardedRewardsOptions = Readonly<{
	clock: Clock;
	forwarder: Pick<Forwarder, 'forward'>;
	protocol: Pick<UpstreamProtocol, 'signatureOf'>;
}>;

/** Sends reward calls like plain requests, so the same upstreams are avoided, and other daemons pass calls on during a partition. */
export class ForwardedRewards extends RewardSender {
	constructor(private readonly options: ForwardedRewardsOptions) {
		super();
	}

	override send(call: RewardCall, {route, deadlineMs, onEnd}: SendOptions): () => void {
		const {clock, forwarder, protocol} = this.options;
		let isOver = false;
		const cancel = forwarder.forward({
			requestId: call.id,
			method: 'POST',
			path: call.path,
			host: call.host,
			headers: [],
			body: call.body,
			// The task repeats calls itself, since it must count the failures of all of them.
			route: {...route, kind: 'idempotent', maxAttempts: 1},
			deadlineAt: clock.now() + deadlineMs,
		}, new RewardReceiver(protocol, end => {
			if (!isOver) {
				isOver = true;
				onEnd(end);
			}
		}));
		return () => {
			isOver = true;
			cancel();
		};
	}
}

/** Takes the score from a response. The forwarder passes it on only when it is complete. */
class RewardReceiver extends ResponseReceiver {
	private status = 0;
	private signature: string | undefined;

	constructor(private readonly protocol: Pick<UpstreamProtocol, 'signatureOf'>, private readonly onEnd: (end: CallEnd) => void) {
		super();
	}

	override head(status: number, headers: readonly string[]): void {
		this.status = status;
		this.signature = this.protocol.signatureOf(headers);
	}

	override data(): void {
		// Only the signature of the response counts.
	}

	override end(): void {
		const isSuccessful = this.status >= 200 && this.status < 300;
		if (!isSuccessful) {
			this.onEnd({kind: 'answered', status: this.status});
		} else if (this.signature === undefined) {
			this.onEnd({kind: 'unanswered', reason: 'the response has no signature'});
		} else {
			this.onEnd({kind: 'scored', score: this.signature});
		}
	}

	override truncate(reason: string): void {
		this.onEnd({kind: 'unanswered', reason});
	}

	override fail(failure: ForwardFailure): void {
		switch (failure.kind) {
			case 'refused': {
				this.onEnd({kind: 'refused', retryAfterMs: failure.retryAfterMs, reason: failure.reason});
				break;
			}

			case 'failed': {
				this.onEnd({kind: 'unanswered', reason: failure.reason});
				break;
			}

			case 'timed-out': {
				this.onEnd({kind: 'timed-out'});
				break;
			}
		}
	}
}
