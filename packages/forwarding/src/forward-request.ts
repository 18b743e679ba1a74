import type {UpstreamRecord} from '@cicadapost/fleet';
import type {SendReason, Turn} from '@cicadapost/rate-limits';
import type {Millis} from '@cicadapost/types';
import {UpstreamTarget, type AttemptEnd, type AttemptTarget} from './attempt-target.js';
import {Attempt} from './attempt.js';
import {endedWithinEvent} from './crash-registry.js';
import type {ResponseHead} from './connection-pool.js';
import {
	choosePath, decideNextStep, hedgeDelay, relayedAttempts, type AttemptOutcome,
} from './decide-attempt.js';
import {OneShotTimer} from './one-shot-timer.js';
import type {PlainRequest, ResponseReceiver} from './plain-request.js';
import {RelayAttempts} from './relay-attempts.js';
import type {ForwarderOptions} from './forwarder.js';
import {RequestReporter, type RequestProgress} from './request-reporter.js';
import {resolveOrigin, type StreamContinuation} from './stream-origins.js';
import {UpstreamSelection} from './upstream-selection.js';

/** `Retry-After` for a request that no upstream accepts. It is short, so that callers with short deadlines can still retry. */
const refusalRetryMs = 80;
/** `Retry-After` for a stream that can't go on now. Upstreams that crashed are back, and records written, within some hundred milliseconds or seconds. */
const streamRetryMs = 500;
/** A timeout counts as a failure of the upstream only if it had the request for this long, since a route's timeout may be shorter than the work takes. */
const timeoutFailureThresholdMs = 700;

export type ForwardedRequestOptions = Readonly<{
	req: PlainRequest;
	receiver: ResponseReceiver;
	/** Called once when the request has ended. */
	onOver: () => void;
}>;

/** Manages the attempts of one request until it has a response. */
export class ForwardedRequest {
	private readonly attempts = new Set<Attempt>();
	private readonly selection: UpstreamSelection;
	/** Withdraws the request for a turn at an upstream that limits its rate. */
	private withdrawTurn: (() => void) | undefined;
	/** Number of upstreams that may have received the request. */
	private sent = 0;
	/** Number of attempts that certainly never left this daemon. */
	private notSent = 0;
	private readonly relays: RelayAttempts;
	private mayHaveRun = false;
	private isOver = false;
	private readonly reporter: RequestReporter;
	private readonly hedge = new OneShotTimer();
	private readonly deadline = new OneShotTimer();

	private readonly req: PlainRequest;
	private readonly receiver: ResponseReceiver;
	private readonly onOver: () => void;

	constructor(private readonly options: ForwarderOptions, {req, receiver, onOver}: ForwardedRequestOptions) {
		this.req = req;
		this.receiver = receiver;
		this.onOver = onOver;
		this.reporter = new RequestReporter(options, req);
		this.relays = new RelayAttempts(req, options.relays);
		this.selection = new UpstreamSelection(options, req);
	}

	start(): () => void {
		this.deadline.schedule(Math.max(1, this.remainingMs()), () => {
			this.onDeadline();
		});
		if (this.options.crashes.isBlocked(this.req)) {
			void this.probeOrReject();
		} else if (this.req.continues !== undefined && this.req.route.kind === 'stream') {
			void this.continueStream(this.req.continues);
		} else if (!this.tryNext('first')) {
			this.refuse('no upstream of the service is ready');
		}

		return () => {
			this.finish('caller left');
		};
	}

	/** Ends the request before its deadline. */
	giveUp(reason: string): void {
		if (this.isOver) {
			return;
		}

		if (this.attempts.size === 0 && !this.mayHaveRun && !this.options.crashes.isBlocked(this.req)) {
			this.refuse(reason);
			return;
		}

		const isStreaming = [...this.attempts].some(attempt => attempt.isStreaming);
		this.finish('given up', undefined, {reason});
		if (isStreaming) {
			this.receiver.truncate(reason);
		} else {
			this.receiver.fail({kind: 'failed', reason});
		}
	}

	/** Sends a blocked request to one upstream if it may be probed now. Otherwise rejects it immediately. */
	private async probeOrReject(): Promise<void> {
		const {req} = this;
		// A continued stream would first need the origin of the stream.
		const permission = req.continues === undefined && this.choosePath('first') === 'upstream' ? this.options.crashes.requestProbe(req) : undefined;
		const isAllowed = permission !== undefined && await permission;
		if (this.isOver) {
			return;
		}

		if (!isAllowed) {
			this.rejectBlocked();
		} else if (!this.tryNext('first')) {
			this.refuse('no upstream of the service is ready');
		}
	}

	/** Sends the request only to upstreams at which the stream may go on. */
	private async continueStream({stream}: StreamContinuation): Promise<void> {
		const {streams} = this.options;
		const origin = await resolveOrigin({
			recorded: stream === undefined ? undefined : await streams.originOf(stream),
			services: this.req.route.services.filter(({weight}) => weight > 0).map(({service}) => service),
			onlyVersion: async service => streams.onlyVersion(service),
		});
		if (this.isOver) {
			return;
		}

		if (origin === undefined) {
			this.refuse('the software version that began the stream is not known or not served', streamRetryMs);
			return;
		}

		this.selection.restrictTo(origin);
		if (!this.tryNext('first')) {
			this.refuse('no upstream of the software version that began the stream is ready', streamRetryMs);
		}
	}

	private remainingMs(): Millis {
		return this.req.deadlineAt - this.options.clock.now();
	}

	private hasCandidate(reason: SendReason): boolean {
		return !this.options.crashes.isBlocked(this.req) && this.choosePath(reason) !== undefined;
	}

	private choosePath(reason: SendReason): 'upstream' | 'relay' | undefined {
		return choosePath({
			isPartitioned: this.relays.isPartitioned,
			unreached: this.notSent + this.countSilentAttempts(),
			hasUpstream: this.selection.candidates(reason).length > 0,
			hasRelay: () => this.relays.hasNext,
		});
	}

	/** Number of attempts at upstreams without a response, while this daemon has received nothing from any upstream. */
	private countSilentAttempts(): number {
		return [...this.attempts].filter(({target, head, sentAt}) => target.upstream !== undefined && head === undefined && this.options.pool.lastReceivedAt < sentAt).length;
	}

	private tryNext(reason: SendReason): boolean {
		const path = this.choosePath(reason);
		if (path !== 'upstream') {
			return path === 'relay' && this.relay();
		}

		const {limits} = this.options;
		const upstream = this.selection.choose(reason);
		if (upstream === undefined) {
			return false;
		}

		const limit = limits.limitOf(upstream);
		if (limit === undefined) {
			this.sendAttempt(upstream, reason);
		} else {
			const maxWaitMs = this.selection.maxTurnWaitMs(upstream, limit, reason);
			this.requestTurn(upstream, {reason, maxWaitMs});
		}

		return true;
	}

	/** Passes the request on to another daemon. Returns false if there is none. */
	private relay(): boolean {
		const target = this.relays.next(relayedAttempts({sent: this.sent, maxAttempts: this.req.route.maxAttempts}));
		if (target === undefined) {
			return false;
		}

		this.startAttempt(target);
		return true;
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

		this.selection.recordNoTurn(upstream);
		this.proceedAfter(undefined, {kind: 'not-sent', cause: turn === 'none' ? 'the upstream limits its rate' : 'the upstream has left'});
	}

	private sendAttempt(upstream: UpstreamRecord, reason: SendReason): void {
		this.selection.recordSend(upstream);
		this.startAttempt(new UpstreamTarget(this.options, upstream, this.req, reason));
	}

	private startAttempt(target: AttemptTarget): void {
		this.sent += target.maxAttempts;
		const attempt = new Attempt(target, this.options.clock.now(), this.options.responseBytes);
		this.attempts.add(attempt);
		attempt.exchange = target.send(Math.max(1, Math.floor(this.remainingMs())), {
			onHead: head => this.onHead(attempt, head),
			onData: chunk => this.onData(attempt, chunk),
			onEnd: end => {
				target.record({kind: 'ended'});
				this.attempts.delete(attempt);
				if (!this.isOver) {
					this.onEnd(attempt, end);
				}

				attempt.release();
			},
		});
		this.scheduleHedge();
	}

	private onEnd(attempt: Attempt, end: AttemptEnd): void {
		switch (end.kind) {
			case 'complete': {
				this.onResponseComplete(attempt);
				break;
			}

			case 'aborted': {
				break;
			}

			case 'not-sent': {
				this.sent -= attempt.target.maxAttempts;
				this.notSent += 1;
				this.onFailure(attempt, end);
				break;
			}

			case 'broken': {
				this.onFailure(attempt, end);
				break;
			}

			case 'refused': {
				this.relays.retryMs = end.retryAfterMs;
				this.proceedAfter(attempt, end);
				break;
			}
		}
	}

	private onHead(attempt: Attempt, head: ResponseHead): boolean {
		const metadata = this.options.protocol.readMetadata(head);
		if (metadata.requestId !== undefined && metadata.requestId !== this.req.requestId) {
			return false;
		}

		attempt.target.record({
			kind: 'head', head, metadata, sentAt: attempt.sentAt,
		});
		attempt.head = head;
		attempt.metadata = metadata;
		this.reporter.reportHead(attempt);
		if (this.req.route.kind === 'stream' && head.status < 300 && metadata.isSigned && !this.isOver) {
			this.abortOtherAttempts(attempt);
			attempt.isStreaming = true;
			attempt.target.record({kind: 'stream-started'});
			this.receiver.head(head.status, this.options.protocol.responseHeaders(head), attempt.target.upstreamStart);
		}

		return true;
	}

	/** Returns false if the response is too long. */
	private onData(attempt: Attempt, chunk: Uint8Array): boolean {
		if (this.isOver) {
			return true;
		}

		if (!attempt.isStreaming) {
			return attempt.buffer(chunk);
		}

		if (!attempt.checkLine(chunk)) {
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

		if (attempt.isStreaming && attempt.isWithinEvent) {
			this.onFailure(attempt, {kind: 'broken', cause: endedWithinEvent});
			return;
		}

		if (attempt.isStreaming) {
			attempt.target.record({kind: 'succeeded'});
			this.finish('streamed', attempt);
			this.receiver.end();
			return;
		}

		if (metadata.didNotRun) {
			this.proceedAfter(attempt, {kind: 'not-run', status: head.status});
			return;
		}

		if (!metadata.isSigned && head.status < 300) {
			this.onFailure(attempt, {kind: 'broken', cause: 'a successful response without the signature of the upstream'});
			return;
		}

		attempt.target.record({kind: 'succeeded'});
		this.mayHaveRun = true;
		this.proceedAfter(attempt, {kind: 'answered', status: head.status});
	}

	private onFailure(attempt: Attempt, failure: Readonly<{kind: 'not-sent' | 'broken'; cause: string}>): void {
		attempt.target.record({kind: 'failed', end: failure});
		if (attempt.isStreaming) {
			this.finish(`stream broke off: ${failure.cause}`, attempt);
			this.receiver.truncate(failure.cause);
			return;
		}

		if (failure.kind === 'broken') {
			this.mayHaveRun = true;
		}

		this.proceedAfter(attempt, failure);
	}

	/** Takes the next step after an attempt has ended, or without one after an upstream had no turn for the request. */
	private proceedAfter(attempt: Attempt | undefined, outcome: AttemptOutcome): void {
		const step = decideNextStep(outcome, {
			requestKind: this.req.route.kind,
			sent: this.sent,
			maxAttempts: this.req.route.maxAttempts,
			notSent: this.notSent,
			running: this.attempts.size + (this.withdrawTurn === undefined ? 0 : 1),
			hasCandidate: this.hasCandidate('retry'),
			mayHaveRun: this.mayHaveRun || this.attempts.size > 0,
			remainingMs: this.remainingMs(),
		});
		if (step.kind !== 'answer') {
			this.reporter.reportStep(`${outcome.kind}, then ${step.kind}`, this.progress(attempt), 'cause' in outcome ? {cause: outcome.cause} : {status: outcome.status});
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
		const {body} = attempt;
		const headers = this.options.protocol.responseHeaders(head);
		this.receiver.head(head.status, [...headers, 'content-length', String(body.length)], attempt.target.upstreamStart);
		this.receiver.data(body);
		this.receiver.end();
	}

	/** Fails a request that has crashed several upstreams. A refusal would wrongly state that the request has not run. */
	private rejectBlocked(): void {
		this.finish('blocked', undefined, {reason: 'the request has ended several upstreams'});
		this.receiver.fail({kind: 'failed', reason: 'the request has ended several upstreams and is sent to no further one'});
	}

	private refuse(reason: string, minRetryMs = refusalRetryMs): void {
		const retryAfterMs = Math.max(minRetryMs, this.relays.retryMs, this.selection.waitForTurnMs());
		this.finish('refused', undefined, {reason, retryAfterMs: Math.round(retryAfterMs)});
		this.receiver.fail({kind: 'refused', retryAfterMs, reason});
	}

	private onDeadline(): void {
		if (this.isOver) {
			return;
		}

		const isStreaming = [...this.attempts].some(attempt => attempt.isStreaming);
		const now = this.options.clock.now();
		for (const attempt of this.attempts) {
			if (now - attempt.sentAt >= timeoutFailureThresholdMs) {
				attempt.target.record({kind: 'timed-out'});
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
		const delay = hedgeDelay({
			requestKind: this.req.route.kind,
			targetLatencyMs: this.req.route.targetLatencyMs,
			sent: this.sent,
			maxAttempts: this.req.route.maxAttempts,
			hasCandidate: this.hasCandidate('hedge'),
		});
		this.hedge.schedule(delay, () => {
			if (!this.isOver && this.tryNext('hedge')) {
				this.reporter.reportStep('hedged', this.progress(undefined), {afterMs: delay});
			}
		});
	}

	/** Ends the request and aborts all of its attempts except `kept`. */
	private finish(outcome: string, kept?: Attempt, inputs: Readonly<Record<string, unknown>> = {}): void {
		if (this.isOver) {
			return;
		}

		this.isOver = true;
		this.onOver();
		this.hedge.cancel();
		this.deadline.cancel();
		this.withdrawTurn?.();
		this.reporter.reportEnd(outcome, this.progress(kept ?? [...this.attempts][0]), inputs);
		this.abortOtherAttempts(kept);
	}

	private abortOtherAttempts(kept: Attempt | undefined): void {
		for (const attempt of this.attempts) {
			if (attempt !== kept) {
				attempt.exchange?.abort();
			}
		}
	}

	private progress(attempt: Attempt | undefined): RequestProgress {
		return {attempt, running: this.attempts, sent: this.sent};
	}
}
