import type {Millis, UpstreamId} from '@cicadapost/types';
import {PrefillMeter} from './prefill-meter.js';

type Queued = Readonly<{engine: UpstreamId; tokens: number; isLong: boolean; sentAt: Millis; tokensToFirstEvent: number}>;
type Totals = {tokens: number; longTokens: number};

/** Tracks the prompts sent to engines whose first event has not come, and measures the prefill rate from their first events. */
export class PrefillQueue {
	private readonly queued = new Map<string, Queued>();
	private readonly totals = new Map<UpstreamId, Totals>();

	constructor(private readonly meter = new PrefillMeter()) {}

	/** Records that a prompt was sent. `tokens` are those that the engine has not cached. A prompt that is already queued is moved. */
	add(id: string, {engine, tokens, isLong, now}: Readonly<{engine: UpstreamId; tokens: number; isLong: boolean; now: Millis}>): void {
		this.remove(id);
		const totals = this.totals.get(engine) ?? {tokens: 0, longTokens: 0};
		totals.tokens += tokens;
		totals.longTokens += isLong ? tokens : 0;
		this.totals.set(engine, totals);
		this.queued.set(id, {
			engine, tokens, isLong, sentAt: now, tokensToFirstEvent: totals.tokens,
		});
	}

	/** Records the first event of a prompt. Later events have no effect. */
	recordFirstEvent(id: string, now: Millis): void {
		const entry = this.remove(id);
		if (entry !== undefined) {
			this.meter.record(entry.engine, {tokens: entry.tokensToFirstEvent, delayMs: now - entry.sentAt});
		}
	}

	/** Removes a prompt whose request ended, whether or not it had an event. */
	end(id: string): void {
		this.remove(id);
	}

	/** Forgets an engine that left or restarted, with its prompts and its rate. */
	forget(engine: UpstreamId): void {
		for (const [id, entry] of this.queued) {
			if (entry.engine === engine) {
				this.queued.delete(id);
			}
		}

		this.totals.delete(engine);
		this.meter.forget(engine);
	}

	/** Returns the figures of an engine for `decidePrefills`. */
	figuresOf(engine: UpstreamId): Readonly<{msPerToken: Millis | undefined; queuedTokens: number; queuedLongTokens: number}> {
		const {tokens = 0, longTokens = 0} = this.totals.get(engine) ?? {};
		return {msPerToken: this.meter.msPerToken(engine), queuedTokens: tokens, queuedLongTokens: longTokens};
	}

	private remove(id: string): Queued | undefined {
		const entry = this.queued.get(id);
		const totals = entry === undefined ? undefined : this.totals.get(entry.engine);
		if (entry !== undefined && totals !== undefined) {
			totals.tokens -= entry.tokens;
			totals.longTokens -= entry.isLong ? entry.tokens : 0;
			this.queued.delete(id);
		}

		return entry;
	}
}
