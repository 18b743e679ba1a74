import {chooseUpstream, type UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {
	maxTurnWaitMs, type RequestLimits, type SendReason, type Turn,
} from '@cicadapost/rate-limits';
import type {
	Clock, DataCentreId, Millis, UpstreamId,
} from '@cicadapost/types';
import type {ResponseHead, ConnectionPool, Exchange} from './connection-pool.js';
import {mayHaveCrashed, type CrashGuard} from './crash-registry.js';
import {decideNextStep, hedgeDelay, type AttemptOutcome} from './decide-attempt.js';
import type {PlainRequest, RequestReport, ResponseReceiver} from './plain-request.js';
import {pickService} from './route.js';
import type {UpstreamHealthTracker} from './upstream-health.js';
import {isFromUpstream, type ResponseMetadata, type UpstreamProtocol} from './upstream-protocol.js';

export type ForwarderOptions = Readonly<{
	clock: Clock;
	directory: UpstreamDirectory;
	pool: ConnectionPool;
	health: UpstreamHealthTracker;
	protocol: UpstreamProtocol;
	crashes: CrashGuard;
	limits: RequestLimits;
	dataCentre: DataCentreId;
	random: () => number;
	onRequestReport: (report: RequestReport) => void;
}>;

/** `Retry-After` for a request that no upstream accepts. It is short, so that callers with short deadlines can still retry. */
const refusalRetryMs = 80;
/** A timeout counts as a failure of the upstream only if it had the request for this long, since a route's timeout may be shorter than the work takes. */
const timeoutFailureThresholdMs = 700;
/** Maximum size of a buffered response, which is passed on only when complete. An attempt with a longer response fails. */
const maxBufferedResponseBytes = 4 * 1024 * 1024;
/** Maximum length of a line in a stream of events. Longer ones are no events, and a caller's parser would have to keep them. */
const maxStreamLineBytes = 1024 * 1024;
const lineFeed = 0x0A;
/** A request waits for a turn for this much longer than elsewhere: about two calls to a store in another region. */
const turnPatienceMs = 60;

type Attempt = {
	readonly upstream: UpstreamRecord;
	readonly sentAt: Millis;
	exchange: Exchange | undefined;
	head: ResponseHead | undefined;
	metadata: ResponseMetadata | undefined;
	chunks: Uint8Array[];
	/** Size of `chunks`, or of the current line of a stream. */
	size: number;
	isStreaming: boolean;
};

/** Sends plain requests to upstreams and returns one complete response for each. */
export class Forwarder {
	constructor(private readonly options: ForwarderOptions) {}

	/** Starts a request. Call the returned function when the caller disconnects. */
	forward(req: PlainRequest, receiver: ResponseReceiver): () => void {
		return new ForwardedRequest(this.options, req, receiver).start();
	}
}

/** Manages the attempts of one request until it has a response. */
class ForwardedRequest {
	private readonly attempts = new Set<Attempt>();
	/** Upstreams that have had the request, or twice had no turn for it. */
	private readonly tried = new Set<UpstreamId>();
	/** Upstreams that had no turn for the request in time. Only after that does this daemon know how long their queue is. */
	private readonly withoutTurn = new Set<UpstreamId>();
	/** Withdraws the request for a turn at an upstream that limits its rate. */
	private withdrawTurn: (() => void) | undefined;
	private sent = 0;
	private mayHaveRun = false;
	private isOver = false;
	private readonly startedAt: Millis;
	private hedgeTimer: NodeJS.Timeout | undefined;
	private deadlineTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly options: ForwarderOptions,
		private readonly req: PlainRequest,
		private readonly receiver: ResponseReceiver,
	) {
		this.startedAt = options.clock.now();
	}

	start(): () => void {
		this.deadlineTimer = setTimeout(() => {
			this.onDeadline();
		}, Math.max(1, this.remainingMs()));
		if (this.options.crashes.isBlocked(this.req)) {
			this.rejectBlocked();
		} else if (!this.tryNext('first')) {
			this.refuse('no upstream of the service is ready');
		}

		return () => {
			this.finish('caller left');
		};
	}

	private remainingMs(): Millis {
		return this.req.deadlineAt - this.options.clock.now();
	}

	private readyUpstreams(): readonly UpstreamRecord[] {
		const service = pickService(this.req.route, this.options.random());
		return service === undefined ? [] : this.options.directory.ready(service);
	}

	/** Upstreams that have not had the request and can take it in time. A hedge must not use up the rate of a limited upstream. */
	private candidates(reason: SendReason): readonly UpstreamRecord[] {
		return this.readyUpstreams().filter(upstream => {
			const limit = this.options.limits.limitOf(upstream);
			const canTake = limit === undefined || (reason !== 'hedge' && limit.waitMs <= this.maxWaitMs(limit.requestsPerSecond));
			return canTake && !this.tried.has(upstream.id);
		});
	}

	private maxWaitMs(requestsPerSecond: number): Millis {
		return maxTurnWaitMs({remainingMs: this.remainingMs(), targetLatencyMs: this.req.route.targetLatencyMs, requestsPerSecond});
	}

	private hasCandidate(reason: SendReason): boolean {
		return !this.options.crashes.isBlocked(this.req) && this.candidates(reason).length > 0;
	}

	private tryNext(reason: SendReason): boolean {
		const {clock, health, limits, pool, dataCentre, random} = this.options;
		const now = clock.now();
		const upstream = chooseUpstream({
			candidates: this.candidates(reason),
			health: id => health.healthOf(id, pool.hasIdle(id)),
			turnWaitMs: candidate => limits.limitOf(candidate)?.waitMs,
			dataCentre,
			tried: this.tried,
			now,
			random: random(),
		});
		if (upstream === undefined) {
			return false;
		}

		const limit = limits.limitOf(upstream);
		if (limit === undefined) {
			this.sendAttempt(upstream, reason);
		} else {
			const maxWaitMs = Math.min(this.maxWaitMs(limit.requestsPerSecond), this.waitElsewhereMs(upstream, reason) + turnPatienceMs);
			this.requestTurn(upstream, {reason, maxWaitMs});
		}

		return true;
	}

	/** Shortest expected wait at another upstream that works; infinite if there is none. */
	private waitElsewhereMs(chosen: UpstreamRecord, reason: SendReason): Millis {
		const {clock, health, limits} = this.options;
		const others = this.candidates(reason).filter(({id}) => id !== chosen.id && health.healthOf(id, false).avoidUntil <= clock.now());
		return Math.min(...others.map(upstream => limits.limitOf(upstream)?.waitMs ?? 0));
	}

	/** Waits for a turn at an upstream that limits its rate, and looks for another one if none is free in time. */
	private requestTurn(upstream: UpstreamRecord, {reason, maxWaitMs}: Readonly<{reason: SendReason; maxWaitMs: Millis}>): void {
		this.withdrawTurn = this.options.limits.requestTurn(upstream, maxWaitMs, turn => {
			this.withdrawTurn = undefined;
			this.onTurn(upstream, turn, reason);
		});
	}

	private onTurn(upstream: UpstreamRecord, turn: Turn, reason: SendReason): void {
		if (this.isOver) {
			return;
		}

		const current = this.options.directory.get(upstream.id);
		if (turn === 'granted' && current?.state === 'ready' && current.bornAt === upstream.bornAt) {
			this.sendAttempt(upstream, reason);
			return;
		}

		if (this.withoutTurn.has(upstream.id)) {
			this.tried.add(upstream.id);
		}

		this.withoutTurn.add(upstream.id);
		this.decideNextStep(undefined, {kind: 'not-sent', cause: turn === 'none' ? 'the upstream limits its rate' : 'the upstream has left'});
	}

	private sendAttempt(upstream: UpstreamRecord, reason: SendReason): void {
		this.tried.add(upstream.id);
		this.sent += 1;
		this.send(upstream, reason);
		this.scheduleHedge();
	}

	private send(upstream: UpstreamRecord, reason: SendReason): void {
		const {
			pool, health, protocol, limits,
		} = this.options;
		const {req} = this;
		const attempt: Attempt = {
			upstream, sentAt: this.options.clock.now(), exchange: undefined, head: undefined, metadata: undefined, chunks: [], size: 0, isStreaming: false,
		};
		this.attempts.add(attempt);
		health.recordStart(upstream.id);
		limits.recordSend(upstream, reason);
		attempt.exchange = pool.exchange(upstream, {
			method: req.method,
			path: req.path,
			headers: protocol.requestHeaders({
				received: req.headers, host: req.host, requestId: req.requestId, deadlineMs: Math.max(1, Math.floor(this.remainingMs())), upstream: upstream.id,
			}),
			body: req.body,
		}, {
			onHead: head => this.onHead(attempt, head),
			onData: chunk => this.onData(attempt, chunk),
			onEnd: end => {
				health.recordEnd(upstream.id);
				this.attempts.delete(attempt);
				if (this.isOver) {
					return;
				}

				switch (end.kind) {
					case 'complete': {
						this.onResponseComplete(attempt);
						break;
					}

					case 'aborted': {
						break;
					}

					case 'not-sent':
					case 'broken': {
						this.onFailure(attempt, end);
						break;
					}
				}
			},
		});
	}

	private onHead(attempt: Attempt, head: ResponseHead): boolean {
		const metadata = this.options.protocol.readMetadata(head);
		if (metadata.requestId !== undefined && metadata.requestId !== this.req.requestId) {
			return false;
		}

		if (isFromUpstream(metadata, head.status)) {
			this.options.limits.recordResponse(attempt.upstream, {requestsPerSecond: metadata.requestsPerSecond, sentAt: attempt.sentAt});
		}

		attempt.head = head;
		attempt.metadata = metadata;
		if (metadata.load !== undefined) {
			this.options.health.recordLoad(attempt.upstream.id, metadata.load, this.options.clock.now());
		}

		if (this.req.route.kind === 'stream' && head.status < 300 && metadata.isSigned && !this.isOver) {
			this.abortOtherAttempts(attempt);
			attempt.isStreaming = true;
			this.receiver.head(head.status, this.options.protocol.responseHeaders(head));
		}

		return true;
	}

	/** Returns false if the response is too long. */
	private onData(attempt: Attempt, chunk: Uint8Array): boolean {
		if (this.isOver) {
			return true;
		}

		if (!attempt.isStreaming) {
			attempt.chunks.push(chunk);
			attempt.size += chunk.length;
			return attempt.size <= maxBufferedResponseBytes;
		}

		const lineEnd = chunk.lastIndexOf(lineFeed);
		attempt.size = lineEnd === -1 ? attempt.size + chunk.length : chunk.length - lineEnd - 1;
		if (attempt.size > maxStreamLineBytes) {
			return false;
		}

		this.receiver.data(chunk);
		return true;
	}

	private onResponseComplete(attempt: Attempt): void {
		const {head, metadata} = attempt;
		if (head === undefined || metadata === undefined) {
			this.onFailure(attempt, {kind: 'broken', cause: 'a response without a head'});
			return;
		}

		if (attempt.isStreaming) {
			this.options.health.recordSuccess(attempt.upstream.id);
			this.finish('streamed', attempt);
			this.receiver.end();
			return;
		}

		if (metadata.didNotRun) {
			this.decideNextStep(attempt, {kind: 'not-run', status: head.status});
			return;
		}

		if (!metadata.isSigned && head.status < 300) {
			this.onFailure(attempt, {kind: 'broken', cause: 'a successful response without the signature of the upstream'});
			return;
		}

		this.options.health.recordSuccess(attempt.upstream.id);
		this.mayHaveRun = true;
		this.decideNextStep(attempt, {kind: 'answered', status: head.status});
	}

	private onFailure(attempt: Attempt, failure: Readonly<{kind: 'not-sent' | 'broken'; cause: string}>): void {
		this.options.health.recordFailure(attempt.upstream.id, this.options.clock.now());
		if (mayHaveCrashed(failure)) {
			this.options.crashes.reportPossibleCrash(this.req, attempt.upstream);
		}

		if (attempt.isStreaming) {
			this.finish(`stream broke off: ${failure.cause}`, attempt);
			this.receiver.truncate(failure.cause);
			return;
		}

		if (failure.kind === 'broken') {
			this.mayHaveRun = true;
		}

		this.decideNextStep(attempt, failure);
	}

	/** Decides what to do after an attempt has ended, or without one after an upstream had no turn for the request. */
	private decideNextStep(attempt: Attempt | undefined, outcome: AttemptOutcome): void {
		const step = decideNextStep(outcome, {
			requestKind: this.req.route.kind,
			sent: this.sent,
			maxAttempts: this.req.route.maxAttempts,
			running: this.attempts.size + (this.withdrawTurn === undefined ? 0 : 1),
			hasCandidate: this.hasCandidate('retry'),
			mayHaveRun: this.mayHaveRun || this.attempts.size > 0,
			remainingMs: this.remainingMs(),
		});
		if (step.kind !== 'answer') {
			this.reportOutcome(attempt, `${outcome.kind}, then ${step.kind}`, 'cause' in outcome ? {cause: outcome.cause} : {status: outcome.status});
		}

		switch (step.kind) {
			case 'answer': {
				this.respond(attempt);
				break;
			}

			case 'try-next': {
				if (!this.tryNext('retry')) {
					this.refuse('no upstream is left');
				}

				break;
			}

			case 'wait': {
				break;
			}

			case 'refuse': {
				this.refuse(outcome.kind);
				break;
			}

			case 'fail': {
				this.finish('failed', attempt);
				this.receiver.fail({kind: 'failed', reason: outcome.kind});
				break;
			}
		}
	}

	private respond(attempt: Attempt | undefined): void {
		const head = attempt?.head;
		if (attempt === undefined || head === undefined) {
			return;
		}

		this.finish('answered', attempt, {status: head.status});
		const body = Buffer.concat(attempt.chunks);
		const headers = this.options.protocol.responseHeaders(head);
		this.receiver.head(head.status, [...headers, 'content-length', String(body.length)]);
		this.receiver.data(body);
		this.receiver.end();
	}

	/** Fails a request that has crashed several upstreams. A refusal would wrongly state that the request has not run. */
	private rejectBlocked(): void {
		this.finish('blocked', undefined, {reason: 'the request has ended several upstreams'});
		this.receiver.fail({kind: 'failed', reason: 'the request has ended several upstreams and is sent to no further one'});
	}

	private refuse(reason: string): void {
		const retryAfterMs = Math.max(refusalRetryMs, this.waitForTurnMs());
		this.finish('refused', undefined, {reason, retryAfterMs: Math.round(retryAfterMs)});
		this.receiver.fail({kind: 'refused', retryAfterMs, reason});
	}

	/** Time until an upstream that limits its rate may have room in its queue; 0 if one has no limit. */
	private waitForTurnMs(): Millis {
		const waits = this.readyUpstreams().map(upstream => {
			const limit = this.options.limits.limitOf(upstream);
			return limit === undefined ? 0 : limit.waitMs - this.maxWaitMs(limit.requestsPerSecond);
		});
		return waits.length === 0 ? 0 : Math.max(0, Math.min(...waits));
	}

	private onDeadline(): void {
		if (this.isOver) {
			return;
		}

		const isStreaming = [...this.attempts].some(attempt => attempt.isStreaming);
		const now = this.options.clock.now();
		for (const attempt of this.attempts) {
			if (now - attempt.sentAt >= timeoutFailureThresholdMs) {
				this.options.health.recordFailure(attempt.upstream.id, now);
			}
		}

		this.finish('timed out');
		if (isStreaming) {
			this.receiver.truncate('deadline');
		} else {
			this.receiver.fail({kind: 'timed-out', mayHaveRun: this.sent > 0});
		}
	}

	private scheduleHedge(): void {
		clearTimeout(this.hedgeTimer);
		const delay = hedgeDelay({
			requestKind: this.req.route.kind,
			targetLatencyMs: this.req.route.targetLatencyMs,
			sent: this.sent,
			maxAttempts: this.req.route.maxAttempts,
			hasCandidate: this.hasCandidate('hedge'),
		});
		if (delay === undefined) {
			return;
		}

		this.hedgeTimer = setTimeout(() => {
			if (!this.isOver && this.tryNext('hedge')) {
				this.reportOutcome(undefined, 'hedged', {afterMs: delay});
			}
		}, delay);
	}

	/** Ends the request and aborts all of its attempts except `kept`. */
	private finish(outcome: string, kept?: Attempt, inputs: Readonly<Record<string, unknown>> = {}): void {
		if (this.isOver) {
			return;
		}

		this.isOver = true;
		clearTimeout(this.hedgeTimer);
		clearTimeout(this.deadlineTimer);
		this.withdrawTurn?.();
		this.reportOutcome(kept ?? [...this.attempts][0], outcome, inputs, this.options.clock.now() - this.startedAt);
		this.abortOtherAttempts(kept);
	}

	private abortOtherAttempts(kept: Attempt | undefined): void {
		for (const attempt of this.attempts) {
			if (attempt !== kept) {
				attempt.exchange?.abort();
			}
		}
	}

	private reportOutcome(attempt: Attempt | undefined, outcome: string, inputs: Readonly<Record<string, unknown>> = {}, tookMs?: Millis): void {
		this.options.onRequestReport({
			requestId: this.req.requestId,
			upstream: attempt?.upstream.id,
			outcome,
			tookMs: tookMs === undefined ? undefined : Math.round(tookMs),
			inputs: {
				...inputs, route: this.req.route.name, sent: this.sent, remainingMs: Math.round(this.remainingMs()),
			},
		});
	}
}
