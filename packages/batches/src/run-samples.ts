import type {ByteMeter} from '@cicadapost/byte-budget';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import type {RequestLimits} from '@cicadapost/rate-limits';
import type {RowStore} from '@cicadapost/store';
import type {
	BatchId, Clock, ItemId, Millis, UpstreamId,
} from '@cicadapost/types';
import type {BatchCache, BatchView} from './batch-cache.js';
import type {RewardCall, SampleResult, SampleText} from './batch.js';
import type {CommitQueue} from './commit-queue.js';
import {
	decideFollowUp, isStalled, type FollowUp,
} from './decide-run.js';
import type {RowShapeError} from './encode-rows.js';
import type {
	EngineClient, RunEnd, SampleEvent, SampleRun,
} from './engine-client.js';
import {EngineWatch} from './engine-watch.js';
import {isLong, type ClaimTarget, type ItemReference} from './plan-claims.js';
import {canStoreText} from './plan-commit.js';
import {planMoves} from './plan-moves.js';
import {readBodies, readText} from './read-items.js';
import {
	snapshotText, toResult, createRun, describeEnd, emptyText, itemKeyOf, type RunOptions, type RunReport, type ActiveRun,
	usableText, type BatchRules, type CompletedText,
} from './sample-run.js';
import type {SampleRunnerOptions} from './sample-runner-options.js';
import {TextMemory} from './text-memory.js';

/** Interval for checking runs for stalls, the end of their batch and unsaved text. */
const checkIntervalMs = 200;
/** Interval for saving the text of a run in the store, so that other daemons can resume the runs of a dead one. */
const saveIntervalMs = 1200;
/** Maximum wait for a turn at an engine that limits its rate. Another engine may have room after that. */
const maxTurnWaitMs = 2000;

/** A background task that runs samples on engines, from the claim to the recorded outcome. */
export class SampleRunner {
	private readonly running = new Map<string, ActiveRun>();
	/** Items whose request bodies are being read, with their engines. */
	private readonly starting = new Map<string, UpstreamId>();
	private readonly texts: TextMemory;
	/** What the runs show about the engines of this daemon. */
	readonly watch: EngineWatch;
	/** Set while there are runs to check. */
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: SampleRunnerOptions) {
		this.watch = new EngineWatch(options.isLoading);
		this.texts = new TextMemory({
			...(options.textBytes === undefined ? {} : {meter: options.textBytes}),
			onFull: run => {
				this.watch.recordFailure(run.engine, options.clock.now());
				run.text = emptyText();
				this.release(run, run.failures, 'the text is longer than any valid one, or there is no memory for it');
			},
		});
	}

	/** Number of samples that this daemon has on an engine, including those whose request bodies are still being read. */
	countAt(engine: UpstreamId): number {
		return this.countStartingAt(engine) + [...this.running.values()].filter(run => run.engine === engine).length;
	}

	get count(): number {
		return this.running.size + this.starting.size;
	}

	/** Number of samples for an engine whose request bodies are still being read. */
	countStartingAt(engine: UpstreamId): number {
		return [...this.starting.values()].filter(id => id === engine).length;
	}

	/** Whether an item is running here or about to start. `itemKey` is a key from `itemKeyOf`. */
	hasItem(itemKey: string): boolean {
		return this.running.has(itemKey) || this.starting.has(itemKey);
	}

	/** Forgets what was measured at engines that this daemon neither owns nor uses any more. */
	retainMeasurements(owned: readonly UpstreamRecord[]): void {
		const {directory} = this.options;
		const used = [...this.running.values()].map(({engine}) => directory.get(engine)).filter(record => record !== undefined);
		this.watch.retain([...owned, ...used]);
	}

	/** Number of long samples that this daemon has on an engine. */
	countLongAt(engine: UpstreamId): number {
		return [...this.running.values()].filter(run => run.engine === engine && run.isLong).length;
	}

	/** Starts claimed items on an engine. */
	async start(engine: UpstreamRecord, target: ClaimTarget): Promise<void> {
		const itemKeys = target.items.map(item => itemKeyOf({...target, item}));
		for (const itemKey of itemKeys) {
			this.starting.set(itemKey, engine.id);
		}

		const {batchCache} = this.options;
		const bodies = await readBodies(this.options, target);
		const texts = await Promise.all(target.items.map(async item => readText(this.options, batchCache.get(target.batch), {group: target.group, item})));
		for (const itemKey of itemKeys) {
			this.starting.delete(itemKey);
		}

		const view = batchCache.get(target.batch);
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

			this.startRun({
				engine,
				target,
				item,
				body,
				failures,
				text: usableText(view, {text: texts[index], rules: this.options.rulesOf(view), softwareVersion: engine.softwareVersion}),
				isLong: isLong(view, target.group, item),
				expectedTokens: planned?.expectedTokens ?? 0,
			});
		}
	}

	/** Releases all runs with their text, so that other daemons can resume them. */
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

	private startRun(options: RunOptions): void {
		const run = createRun(options, this.options.clock.now());
		this.running.set(itemKeyOf(run), run);
		this.texts.start(run);
		this.timer ??= setInterval(() => {
			this.check();
		}, checkIntervalMs);
		this.send(run);
	}

	/** Sends a run to its engine, after waiting for its turn if the engine limits its rate. */
	private send(run: ActiveRun): void {
		const {limits, directory} = this.options;
		const engine = directory.get(run.engine);
		if (engine === undefined || limits.limitOf(engine) === undefined) {
			this.sendNow(run);
			return;
		}

		run.withdrawTurn = limits.requestTurn(engine, maxTurnWaitMs, turn => {
			run.withdrawTurn = undefined;
			if (turn === 'granted') {
				this.sendNow(run);
			} else {
				this.release(run, run.failures, 'the engine limits its rate');
			}
		});
	}

	private sendNow(run: ActiveRun): void {
		const {batchCache, directory, client, clock} = this.options;
		const view = batchCache.get(run.batch);
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

		run.resendTimer = undefined;
		run.sentAt = clock.now();
		run.softwareVersion = engine.softwareVersion;
		if (run.text.softwareVersion !== engine.softwareVersion) {
			run.text = emptyText();
			this.texts.release(run);
		}

		run.lastActivityAt = run.sentAt;
		run.eventsSinceSent = 0;
		this.options.limits.recordSend(engine, 'sample');
		const {sentAt} = run;
		const hasText = run.text.events.length > 0;
		run.engineRun = client.run({
			engine,
			host: view.plan.host,
			item: run.body.id,
			path: run.body.path,
			headers: run.body.headers,
			body: run.body.body,
			deadlineMs: rules.runMs,
			resumeAfter: hasText ? run.text.lastEventId : undefined,
		}, {
			onLimit: requestsPerSecond => {
				this.options.limits.recordResponse(engine, {requestsPerSecond, sentAt});
			},
			onStart: version => {
				this.onStart(run, view, version);
			},
			onEvent: event => {
				this.onEvent(run, event);
			},
			onPending: bytes => {
				this.texts.setPending(run, bytes);
			},
			onEnd: end => {
				if (!run.isOver && end.kind !== 'aborted') {
					this.onEnd(run, end);
				}
			},
		});
	}

	private onStart(run: ActiveRun, view: BatchView, version: number | undefined): void {
		if (run.isOver) {
			return;
		}

		run.version = version;
		run.lastActivityAt = this.options.clock.now();
		this.watch.recordActivity(run.engine, run.lastActivityAt);
		if (version === undefined) {
			return;
		}

		this.options.onVersion(run.engine, view, version);
		if (version < view.plan.minVersion) {
			this.release(run, run.failures, `the engine has version ${version}, at least ${view.plan.minVersion} is required`);
		}
	}

	private onEvent(run: ActiveRun, event: SampleEvent): void {
		if (run.isOver) {
			return;
		}

		const now = this.options.clock.now();
		if (run.eventsSinceSent > 0) {
			this.watch.recordGap(run.engine, now - run.lastActivityAt, now);
		}

		run.lastActivityAt = now;
		this.watch.recordActivity(run.engine, now);
		run.eventsSinceSent += 1;
		const view = this.options.batchCache.get(run.batch);
		if (event.version !== undefined && view !== undefined) {
			// Without this, a load that only running samples announce counts as in progress until it times out, and no samples are claimed.
			this.options.onVersion(run.engine, view, event.version);
		}

		run.version = event.version ?? run.version;
		if (run.text.events.length > 0 && event.id !== run.text.lastEventId + 1) {
			run.text = emptyText();
			this.release(run, run.failures, `event ${event.id} does not follow the last one`);
			return;
		}

		this.texts.addEvent(run, event.data);
		if (run.isOver) {
			return;
		}

		run.text.softwareVersion ??= run.softwareVersion;
		run.text.events.push(event.data);
		run.text.lastEventId = event.id;
		if (run.version !== undefined && !run.text.versions.includes(run.version)) {
			run.text.versions.push(run.version);
		}
	}

	private onEnd(run: ActiveRun, end: Exclude<RunEnd, {kind: 'aborted'}>): void {
		const view = this.options.batchCache.get(run.batch);
		const rules = view === undefined ? undefined : this.options.rulesOf(view);
		if (view === undefined || rules === undefined) {
			this.end(run, 'batch is over');
			return;
		}

		if ((this.options.directory.get(run.engine)?.softwareVersion ?? run.softwareVersion) !== run.softwareVersion) {
			run.text = emptyText();
			this.release(run, run.failures, 'the engine has restarted with other software');
			return;
		}

		run.refusals = end.kind === 'not-run' ? run.refusals + 1 : 0;
		if (end.kind === 'unreachable' || end.kind === 'invalid') {
			this.watch.recordFailure(run.engine, this.options.clock.now());
		} else if (end.kind !== 'broken') {
			this.watch.recordActivity(run.engine, this.options.clock.now());
		}

		const followUp = decideFollowUp(end, {
			text: run.text,
			failures: run.failures,
			maxAttempts: rules.maxAttempts,
			refusals: run.refusals,
			isEngineReady: this.options.directory.get(run.engine)?.state === 'ready',
			minVersion: view.plan.minVersion,
			isSingleVersion: rules.isSingleVersion,
		});
		this.applyFollowUp(run, followUp, describeEnd(end));
	}

	private applyFollowUp(run: ActiveRun, followUp: FollowUp, cause: string): void {
		switch (followUp.kind) {
			case 'list': {
				this.recordEnd(run, followUp.state);
				break;
			}

			case 'again': {
				run.resendTimer = setTimeout(() => {
					this.send(run);
				}, followUp.afterMs);
				break;
			}

			case 'release': {
				if (!followUp.keepText) {
					run.text = emptyText();
				}

				this.release(run, followUp.failures, cause);
				break;
			}
		}
	}

	/** Lists the result, or stores the text of a sample that still needs its reward. */
	private recordEnd(run: ActiveRun, state: SampleResult['state']): void {
		const {batch, group, item, failures, body: {id, reward}} = run;
		const text = snapshotText(run.text);
		if (state === 'completed' && run.resumedEvents === 0) {
			this.watch.recordRun(run.engine, {tookMs: this.options.clock.now() - run.startedAt, expectedTokens: run.expectedTokens});
		}

		if (state === 'completed' && reward !== undefined) {
			const view = this.options.batchCache.get(batch);
			const isStored = view === undefined || canStoreText(view, {...run, text});
			if (isStored) {
				this.options.commits.push(batch, {
					group, item, kind: 'text-complete', failures, text,
				});
			}

			this.options.onTextComplete({
				batch, group, item, id, text, reward, isStored,
			});
			this.end(run, 'text complete');
			return;
		}

		this.options.commits.push(batch, {
			group, item, kind: 'result', result: toResult({id, text, state}),
		});
		this.end(run, state);
	}

	private release(run: ActiveRun, failures: number, reason: string): void {
		if (run.isOver) {
			return;
		}

		this.options.commits.push(run.batch, {
			group: run.group,
			item: run.item,
			kind: 'released',
			failures,
			text: run.text.events.length > 0 ? snapshotText(run.text) : undefined,
		});
		this.end(run, `released: ${reason}`);
	}

	private end(run: ActiveRun, outcome: string): void {
		if (run.isOver) {
			return;
		}

		run.isOver = true;
		this.texts.release(run);
		clearTimeout(run.resendTimer);
		run.withdrawTurn?.();
		run.engineRun?.abort();
		this.running.delete(itemKeyOf(run));
		if (this.countAt(run.engine) === 0) {
			this.watch.resetPace(run.engine);
		}

		this.options.onRunReport({
			batch: run.batch,
			item: run.body.id,
			engine: run.engine,
			outcome,
			events: run.text.events.length,
			expectedTokens: run.expectedTokens,
			tookMs: Math.round(this.options.clock.now() - run.startedAt),
			failures: run.failures,
			softwareVersion: run.softwareVersion,
			connection: run.engineRun?.connectionNumber,
			resumedEvents: run.resumedEvents,
			resumedVersion: run.resumedVersion,
		});
		this.options.onSlotFreed();
	}

	private releaseFromSilentEngines(now: Millis): void {
		for (const engine of this.watch.silentEngines(this.running.values(), now)) {
			this.watch.recordFailure(engine, now);
			for (const run of this.running.values()) {
				if (run.engine === engine) {
					this.release(run, run.failures, 'the engine is silent');
				}
			}
		}
	}

	private releaseToOtherEngines(now: Millis): void {
		const {batchCache, slowerBy = () => 1, mayMove = () => true, rulesOf} = this.options;
		const moves = planMoves(this.running.values(), {
			watch: this.watch,
			mayMove,
			canContinue(run) {
				const view = batchCache.get(run.batch);
				// The text of a route that wants a single version is of no use to an engine with another one.
				return view !== undefined && rulesOf(view)?.isSingleVersion === false;
			},
			slowerBy(run) {
				const view = batchCache.get(run.batch);
				return view === undefined ? 1 : slowerBy(run.engine, view);
			},
			now,
		});
		for (const {run, reason} of moves) {
			this.release(run, run.failures, reason);
		}
	}

	private check(): void {
		if (this.running.size === 0) {
			clearInterval(this.timer);
			this.timer = undefined;
			return;
		}

		const now = this.options.clock.now();
		this.releaseFromSilentEngines(now);
		this.releaseToOtherEngines(now);
		for (const run of this.running.values()) {
			const view = this.options.batchCache.get(run.batch);
			const claim = view?.claims[run.group]?.items[run.item];
			if (view === undefined || view.isEnded) {
				this.end(run, 'batch is over');
			} else if (claim?.kind === 'listed' || claim?.kind === 'rewarding') {
				this.end(run, 'completed by another daemon');
			} else if (run.resendTimer === undefined && run.withdrawTurn === undefined && isStalled({sinceLastEventMs: now - run.lastActivityAt, hasEvents: run.eventsSinceSent > 0})) {
				this.release(run, run.failures, `no event for ${Math.round(now - run.lastActivityAt)} ms`);
			} else if (now - run.savedAt > saveIntervalMs && run.text.events.length > run.savedEvents) {
				run.savedAt = now;
				run.savedEvents = run.text.events.length;
				this.options.commits.push(run.batch, {
					group: run.group, item: run.item, kind: 'progress', text: snapshotText(run.text),
				});
			}
		}
	}
}
