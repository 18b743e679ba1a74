import {
	isFinalStatus, RelayPath, type AttemptEnd, type AttemptHandlers, type ConnectionPool, type Exchange, type PlainRequest, type RelayOptions, type ResponseHead,
} from '@cicadapost/forwarding';
import type {UpstreamStart} from '@cicadapost/fleet';
import type {
	Clock, DaemonId, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';
import {chooseRelay, type RelayCandidate} from './choose-relay.js';
import {encodeRelayRequest, RelayReplyParser, type RelayReply} from './relay-messages.js';

/** Path of the call that passes a request on. */
export const relayPath = '/relay';

export type RelayClientOptions = Readonly<{
	clock: Clock;
	self: Readonly<{daemon: DaemonId; dataCentre: DataCentreId; region: RegionId}>;
	/** Connections to other daemons. They close after each call, so that none that has gone silent is used. */
	pool: ConnectionPool;
	/** Returns the other daemons that take requests. */
	candidates: () => readonly RelayCandidate[];
	isPartitioned: () => boolean;
	/** Returns the version of the configuration that is in force here. */
	configurationVersion: () => number;
	random: () => number;
	/** Called for each response of an upstream that came through another daemon. */
	onResponse: (upstream: UpstreamStart, head: ResponseHead) => void;
}>;

/** A daemon that could not take a request, or whose response broke off, is not used for this time. It may have lost its links and not have announced it yet. */
const avoidMs = 1000;
/** A daemon that has passed on a request is preferred for this time. */
const provenMs = 5000;

/** Passes requests on to other daemons. */
export class RelayClient extends RelayPath {
	private readonly inProgress = new Map<DaemonId, number>();
	private readonly avoidUntil = new Map<DaemonId, Millis>();
	private readonly provenUntil = new Map<DaemonId, Millis>();

	constructor(private readonly options: RelayClientOptions) {
		super();
	}

	override get isPartitioned(): boolean {
		return this.options.isPartitioned();
	}

	override choose(tried: ReadonlySet<DaemonId>): DaemonId | undefined {
		const {candidates, self, clock, random} = this.options;
		return chooseRelay({
			candidates: candidates(),
			tried,
			inProgress: daemon => this.inProgress.get(daemon) ?? 0,
			isProven: daemon => (this.provenUntil.get(daemon) ?? 0) > clock.now(),
			avoidUntil: daemon => this.avoidUntil.get(daemon) ?? 0,
			dataCentre: self.dataCentre,
			region: self.region,
			now: clock.now(),
			random: random(),
		})?.daemon;
	}

	override send(relay: DaemonId, req: PlainRequest, {maxAttempts, deadlineMs}: RelayOptions, handlers: AttemptHandlers): Exchange {
		const {pool, candidates, configurationVersion, self, onResponse} = this.options;
		const candidate = candidates().find(({daemon}) => daemon === relay);
		if (candidate === undefined) {
			return failLater(handlers, 'the daemon has left');
		}

		const {address, key} = candidate;
		const body = encodeRelayRequest({
			from: self.daemon,
			configuration: configurationVersion(),
			maxAttempts,
			deadlineMs,
			method: req.method,
			target: req.path,
			headers: [...req.headers],
			body: req.body,
		});
		this.inProgress.set(relay, (this.inProgress.get(relay) ?? 0) + 1);
		const response = new RelayedResponse({
			...handlers,
			onEnd: end => {
				this.recordEnd(relay, end);
				handlers.onEnd(end);
			},
		}, onResponse);
		return pool.exchange({id: relay as string as UpstreamId, address, bornAt: 0}, {
			method: 'POST',
			path: relayPath,
			headers: ['Host', address, 'Authorization', `Bearer ${key}`, 'Connection', 'close'],
			body,
		}, {
			onHead: head => response.onHead(head),
			onData: chunk => response.onData(chunk),
			onEnd(end) {
				response.onEnd(end);
			},
		});
	}

	private recordEnd(relay: DaemonId, end: AttemptEnd): void {
		const left = (this.inProgress.get(relay) ?? 1) - 1;
		if (left > 0) {
			this.inProgress.set(relay, left);
		} else {
			this.inProgress.delete(relay);
		}

		const now = this.options.clock.now();
		switch (end.kind) {
			case 'complete': {
				this.avoidUntil.delete(relay);
				this.provenUntil.set(relay, now + provenMs);
				break;
			}

			case 'not-sent':
			case 'broken': {
				this.avoidUntil.set(relay, now + avoidMs);
				this.provenUntil.delete(relay);
				break;
			}

			case 'refused':
			case 'aborted': {
				break;
			}
		}
	}
}

/** Returns an exchange that ends without having been sent. */
function failLater(handlers: AttemptHandlers, cause: string): Exchange {
	let isOver = false;
	const finish = (end: AttemptEnd) => {
		if (!isOver) {
			isOver = true;
			handlers.onEnd(end);
		}
	};

	queueMicrotask(() => {
		finish({kind: 'not-sent', cause});
	});
	return {
		abort() {
			finish({kind: 'aborted'});
		},
		connection: () => 'connecting',
	};
}

/** Decodes the stream of another daemon into the response of an upstream, or into the reason why there is none. */
class RelayedResponse {
	private readonly parser = new RelayReplyParser();
	private wasAccepted = true;
	private hasHead = false;

	constructor(private readonly handlers: AttemptHandlers, private readonly onResponse: RelayClientOptions['onResponse']) {}

	onHead({status}: ResponseHead): boolean {
		this.wasAccepted = status === 200;
		return true;
	}

	onData(chunk: Uint8Array): boolean {
		if (!this.wasAccepted) {
			return true;
		}

		let body: Uint8Array;
		try {
			body = this.parser.feed(chunk);
		} catch {
			// Ends the exchange as broken.
			return false;
		}

		const {reply} = this.parser;
		if (reply?.kind !== 'response') {
			return true;
		}

		if (!this.hasHead) {
			this.hasHead = true;
			const head = {status: reply.status, headers: toRecord(reply.headers)};
			// A daemon of an earlier build passes on any status that it gets.
			if (!isFinalStatus(head.status)) {
				return false;
			}

			if (!this.handlers.onHead(head)) {
				return false;
			}

			if (reply.upstream !== undefined) {
				this.onResponse({id: reply.upstream.id as UpstreamId, bornAt: reply.upstream.bornAt}, head);
			}
		}

		return body.length === 0 || this.handlers.onData(body);
	}

	onEnd(end: AttemptEnd): void {
		this.handlers.onEnd(end.kind === 'complete' ? this.toEnd() : end);
	}

	private toEnd(): AttemptEnd {
		if (!this.wasAccepted) {
			return {kind: 'not-sent', cause: 'the other daemon rejected the call'};
		}

		const {reply} = this.parser;
		return reply === undefined ? {kind: 'broken', cause: 'the other daemon sent no reply'} : endOf(reply);
	}
}

function endOf(reply: RelayReply): AttemptEnd {
	switch (reply.kind) {
		case 'response': {
			return {kind: 'complete'};
		}

		case 'unavailable': {
			return {kind: 'not-sent', cause: reply.reason};
		}

		case 'refused': {
			return {kind: 'refused', retryAfterMs: reply.retryAfterMs, cause: reply.reason};
		}

		case 'failed': {
			return {kind: 'broken', cause: reply.reason};
		}
	}
}

function toRecord(flat: readonly string[]): ResponseHead['headers'] {
	const record: Record<string, string | string[]> = {};
	for (let index = 0; index + 1 < flat.length; index += 2) {
		const name = flat[index]!.toLowerCase();
		const value = flat[index + 1]!;
		const known = record[name];
		record[name] = known === undefined ? value : [...(Array.isArray(known) ? known : [known]), value];
	}

	return record;
}
