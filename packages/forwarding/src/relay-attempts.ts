import type {DaemonId, Millis} from '@cicadapost/types';
import {RelayTarget} from './attempt-target.js';
import type {PlainRequest} from './plain-request.js';
import {NoRelayPath, type RelayPath} from './relay-path.js';

/** Maximum number of daemons that one request is passed on to. */
const maxRelays = 3;

/** The daemons that one request is passed on to. */
export class RelayAttempts {
	/** The longest Retry-After of the daemons that have refused the request. */
	retryMs: Millis = 0;
	private readonly tried = new Set<DaemonId>();

	constructor(private readonly req: PlainRequest, private readonly path: RelayPath = new NoRelayPath()) {}

	/** Whether this daemon reaches no upstream itself. */
	get isPartitioned(): boolean {
		return this.path.isPartitioned;
	}

	get hasNext(): boolean {
		return this.tried.size < maxRelays && this.path.choose(this.tried) !== undefined;
	}

	/** Returns the next daemon for the request, which may send it to `maxAttempts` upstreams, or undefined if there is none. */
	next(maxAttempts: number): RelayTarget | undefined {
		const relay = this.path.choose(this.tried);
		if (relay === undefined) {
			return undefined;
		}

		this.tried.add(relay);
		return new RelayTarget({
			relayPath: this.path, relay, req: this.req, maxAttempts,
		});
	}
}
