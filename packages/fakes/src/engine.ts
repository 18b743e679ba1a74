import type {
	AttemptFailure, AttemptId, Chunk, DataCentreId, Millis, PoolId, UpstreamId,
} from '@cicadapost/types';
import type {EventQueue, Timer} from './event-queue.js';
import {tokenText, type Job} from './job.js';
import type {Random} from './random.js';
import type {Recorder} from './recorder.js';

export type EngineSpeed = Readonly<{
	/** Fixed part of the duration of a decoding step. */
	stepMs: Millis;
	/** Duration added to a step for each sequence in the batch. */
	stepMsPerSequence: Millis;
	prefillMsPerToken: Millis;
	/** Maximum number of prompt tokens processed in one step; a longer prompt takes several steps. */
	prefillTokensPerStep: number;
	/** Number of sequences that fit into accelerator memory. Further sequences are queued in order of arrival. */
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
	/** Capacity of the prefix cache in prompt tokens. */
	cacheTokens?: number;
	/** Age of the state that load reports show. */
	reportLagMs?: Millis;
	/** Tokens per chunk after the first chunk. Larger chunks make long simulations faster. */
	tokensPerChunk?: number;
	version?: number;
	swapMs?: Millis;
	/** Fraction of weight swaps that fail and keep the old version. */
	swapFailureRate?: number;
	/** Whether the engine rejects orders with a stale fencing token. */
	checksFencing?: boolean;
	cacheEventLagMs?: Millis;
	/** Fraction of cache events that are never published. */
	cacheEventLossRate?: number;
}>;

export type LoadReport = Readonly<{at: Millis; running: number; waiting: number}>;
export type CacheEvent = Readonly<{sequence: number; at: Millis; kind: 'stored' | 'evicted'; prefixKey: string}>;

/** Receives the output of an attempt. */
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
	/** Whether the connection has stalled, so that nothing more arrives at the daemon. */
	isSilent: boolean;
};

type Parts = Readonly<{queue: EventQueue; random: Random; recorder: Recorder}>;

/** Returns the tokens per second that an engine generates with `batch` sequences and no prefill. */
export function tokensPerSecond(speed: EngineSpeed, batch = speed.maxBatch): number {
	return 1000 * batch / (speed.stepMs + (batch * speed.stepMsPerSequence));
}

/** Returns the requests per second that an engine completes with a full batch of requests of this size. */
export function requestsPerSecond(speed: EngineSpeed, job: Readonly<{tokens: number; promptTokens: number}>): number {
	const decodeMs = job.tokens * ((speed.stepMs / speed.maxBatch) + speed.stepMsPerSequence);
	return 1000 / (decodeMs + (job.promptTokens * speed.prefillMsPerToken));
}

/** Simulated inference engine with continuous batching: each step generates one token per sequence. Admission to the batch is first come, first served. */
export class FakeEngine {
	readonly upstream: UpstreamId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly speed: EngineSpeed;
	/** Factor on the duration of a step. Daemons cannot observe it directly. */
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

	/** Returns the latest load report that has been published. */
	loadReport(): LoadReport {
		const before = this.parts.queue.now - (this.options.reportLagMs ?? 5000);
		while (this.loadHistory.length > 1 && this.loadHistory[1]!.at <= before) {
			this.loadHistory.shift();
		}

		const first = this.loadHistory[0];
		return first !== undefined && first.at <= before ? first : {at: before, running: 0, waiting: 0};
	}

	/** Returns the published cache events after `sequence`. A gap in the sequence numbers means that events were lost. */
	cacheEventsAfter(sequence: number): readonly CacheEvent[] {
		const before = this.parts.queue.now - (this.options.cacheEventLagMs ?? 1000);
		return this.cacheEvents.filter(event => event.sequence > sequence && event.at <= before);
	}

	isCached(prefixKey: string): boolean {
		return this.cache.has(prefixKey);
	}

	/** Accepts a request regardless of the load. Returns false if the engine is dead. */
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

	/** Starts a swap to another weight version and returns whether the order was accepted. Generation stops during the swap. */
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

	/** Ends the process, which breaks all its connections. */
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

	/** Stalls all open connections permanently; new connections work. */
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
			// The KV cache was computed with the old weights.
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

	/** Adds the prefix of a job to the cache and returns the number of prompt tokens found in the cache. */
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
