import type {
	AttemptFailure, AttemptId, Chunk, DataCentreId, Millis, PoolId, UpstreamId,
} from '@cicadapost/types';
import type {EventQueue, Timer} from './event-queue.js';
import {tokenText, type Job} from './job.js';
import type {Random} from './random.js';
import type {Recorder} from './recorder.js';

export type EngineSpeed = Readonly<{
	/** Time of one decoding step with an empty batch. */
	stepMs: Millis;
	/** Added to the step for each sequence in the batch. */
	stepMsPerSequence: Millis;
	prefillMsPerToken: Millis;
	/** Prompt tokens of one step; a longer prompt takes several steps. */
	prefillTokensPerStep: number;
	/** Sequences that fit into the memory of the accelerator. Others wait in the engine in order of arrival. */
	maxBatch: number;
}>;

export const defaultSpeed: EngineSpeed = {
	stepMs: 10, stepMsPerSequence: 0.5, prefillMsPerToken: 0.02, prefillTokensPerStep: 2048, maxBatch: 32,
};

export type FakeEngineOptions = Readonly<{
	upstream: UpstreamId;
	pool: PoolId;
	dataCentre: DataCentreId;
	speed?: Partial<EngineSpeed>;
	/** Prompt tokens that the prefix cache holds. */
	cacheTokens?: number;
	/** Load reports show the state this long ago. */
	reportLagMs?: Millis;
	/** Tokens of one chunk after the first; fewer and larger chunks make long runs cheaper. */
	tokensPerChunk?: number;
	version?: number;
	swapMs?: Millis;
	/** Share of swaps that leave the old version in place. */
	swapFailureRate?: number;
	/** Whether an order with an old fencing number is rejected. */
	checksFencing?: boolean;
	cacheEventLagMs?: Millis;
	/** Share of cache events that are never published. */
	cacheEventLossRate?: number;
}>;

export type LoadReport = Readonly<{at: Millis; running: number; waiting: number}>;
export type CacheEvent = Readonly<{sequence: number; at: Millis; kind: 'stored' | 'evicted'; prefixKey: string}>;

/** Where an engine sends the result of an attempt. */
export type AttemptSink = Readonly<{
	chunk: (chunk: Chunk) => void;
	finished: (tokens: number) => void;
	failed: (failure: AttemptFailure) => void;
}>;

type Sequence = {
	readonly attempt: AttemptId;
	readonly job: Job;
	readonly sink: AttemptSink;
	remainingPrefillTokens: number;
	next: number;
	/** Offset of the first token that has not been sent yet. */
	firstUnsentOffset: number;
	hasSentChunk: boolean;
	/** The connection has gone silent: nothing more arrives at the daemon. */
	isSilent: boolean;
};

type Parts = Readonly<{queue: EventQueue; random: Random; recorder: Recorder}>;

/** Tokens a second that an engine generates with `batch` sequences and no prefill. */
export function tokensPerSecond(speed: EngineSpeed, batch = speed.maxBatch): number {
	return 1000 * batch / (speed.stepMs + (batch * speed.stepMsPerSequence));
}

/** Requests a second that one engine completes with a full batch of requests of this size. */
export function requestsPerSecond(speed: EngineSpeed, job: Readonly<{tokens: number; promptTokens: number}>): number {
	const decodeMs = job.tokens * ((speed.stepMs / speed.maxBatch) + speed.stepMsPerSequence);
	return 1000 / (decodeMs + (job.promptTokens * speed.prefillMsPerToken));
}

/** A model engine with continuous batching: one token for each sequence in each step, first come first served. */
export class FakeEngine {
	readonly upstream: UpstreamId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly speed: EngineSpeed;
	/** Multiplies the step time; the system can't see it. */
	slowness = 1;
	isAlive = true;
	isLeaving = false;
	version: number;
	swapFailureRate: number;
	highestFence = 0;
	tokensGenerated = 0;
	promptTokensComputed = 0;
	private readonly running = new Set<Sequence>();
	private readonly waiting: Sequence[] = [];
	private readonly cache = new Map<string, number>();
	private cacheUsed = 0;
	private readonly cacheEvents: CacheEvent[] = [];
	private cacheSequence = 0;
	private readonly loadHistory: LoadReport[] = [];
	private step: Timer | undefined;
	private swap: Timer | undefined;

	constructor(private readonly parts: Parts, private readonly options: FakeEngineOptions) {
		this.upstream = options.upstream;
		this.pool = options.pool;
		this.dataCentre = options.dataCentre;
		this.speed = {...defaultSpeed, ...options.speed};
		this.version = options.version ?? 1;
		this.swapFailureRate = options.swapFailureRate ?? 0;
	}

	get checksFencing(): boolean {
		return this.options.checksFencing === true;
	}

	get load(): Readonly<{running: number; waiting: number}> {
		return {running: this.running.size, waiting: this.waiting.length};
	}

	get isSwapping(): boolean {
		return this.swap !== undefined;
	}

	/** The newest load report that is old enough to have been published. */
	loadReport(): LoadReport {
		const before = this.parts.queue.now - (this.options.reportLagMs ?? 5000);
		while (this.loadHistory.length > 1 && this.loadHistory[1]!.at <= before) {
			this.loadHistory.shift();
		}

		const first = this.loadHistory[0];
		return first !== undefined && first.at <= before ? first : {at: before, running: 0, waiting: 0};
	}

	/** Published cache events after `sequence`. Numbers that are missing were lost. */
	cacheEventsAfter(sequence: number): readonly CacheEvent[] {
		const before = this.parts.queue.now - (this.options.cacheEventLagMs ?? 1000);
		return this.cacheEvents.filter(event => event.sequence > sequence && event.at <= before);
	}

	isCached(prefixKey: string): boolean {
		return this.cache.has(prefixKey);
	}

	/** Takes a request as soon as it arrives, whatever the load. Only a dead engine refuses, and returns false. */
	open(attempt: AttemptId, job: Job, resumeFrom: number, sink: AttemptSink): boolean {
		if (!this.isAlive) {
			return false;
		}

		const cachedTokens = this.updatePrefixCache(job);
		this.parts.recorder.record({
			kind: 'upstream-received', upstream: this.upstream, attempt, job: job.key, resumeFrom, isLeaving: this.isLeaving, cachedTokens,
		});
		this.waiting.push({
			attempt, job, sink, remainingPrefillTokens: job.promptTokens + resumeFrom - cachedTokens, next: resumeFrom, firstUnsentOffset: resumeFrom, hasSentChunk: false, isSilent: false,
		});
		this.recordLoad();
		this.startStep();
		return true;
	}

	cancel(attempt: AttemptId): void {
		const sequence = [...this.running, ...this.waiting].find(other => other.attempt === attempt);
		if (sequence !== undefined) {
			this.remove(sequence, 'cancelled');
		}
	}

	/** Orders another weight version. Returns whether the order was accepted; generation stops during the swap. */
	loadVersion(version: number, fence: number): 'accepted' | 'stale-fence' | 'dead' {
		const result = this.checkOrder(fence);
		this.parts.recorder.record({
			kind: 'upstream-order', upstream: this.upstream, fence, version, result,
		});
		if (result !== 'accepted') {
			return result;
		}

		this.highestFence = Math.max(this.highestFence, fence);
		if (this.swap !== undefined) {
			this.swap.isCancelled = true;
		}

		this.swap = this.parts.queue.schedule(this.options.swapMs ?? 2000, () => {
			this.finishSwap(version);
		});
		return result;
	}

	/** Ends the process: each connection breaks. */
	terminate(): void {
		if (!this.isAlive) {
			return;
		}

		this.isAlive = false;
		this.parts.recorder.record({kind: 'upstream-died', upstream: this.upstream});
		for (const timer of [this.step, this.swap]) {
			if (timer !== undefined) {
				timer.isCancelled = true;
			}
		}

		this.step = undefined;
		this.swap = undefined;
		this.cache.clear();
		this.cacheUsed = 0;
		for (const sequence of [...this.running, ...this.waiting]) {
			this.remove(sequence, 'died');
			if (!sequence.isSilent) {
				sequence.sink.failed('upstream-died');
			}
		}
	}

	start(): void {
		this.isAlive = true;
		this.isLeaving = false;
		this.parts.recorder.record({kind: 'upstream-started', upstream: this.upstream});
	}

	/** The connections that are open now go silent for good; new ones work. */
	stallConnections(): void {
		for (const sequence of [...this.running, ...this.waiting]) {
			sequence.isSilent = true;
		}
	}

	leave(): void {
		this.isLeaving = true;
		this.parts.recorder.record({kind: 'upstream-leaving', upstream: this.upstream});
	}

	private checkOrder(fence: number): 'accepted' | 'stale-fence' | 'dead' {
		if (!this.isAlive) {
			return 'dead';
		}

		return this.checksFencing && fence < this.highestFence ? 'stale-fence' : 'accepted';
	}

	private finishSwap(version: number): void {
		this.swap = undefined;
		const isFailedSwap = this.parts.random.bernoulli(this.swapFailureRate);
		if (!isFailedSwap) {
			for (const sequence of this.running) {
				this.flush(sequence);
			}

			this.version = version;
			// Cached keys and values belong to the old weights.
			this.cache.clear();
			this.cacheUsed = 0;
		}

		this.parts.recorder.record({
			kind: 'upstream-version', upstream: this.upstream, version: this.version, isFailedSwap,
		});
		this.startStep();
	}

	private startStep(): void {
		if (this.step !== undefined || this.swap !== undefined) {
			return;
		}

		while (this.waiting.length > 0 && this.running.size < this.speed.maxBatch) {
			this.running.add(this.waiting.shift()!);
		}

		if (this.running.size === 0) {
			return;
		}

		const prefilled = this.prefill();
		this.promptTokensComputed += prefilled;
		const durationMs = this.speed.stepMs + (this.running.size * this.speed.stepMsPerSequence) + (prefilled * this.speed.prefillMsPerToken);
		this.step = this.parts.queue.schedule(durationMs * this.slowness, () => {
			this.step = undefined;
			this.endStep();
			this.startStep();
		});
	}

	private prefill(): number {
		let used = 0;
		for (const sequence of this.running) {
			const part = Math.min(sequence.remainingPrefillTokens, this.speed.prefillTokensPerStep - used);
			sequence.remainingPrefillTokens -= part;
			used += part;
		}

		return used;
	}

	private endStep(): void {
		for (const sequence of this.running) {
			if (sequence.job.isPoison) {
				this.terminate();
				return;
			}

			if (sequence.remainingPrefillTokens === 0) {
				this.generateToken(sequence);
			}
		}
	}

	private generateToken(sequence: Sequence): void {
		const isComplete = sequence.next >= sequence.job.tokens;
		if (!isComplete) {
			sequence.next++;
			this.tokensGenerated++;
		}

		const isLast = sequence.next >= sequence.job.tokens;
		const unsent = sequence.next - sequence.firstUnsentOffset;
		if (!sequence.hasSentChunk || isLast || unsent >= (this.options.tokensPerChunk ?? 8)) {
			this.flush(sequence);
		}

		if (isLast) {
			this.remove(sequence, 'finished');
			if (!sequence.isSilent) {
				sequence.sink.finished(sequence.next);
			}
		}
	}

	private flush(sequence: Sequence): void {
		const tokens = sequence.next - sequence.firstUnsentOffset;
		if (tokens === 0) {
			return;
		}

		const offset = sequence.firstUnsentOffset;
		sequence.firstUnsentOffset = sequence.next;
		sequence.hasSentChunk = true;
		if (sequence.isSilent) {
			return;
		}

		let text = '';
		for (let index = 0; index < tokens; index++) {
			text += tokenText(sequence.job.key, offset + index);
		}

		sequence.sink.chunk({
			offset, tokens, text, version: this.version,
		});
	}

	private remove(sequence: Sequence, result: 'finished' | 'cancelled' | 'died'): void {
		this.running.delete(sequence);
		const index = this.waiting.indexOf(sequence);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}

		this.recordLoad();
		this.parts.recorder.record({
			kind: 'upstream-ended', upstream: this.upstream, attempt: sequence.attempt, job: sequence.job.key, result, tokens: sequence.next,
		});
	}

	/** Returns the prompt tokens that the cache saves, and caches the prefix of this request. */
	private updatePrefixCache(job: Job): number {
		if (job.prefixKey === '' || job.prefixTokens === 0) {
			return 0;
		}

		const isHit = this.cache.delete(job.prefixKey);
		this.cache.set(job.prefixKey, job.prefixTokens);
		if (isHit) {
			return Math.min(job.prefixTokens, job.promptTokens);
		}

		this.cacheUsed += job.prefixTokens;
		this.publishCacheEvent('stored', job.prefixKey);
		for (const [key, tokens] of this.cache) {
			if (this.cacheUsed <= (this.options.cacheTokens ?? 100_000)) {
				break;
			}

			this.cache.delete(key);
			this.cacheUsed -= tokens;
			this.publishCacheEvent('evicted', key);
		}

		return 0;
	}

	private publishCacheEvent(kind: 'stored' | 'evicted', prefixKey: string): void {
		this.cacheSequence++;
		if (!this.parts.random.bernoulli(this.options.cacheEventLossRate ?? 0)) {
			this.cacheEvents.push({
				sequence: this.cacheSequence, at: this.parts.queue.now, kind, prefixKey,
			});
		}
	}

	private recordLoad(): void {
		this.loadHistory.push({at: this.parts.queue.now, ...this.load});
		if (this.loadHistory.length > 4096) {
			this.loadReport();
		}
	}
}
