import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import {readAll, type RowStore} from '@cicadapost/store';
import type {
	BatchId, Clock, Millis, UpstreamId,
} from '@cicadapost/types';
import type {BatchBook, BatchView} from './batch-book.js';
import type {SampleText} from './batch.js';
import type {CommitQueue} from './commit-queue.js';
import {
	areVersionsValid, decideAfterRun, isStalled, type AfterRun,
} from './decide-run.js';
import {
	bodyRange, decodeBodies, decodePartial, partialRange, type ItemBody,
} from './encode-rows.js';
import type {
	EngineClient, RunEnd, SampleEvent, SampleRun,
} from './engine-client.js';
import {EnginePace} from './engine-pace.js';
import {EngineSilence} from './engine-silence.js';
import {isLong, type ClaimTarget} from './plan-claims.js';
import {
	copyOf, createRun, describeEnd, keyOf, type BeginOptions, type RunNote, type Running,
} from './sample-run.js';

/** What the route of a batch allows. */
export type BatchRules = Readonly<{
	maxAttempts: number;
	isSingleVersion: boolean;
	/** Time that a run may take. */
	runMs: Millis;
}>;

export type SampleRunnerOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	book: BatchBook;
	directory: UpstreamDirectory;
	client: EngineClient;
	commits: Pick<CommitQueue, 'push'>;
	/** Rules of a batch, or undefined if no route serves it any more. */
	rulesOf: (batch: BatchView) => BatchRules | undefined;
	/** Whether an engine is loading weights now. */
	isLoading: (engine: UpstreamId) => boolean;
	/** An engine showed the version that it has. */
	onVersion: (engine: UpstreamId, batch: BatchView, version: number) => void;
	/** An engine's slot is free again. */
	onFreed: () => void;
	onNote: (note: RunNote) => void;
}>;

/** How often runs are checked for silence, for an end of their batch and for text to keep. */
const checkMs = 200;
/** Text of a run that is older than this is kept in the store this often, so that a dead daemon's runs go on elsewhere. */
const saveMs = 1200;

/** A task that runs samples at engines, from the claim to the recorded outcome. */
export class SampleRunner {
	private readonly running = new Map<string, Running>();
	/** Items whose bodies are being read, with their engine. */
	private readonly starting = new Map<string, UpstreamId>();
	private readonly silence = new EngineSilence();
	private readonly pace = new EnginePace();
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: SampleRunnerOptions) {
		this.timer = setInterval(() => {
			this.check();
		}, checkMs);
	}

	/** Samples that this daemon has at an engine, those included whose bodies are still being read. */
	countAt(engine: UpstreamId): number {
		return [...this.starting.values()].filter(id => id === engine).length
			+ [...this.running.values()].filter(run => run.engine === engine).length;
	}

	get count(): number {
		return this.running.size + this.starting.size;
	}

	/** Whether an item runs here or is about to; see `keyOf`. */
	holds(place: string): boolean {
		return this.running.has(place) || this.starting.has(place);
	}

	/** Whether an engine has just failed, so that new samples go elsewhere. */
	isSuspended(engine: UpstreamId): boolean {
		return this.silence.isSuspended(engine, this.options.clock.now());
	}

	/** Whether an engine makes events much more slowly than usual now. */
	isSlow(engine: UpstreamId): boolean {
		return this.pace.isSlow(engine, this.options.clock.now());
	}

	/** Long samples that this daemon has at an engine. */
	countLongAt(engine: UpstreamId): number {
		return [...this.running.values()].filter(run => run.engine === engine && run.isLong).length;
	}

	/** Runs claimed items. */
	async start(engine: UpstreamRecord, target: ClaimTarget): Promise<void> {
		const places = target.items.map(item => keyOf({...target, item}));
		for (const place of places) {
			this.starting.set(place, engine.id);
		}

		const bodies = await this.readBodies(target);
		const texts = await Promise.all(target.items.map(async item => this.readText(target, item)));
		for (const place of places) {
			this.starting.delete(place);
		}

		const view = this.options.book.get(target.batch);
		for (const [index, item] of target.items.entries()) {
			const planned = view?.plan.groups[target.group]?.items[item];
			const body = bodies?.find(candidate => candidate.id === planned?.id);
			const claim = view?.claims[target.group]?.items[item];
			const failures = claim === undefined || claim.kind === 'listed' ? 0 : claim.failures;
			if (view === undefined || body === undefined) {
				this.options.commits.push(target.batch, {
					group: target.group, item, kind: 'released', failures, text: undefined,
				});
				continue;
			}

			this.begin({
				engine,
				target,
				item,
				body,
				failures,
				text: this.usableText(view, texts[index]),
				isLong: isLong(view, target.group, item),
				expectedTokens: planned?.expectedTokens ?? 0,
			});
		}
	}

	/** Gives all runs back, with their text, so that other daemons go on with them. */
	releaseAll(reason: string): void {
		for (const run of this.running.values()) {
			this.release(run, run.failures, reason);
		}
	}

	stop(): void {
		clearInterval(this.timer);
		for (const run of this.running.values()) {
			this.end(run, 'stopped');
		}
	}

	private usableText(view: BatchView, text: SampleText | undefined): SampleText | undefined {
		const rules = this.options.rulesOf(view);
		return text !== undefined && rules !== undefined && !rules.isSingleVersion && areVersionsValid(text.versions, {...rules, minVersion: view.plan.minVersion})
			? text
			: undefined;
	}

	private async readBodies(target: ClaimTarget): Promise<ItemBody[] | undefined> {
		const rows = await readAll(this.options.store, bodyRange(target.batch, target.group));
		return rows === undefined ? undefined : decodeBodies(rows);
	}

	private async readText(target: ClaimTarget, item: number): Promise<SampleText | undefined> {
		const claim = this.options.book.get(target.batch)?.claims[target.group]?.items[item];
		if (claim === undefined || claim.kind === 'listed' || !claim.hasPartialText) {
			return undefined;
		}

		const rows = await readAll(this.options.store, partialRange(target.batch, target.group, item));
		return rows === undefined ? undefined : decodePartial(rows);
	}

	private begin(options: BeginOptions): void {
		const run = createRun(options, this.options.clock.now());
		this.running.set(keyOf(run), run);
		this.send(run);
	}

	private send(run: Running): void {
		const {book, directory, client, clock} = this.options;
		const view = book.get(run.batch);
		const rules = view === undefined ? undefined : this.options.rulesOf(view);
		const engine = directory.get(run.engine);
		if (view === undefined || view.isEnded || rules === undefined) {
			this.end(run, 'batch is over');
			return;
		}

		if (engine?.state !== 'ready') {
			this.release(run, run.failures, 'the engine is leaving');
			return;
		}

		run.timer = undefined;
		run.sentAt = clock.now();
		run.lastSignAt = run.sentAt;
		run.newEvents = 0;
		const hasText = run.text.events.length > 0;
		run.run = client.run({
			engine,
			host: view.plan.host,
			item: run.body.id,
			path: run.body.path,
			headers: run.body.headers,
			body: run.body.body,
			deadlineMs: rules.runMs,
			resumeAfter: hasText ? run.text.lastEventId : undefined,
		}, {
			onStart: version => {
				this.onStart(run, view, version);
			},
			onEvent: event => {
				this.onEvent(run, event);
			},
			onEnd: end => {
				if (!run.isOver && end.kind !== 'aborted') {
					this.onEnd(run, end);
				}
			},
		});
	}

	private onStart(run: Running, view: BatchView, version: number | undefined): void {
		if (run.isOver) {
			return;
		}

		run.version = version;
		run.lastSignAt = this.options.clock.now();
		this.silence.sign(run.engine, run.lastSignAt);
		if (version === undefined) {
			return;
		}

		this.options.onVersion(run.engine, view, version);
		if (version < view.plan.minVersion) {
			this.release(run, run.failures, `the engine has version ${version}, at least ${view.plan.minVersion} is asked for`);
		}
	}

	private onEvent(run: Running, event: SampleEvent): void {
		if (run.isOver) {
			return;
		}

		const now = this.options.clock.now();
		if (run.newEvents > 0 && !this.options.isLoading(run.engine)) {
			this.pace.event(run.engine, now - run.lastSignAt, now);
		}

		run.lastSignAt = now;
		this.silence.sign(run.engine, now);
		run.newEvents += 1;
		run.version = event.version ?? run.version;
		if (run.text.events.length > 0 && event.id !== run.text.lastEventId + 1) {
			run.text = {events: [], lastEventId: -1, versions: []};
			this.release(run, run.failures, `event ${event.id} does not follow the last one`);
			return;
		}

		run.text.events.push(event.data);
		run.text.lastEventId = event.id;
		if (run.version !== undefined && !run.text.versions.includes(run.version)) {
			run.text.versions.push(run.version);
		}
	}

	private onEnd(run: Running, end: Exclude<RunEnd, {kind: 'aborted'}>): void {
		const view = this.options.book.get(run.batch);
		const rules = view === undefined ? undefined : this.options.rulesOf(view);
		if (view === undefined || rules === undefined) {
			this.end(run, 'batch is over');
			return;
		}

		run.refusals = end.kind === 'not-run' ? run.refusals + 1 : 0;
		if (end.kind === 'unreachable') {
			this.silence.failed(run.engine, this.options.clock.now());
		} else if (end.kind !== 'broken') {
			this.silence.sign(run.engine, this.options.clock.now());
		}

		const after = decideAfterRun(end, {
			text: run.text,
			failures: run.failures,
			maxAttempts: rules.maxAttempts,
			refusals: run.refusals,
			isEngineReady: this.options.directory.get(run.engine)?.state === 'ready',
			minVersion: view.plan.minVersion,
			isSingleVersion: rules.isSingleVersion,
		});
		this.follow(run, after, describeEnd(end));
	}

	private follow(run: Running, after: AfterRun, cause: string): void {
		switch (after.kind) {
			case 'list': {
				this.options.commits.push(run.batch, {
					group: run.group,
					item: run.item,
					kind: 'result',
					result: {
						id: run.body.id, state: after.state, output: run.text.events.join('\n'), versions: [...run.text.versions],
					},
				});
				this.end(run, after.state);
				break;
			}

			case 'again': {
				run.timer = setTimeout(() => {
					this.send(run);
				}, after.afterMs);
				break;
			}

			case 'release': {
				if (!after.keepText) {
					run.text = {events: [], lastEventId: -1, versions: []};
				}

				this.release(run, after.failures, cause);
				break;
			}
		}
	}

	private release(run: Running, failures: number, reason: string): void {
		if (run.isOver) {
			return;
		}

		this.options.commits.push(run.batch, {
			group: run.group,
			item: run.item,
			kind: 'released',
			failures,
			text: run.text.events.length > 0 ? copyOf(run.text) : undefined,
		});
		this.end(run, `released: ${reason}`);
	}

	private end(run: Running, outcome: string): void {
		if (run.isOver) {
			return;
		}

		run.isOver = true;
		clearTimeout(run.timer);
		run.run?.abort();
		this.running.delete(keyOf(run));
		if (this.countAt(run.engine) === 0) {
			this.pace.idle(run.engine);
		}

		this.options.onNote({
			batch: run.batch,
			item: run.body.id,
			engine: run.engine,
			outcome,
			events: run.text.events.length,
			expectedTokens: run.expectedTokens,
			tookMs: Math.round(this.options.clock.now() - run.startedAt),
			failures: run.failures,
		});
		this.options.onFreed();
	}

	/** A silent engine gives nothing any more, while each run on its own would be waited for much longer. */
	private releaseFromSilentEngines(now: Millis): void {
		const oldest = new Map<UpstreamId, Millis>();
		for (const {engine, sentAt} of this.running.values()) {
			oldest.set(engine, Math.min(sentAt, oldest.get(engine) ?? Number.POSITIVE_INFINITY));
		}

		for (const [engine, oldestSentAt] of oldest) {
			if (!this.silence.isSilent(engine, {oldestSentAt, isLoading: this.options.isLoading(engine), now})) {
				continue;
			}

			this.silence.failed(engine, now);
			for (const run of this.running.values()) {
				if (run.engine === engine) {
					this.release(run, run.failures, 'the engine is silent');
				}
			}
		}
	}

	/** Long samples go on elsewhere while their engine is slow; short ones end sooner than a move takes. */
	private releaseFromSlowEngines(now: Millis): void {
		for (const run of this.running.values()) {
			if (run.isLong && run.newEvents > 0 && this.pace.isSlow(run.engine, now)) {
				this.release(run, run.failures, 'the engine is slow');
			}
		}
	}

	private check(): void {
		const now = this.options.clock.now();
		this.releaseFromSilentEngines(now);
		this.releaseFromSlowEngines(now);
		for (const run of this.running.values()) {
			const view = this.options.book.get(run.batch);
			const claim = view?.claims[run.group]?.items[run.item];
			if (view === undefined || view.isEnded) {
				this.end(run, 'batch is over');
			} else if (claim?.kind === 'listed') {
				this.end(run, 'listed by another daemon');
			} else if (run.timer === undefined && isStalled({silentMs: now - run.lastSignAt, hasEvents: run.newEvents > 0})) {
				this.release(run, run.failures, `no event for ${Math.round(now - run.lastSignAt)} ms`);
			} else if (now - run.savedAt > saveMs && run.text.events.length > run.savedEvents) {
				run.savedAt = now;
				run.savedEvents = run.text.events.length;
				this.options.commits.push(run.batch, {
					group: run.group, item: run.item, kind: 'progress', text: copyOf(run.text),
				});
			}
		}
	}
}
