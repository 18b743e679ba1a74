import type {DaemonId, Millis} from '@cicadapost/types';
import type {AttemptHandlers} from './attempt-target.js';
import type {Exchange} from './connection-pool.js';
import type {PlainRequest} from './plain-request.js';

export type RelayOptions = Readonly<{
	/** Number of upstreams that the other daemon may send the request to. */
	maxAttempts: number;
	/** Time left for the request. */
	deadlineMs: Millis;
}>;

/** The way of a request to an upstream through another daemon. */
export abstract class RelayPath {
	/** Whether this daemon has found that it reaches no upstream. */
	abstract readonly isPartitioned: boolean;
	/** Returns a daemon that probably reaches upstreams, or undefined if there is none besides `tried`. */
	abstract choose(tried: ReadonlySet<DaemonId>): DaemonId | undefined;
	abstract send(relay: DaemonId, req: PlainRequest, options: RelayOptions, handlers: AttemptHandlers): Exchange;
}

/** Passes on nothing. Used for requests that come from another daemon, so that a request takes at most one such hop. */
export class NoRelayPath extends RelayPath {
	override readonly isPartitioned = false;

	override choose(): undefined {
		return undefined;
	}

	override send(): never {
		throw new Error('no daemon was chosen; call `choose` first');
	}
}
