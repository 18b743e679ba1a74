import type {UpstreamRecord, UpstreamStart} from '@cicadapost/fleet';
import type {RequestLimits, SendReason} from '@cicadapost/rate-limits';
import type {
	Clock, DaemonId, Millis, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import type {
	ConnectionPool, Exchange, ExchangeEnd, ExchangeHandlers, ResponseHead,
} from './connection-pool.js';
import {mayHaveCrashed, type CrashGuard} from './crash-registry.js';
import type {PlainRequest} from './plain-request.js';
import type {RelayPath} from './relay-path.js';
import type {StreamOrigins} from './stream-origins.js';
import type {UpstreamHealthTracker} from './upstream-health.js';
import {isFromUpstream, type ResponseMetadata, type UpstreamProtocol} from './upstream-protocol.js';

export type AttemptEnd =
	| ExchangeEnd
	/** Another daemon tried what it could and states that the request has not run. */
	| Readonly<{kind: 'refused'; retryAfterMs: Millis; cause: string}>;

export type AttemptHandlers = Readonly<Omit<ExchangeHandlers, 'onEnd'> & {onEnd: (end: AttemptEnd) => void}>;

/** What happened to an attempt. */
export type AttemptEvent =
	| Readonly<{kind: 'head'; head: ResponseHead; metadata: ResponseMetadata; sentAt: Millis}>
	| Readonly<{kind: 'stream-started'}>
	| Readonly<{kind: 'succeeded'}>
	| Readonly<{kind: 'failed'; end: Readonly<{kind: 'not-sent' | 'broken'; cause: string}>}>
	/** The time of the request is over, and the attempt has had no response for long. */
	| Readonly<{kind: 'timed-out'}>
	| Readonly<{kind: 'ended'}>;

/** Where an attempt of a request is sent. */
export abstract class AttemptTarget {
	/** The upstream, or undefined if another daemon chooses it. */
	abstract readonly upstream: UpstreamId | undefined;
	/** The run of the upstream's process that is meant, if this daemon chooses the upstream. */
	abstract readonly upstreamStart: UpstreamStart | undefined;
	/** Version of the upstream's software, if this daemon chooses the upstream. */
	abstract readonly softwareVersion: SoftwareVersion | undefined;
	/** The daemon that passes the request on, if any. */
	abstract readonly relay: DaemonId | undefined;
	/** Number of upstreams that may get the request through this attempt. */
	abstract readonly maxAttempts: number;
	abstract send(deadlineMs: Millis, handlers: AttemptHandlers): Exchange;
	/** Records what this daemon learns about the target. */
	abstract record(event: AttemptEvent): void;
}

export type UpstreamTargetOptions = Readonly<{
	clock: Clock;
	pool: ConnectionPool;
	health: UpstreamHealthTracker;
	protocol: UpstreamProtocol;
	crashes: CrashGuard;
	limits: RequestLimits;
	streams: StreamOrigins;
}>;

/** An upstream that this daemon has a link to. */
export class UpstreamTarget extends AttemptTarget {
	override readonly relay = undefined;
	override readonly maxAttempts = 1;
	/** Whether the end of the response proves that the upstream has run the request and is still there. */
	private provesRun = false;

	constructor(
		private readonly options: UpstreamTargetOptions,
		private readonly upstreamRecord: UpstreamRecord,
		private readonly req: PlainRequest,
		private readonly reason: SendReason,
	) {
		super();
	}

	override get upstream(): UpstreamId {
		return this.upstreamRecord.id;
	}

	override get upstreamStart(): UpstreamStart {
		const {id, bornAt} = this.upstreamRecord;
		return {id, bornAt};
	}

	override get softwareVersion(): SoftwareVersion {
		return this.upstreamRecord.softwareVersion;
	}

	override send(deadlineMs: Millis, handlers: AttemptHandlers): Exchange {
		const {pool, health, protocol, limits} = this.options;
		const {req} = this;
		health.recordStart(this.upstream);
		limits.recordSend(this.upstreamRecord, this.reason);
		return pool.exchange(this.upstreamRecord, {
			method: req.method,
			path: req.path,
			headers: protocol.requestHeaders({
				received: req.headers, host: req.host, requestId: req.requestId, deadlineMs, upstream: this.upstream,
			}),
			body: req.body,
			id: req.requestId,
		}, handlers);
	}

	override record(event: AttemptEvent): void {
		const {clock, health} = this.options;
		switch (event.kind) {
			case 'head': {
				this.recordHead(event);
				break;
			}

			case 'stream-started': {
				this.recordOrigin();
				break;
			}

			case 'succeeded': {
				health.recordSuccess(this.upstream);
				if (this.provesRun) {
					this.options.crashes.reportResponse(this.req);
				}

				break;
			}

			case 'failed': {
				health.recordFailure(this.upstream, clock.now());
				if (mayHaveCrashed(event.end)) {
					this.options.crashes.reportPossibleCrash(this.req, this.upstreamRecord);
				}

				break;
			}

			case 'timed-out': {
				health.recordFailure(this.upstream, clock.now());
				break;
			}

			case 'ended': {
				health.recordEnd(this.upstream);
				break;
			}
		}
	}

	private recordHead({head, metadata, sentAt}: Extract<AttemptEvent, {kind: 'head'}>): void {
		const {limits, health, clock} = this.options;
		// A response without a length or chunks also ends when its upstream crashes.
		const isFramed = head.headers['content-length'] !== undefined || head.headers['transfer-encoding'] !== undefined;
		this.provesRun = isFramed && metadata.isSigned && !metadata.didNotRun && isFromUpstream(metadata, head.status);
		if (isFromUpstream(metadata, head.status)) {
			limits.recordResponse(this.upstreamRecord, {requestsPerSecond: metadata.requestsPerSecond, sentAt});
		}

		if (metadata.load !== undefined) {
			health.recordLoad(this.upstream, metadata.load, clock.now());
		}
	}

	/** Records where a new stream begins. A continued one keeps the record of its first request. */
	private recordOrigin(): void {
		const {requestId, route, continues} = this.req;
		const {service, softwareVersion} = this.upstreamRecord;
		if (requestId !== undefined && route.isResumable && continues === undefined) {
			this.options.streams.record(requestId, {service, softwareVersion});
		}
	}
}

export type RelayTargetOptions = Readonly<{relayPath: RelayPath; relay: DaemonId; req: PlainRequest; maxAttempts: number}>;

/** Another daemon, which sends the request to an upstream. It records what the upstream's response tells about it. */
export class RelayTarget extends AttemptTarget {
	override readonly upstream = undefined;
	override readonly upstreamStart = undefined;
	override readonly softwareVersion = undefined;

	constructor(private readonly options: RelayTargetOptions) {
		super();
	}

	override get relay(): DaemonId {
		return this.options.relay;
	}

	override get maxAttempts(): number {
		return this.options.maxAttempts;
	}

	override send(deadlineMs: Millis, handlers: AttemptHandlers): Exchange {
		const {relayPath, relay, req, maxAttempts} = this.options;
		return relayPath.send(relay, req, {maxAttempts, deadlineMs}, handlers);
	}

	override record(): void {
		// The relay path itself records which daemons it can't use.
	}
}
