import {
	applyRewardClaim, batchTable, claimKey, encodeClaims, endKey, isOpen, itemKeyOf, planKey, readBodies, readText, toResult, writtenRows,
	type BatchCache, type BatchView, type ClaimTarget, type CommitQueue, type CompletedText, type ItemOutcome, type RowShapeError,
} from '@cicadapost/batches';
import type {Route} from '@cicadapost/forwarding';
import type {RowStore, TableFollower, Transaction} from '@cicadapost/store';
import type {
	BatchId, Clock, DaemonIncarnation, ItemId, Millis, RequestId,
} from '@cicadapost/types';
import type {CallShare} from './call-share.js';
import {
	callDeadline, decideAfterCall, type CallEnd, type CallHistory,
} from './decide-follow-up.js';
import {planCalls} from './plan-calls.js';
import {planTakeovers} from './plan-takeovers.js';
import type {RewardSender} from './reward-sender.js';

/** How a reward call has ended, and what follows, for logs and metrics. */
export type RewardReport = Readonly<{
	batch: BatchId;
	item: ItemId;
	call: RequestId;
	outcome: string;
	next: 'completed' | 'terminated' | 'again';
	/** Time of this call. */
	tookMs: Millis;
	/** Time since the text was complete, or taken over from another daemon. */
	sinceTextMs: Millis;
	failures: number;
	retries: number;
}>;

/** What the configuration in force allows for the calls of a batch. */
export type RewardRules = Readonly<{
	maxAttempts: number;
	/** When the batch is due, on the store's clock. */
	dueAt: Millis;
}>;

export type RewardTaskOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: Pick<TableFollower, 'age' | 'mergeRows'>;
	batchCache: BatchCache;
	commits: Pick<CommitQueue, 'push' | 'hasFinalOutcome'>;
	incarnation: DaemonIncarnation;
	sender: RewardSender;
	/** Returns the rules of a batch, or undefined if it has expired or no route serves it any more. */
	rulesOf: (batch: BatchView) => RewardRules | undefined;
	/** Returns the route of a call, or undefined if there is none. */
	routeOf: (call: Readonly<{host: string; path: string}>) => Route | undefined;
	/** Returns what this daemon may send to the upstreams of a route. */
	shareOf: (route: Route) => CallShare;
	/** Whether the daemon `incarnation`, which wrote a claim at `claimedVersion` of the store, is still running. */
	isAlive: (incarnation: string, claimedVersion: number) => boolean;
	/** Whether this daemon takes over texts that no daemon has held for some time, by a key that identifies them. */
	isResponsible: (key: string, waitedMs: Millis) => boolean;
	onReport: (report: RewardReport) => void;
	onTakeover: (target: ClaimTarget) => void;
	onUnreadableRow: (err: RowShapeError) => void;
}>;

/** A call is sent only if this daemon has read the batches within this time, since it must not be sent long after its batch has ended. */
export const maxPlanAgeMs = 1200;
/** Interval for looking for texts of dead daemons, and for checks that no event triggers. */
const pollIntervalMs = 400;

type HeldText = CompletedText & {
	readonly since: Millis;
	/** `saving` until the store has the text. */
	state: 'saving' | 'waiting' | 'sent';
	notBefore: Millis;
	history: CallHistory;
	cancel: (() => void) | undefined;
};

/** Upstreams that share the limits of `callShare`. */
type RouteState = {inFlight: number; pausedUntil: Millis};

/** A background task that sends the reward calls of the texts that this daemon holds, and lists the results. */
export class RewardTask {
	private readonly held = new Map<string, HeldText>();
	/** Texts that are being taken over from dead daemons. */
	private readonly takingOver = new Set<string>();
	/** When this daemon has first seen that nobody holds the texts of a group. */
	private readonly orphanedAt = new Map<string, Millis>();
	private readonly routes = new Map<string, RouteState>();
	private readonly timer: NodeJS.Timeout;
	private planTimer: NodeJS.Timeout | undefined;
	private isDraining = false;
	private isStopped = false;

	constructor(private readonly options: RewardTaskOptions) {
		this.timer = setInterval(() => {
			this.wake();
			void this.takeOver();
		}, pollIntervalMs);
	}

	/** Number of texts that wait for their reward here. */
	get count(): number {
		return this.held.size + this.takingOver.size;
	}

	/** Whether this daemon holds the text of an item or is taking it over. `itemKey` is a key from `itemKeyOf`. */
	hasItem(itemKey: string): boolean {
		// Takeovers have the key of the group, which is that of the item without its last part.
		return this.held.has(itemKey) || this.takingOver.has(itemKey.slice(0, itemKey.lastIndexOf('/')));
	}

	/** Accepts a text that is about to be stored. */
	add(completed: CompletedText): void {
		this.hold(completed, {state: completed.isStored ? 'saving' : 'waiting', history: {failures: 0, retries: 0}});
	}

	/** Sends the calls that are due. Call this when batches, upstreams or the configuration have changed. */
	wake(): void {
		if (this.isStopped || this.held.size === 0) {
			return;
		}

		this.updateStates();
		const {clock, follower} = this.options;
		if (follower.age(clock.now()) <= maxPlanAgeMs) {
			this.startCalls();
		}
	}

	/** Takes over no further texts, for a daemon that shuts down. */
	startDraining(): void {
		this.isDraining = true;
	}

	/** Leaves all texts to other daemons. Those that are not stored yet stay. */
	releaseAll(): void {
		for (const [itemKey, text] of this.held) {
			if (text.state !== 'saving') {
				this.drop(itemKey);
				this.options.commits.push(text.batch, this.releaseOf(text));
			}
		}
	}

	/** Another daemon gets the reward of a stored text. One that is not stored has to be generated again. */
	private releaseOf({batch, group, item, isStored, history}: HeldText): ItemOutcome {
		if (isStored) {
			return {
				group, item, kind: 'reward-released', rewardFailures: history.failures,
			};
		}

		const claim = this.options.batchCache.get(batch)?.claims[group]?.items[item];
		return {
			group, item, kind: 'released', failures: claim?.kind === 'running' ? claim.failures : 0, text: undefined,
		};
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
		clearTimeout(this.planTimer);
		for (const itemKey of this.held.keys()) {
			this.drop(itemKey);
		}
	}

	private hold(completed: CompletedText, {state, history}: Pick<HeldText, 'state' | 'history'>): void {
		const now = this.options.clock.now();
		this.held.set(itemKeyOf(completed), {
			...completed, since: now, state, notBefore: now, history, cancel: undefined,
		});
	}

	/** Ends a call that is in flight, without an outcome. */
	private drop(itemKey: string): void {
		const text = this.held.get(itemKey);
		this.held.delete(itemKey);
		text?.cancel?.();
	}

	/** Drops texts of batches that are over and texts that other daemons have taken over. */
	private updateStates(): void {
		const {batchCache, commits, incarnation} = this.options;
		for (const [itemKey, text] of this.held) {
			const view = batchCache.get(text.batch);
			const claim = view?.claims[text.group]?.items[text.item];
			const isHeldHere = claim?.kind === (text.isStored ? 'rewarding' : 'running') && claim.incarnation === incarnation;
			const isBeingSaved = text.state === 'saving' && commits.hasFinalOutcome(itemKey);
			if (view === undefined || !isOpen(view) || (!isHeldHere && !isBeingSaved)) {
				this.drop(itemKey);
			} else if (isHeldHere && text.state === 'saving') {
				text.state = 'waiting';
			}
		}
	}

	private startCalls(): void {
		const {batchCache, clock, shareOf} = this.options;
		const now = clock.now();
		let planAgainAt = Number.POSITIVE_INFINITY;
		for (const [name, {route, texts}] of this.waitingByRoute()) {
			const {inFlight, pausedUntil} = this.routeState(name);
			const plan = planCalls({
				calls: texts.map(({text, rules}) => ({
					itemKey: itemKeyOf(text), dueAt: rules.dueAt, missingInGroup: missingResults(batchCache.get(text.batch), text.group), notBefore: text.notBefore,
				})),
				share: shareOf(route),
				inFlight,
				pausedUntil,
				now,
			});
			for (const itemKey of plan.start) {
				const waiting = texts.find(({text}) => itemKeyOf(text) === itemKey);
				if (waiting !== undefined) {
					this.send(waiting.text, route, waiting.rules);
				}
			}

			planAgainAt = Math.min(planAgainAt, plan.planAgainAt ?? Number.POSITIVE_INFINITY);
		}

		clearTimeout(this.planTimer);
		this.planTimer = Number.isFinite(planAgainAt)
			? setTimeout(() => {
				this.wake();
			}, Math.max(1, planAgainAt - now))
			: undefined;
	}

	private waitingByRoute(): Map<string, Readonly<{route: Route; texts: Array<Readonly<{text: HeldText; rules: RewardRules}>>}>> {
		const {batchCache, rulesOf, routeOf} = this.options;
		const byRoute = new Map<string, Readonly<{route: Route; texts: Array<Readonly<{text: HeldText; rules: RewardRules}>>}>>();
		for (const text of this.held.values()) {
			const view = batchCache.get(text.batch);
			const rules = text.state !== 'waiting' || view === undefined ? undefined : rulesOf(view);
			const route = rules === undefined ? undefined : routeOf(text.reward);
			if (rules === undefined || route === undefined) {
				continue;
			}

			const entry = byRoute.get(route.name) ?? {route, texts: []};
			entry.texts.push({text, rules});
			byRoute.set(route.name, entry);
		}

		return byRoute;
	}

	private routeState(name: string): RouteState {
		const state = this.routes.get(name) ?? {inFlight: 0, pausedUntil: 0};
		this.routes.set(name, state);
		return state;
	}

	private send(text: HeldText, route: Route, rules: RewardRules): void {
		const {clock, sender, shareOf} = this.options;
		const routeState = this.routeState(route.name);
		const sentAt = clock.now();
		let isInFlight = true;
		const leaveFlight = () => {
			if (isInFlight) {
				isInFlight = false;
				routeState.inFlight -= 1;
			}
		};

		text.state = 'sent';
		routeState.inFlight += 1;
		const cancel = sender.send(text.reward, {
			route,
			deadlineMs: callDeadline({targetLatencyMs: route.targetLatencyMs, timeoutMs: route.timeoutMs, retries: text.history.retries}),
			onEnd: end => {
				leaveFlight();
				const now = clock.now();
				routeState.pausedUntil = now + ((now - sentAt) * shareOf(route).pauseFactor);
				this.onEnd(text, end, {tookMs: now - sentAt, maxFailures: Math.max(rules.maxAttempts, route.maxAttempts)});
			},
		});
		text.cancel = () => {
			leaveFlight();
			cancel();
		};
	}

	private onEnd(text: HeldText, end: CallEnd, {tookMs, maxFailures}: Readonly<{tookMs: Millis; maxFailures: number}>): void {
		const {clock, commits, onReport} = this.options;
		const now = clock.now();
		const followUp = decideAfterCall(end, text.history, maxFailures);
		text.cancel = undefined;
		onReport({
			batch: text.batch,
			item: text.id,
			call: text.reward.id,
			outcome: describeCallEnd(end),
			next: followUp.kind === 'list' ? followUp.state : 'again',
			tookMs: Math.round(tookMs),
			sinceTextMs: Math.round(now - text.since),
			...text.history,
		});
		if (followUp.kind === 'list') {
			this.held.delete(itemKeyOf(text));
			commits.push(text.batch, {
				group: text.group, item: text.item, kind: 'result', result: toResult({...text, ...followUp}),
			});
		} else {
			text.state = 'waiting';
			text.history = followUp.history;
			text.notBefore = now + followUp.afterMs;
		}

		this.wake();
	}

	/** Takes over texts of dead daemons that this one is responsible for. */
	private async takeOver(): Promise<void> {
		const {batchCache, clock, follower, incarnation, isAlive, isResponsible, commits} = this.options;
		if (this.isDraining || this.takingOver.size > 0 || follower.age(clock.now()) > maxPlanAgeMs) {
			return;
		}

		const now = clock.now();
		const orphaned = new Set<string>();
		const targets = planTakeovers({
			batches: batchCache.open(),
			isHolderAlive: (claim, item, rowVersion) => {
				const itemKey = itemKeyOf({...item, batch: item.batch as BatchId});
				return claim.incarnation === incarnation
					? this.held.has(itemKey) || commits.hasFinalOutcome(itemKey)
					: isAlive(claim.incarnation ?? '', rowVersion);
			},
			isResponsible: (view, group) => {
				const key = `${view.id}/${group}`;
				const since = this.orphanedAt.get(key) ?? now;
				this.orphanedAt.set(key, since);
				orphaned.add(key);
				return isResponsible(key, now - since);
			},
		});
		for (const key of this.orphanedAt.keys()) {
			if (!orphaned.has(key)) {
				this.orphanedAt.delete(key);
			}
		}

		for (const target of targets) {
			this.takingOver.add(targetKey(target));
		}

		await Promise.all(targets.map(async target => {
			try {
				await this.takeOverGroup(target);
			} finally {
				this.takingOver.delete(targetKey(target));
			}
		}));
		this.wake();
	}

	private async takeOverGroup(target: ClaimTarget): Promise<void> {
		const {store, batchCache, follower, incarnation, commits, onTakeover} = this.options;
		const view = batchCache.get(target.batch);
		if (view === undefined) {
			return;
		}

		const transaction = buildTakeover(view, target, incarnation);
		const outcome = await store.transact(transaction);
		if (outcome.kind !== 'committed') {
			if (outcome.kind === 'conflict') {
				follower.mergeRows(outcome.rows);
			}

			return;
		}

		onTakeover(target);
		const [bodies, texts] = await Promise.all([
			readBodies(this.options, target),
			Promise.all(target.items.map(async item => readText(this.options, view, {group: target.group, item}))),
		]);
		for (const [index, item] of target.items.entries()) {
			const claim = view.claims[target.group]?.items[item];
			const id = view.plan.groups[target.group]?.items[item]?.id;
			const reward = bodies?.find(body => body.id === id)?.reward;
			const text = texts[index];
			// Texts that could not be read are found again by the next search.
			if (claim?.kind === 'rewarding' && id !== undefined && reward !== undefined && text !== undefined && !this.isStopped && !commits.hasFinalOutcome(itemKeyOf({...target, item}))) {
				this.hold({
					batch: target.batch, group: target.group, item, id, text, reward, isStored: true,
				}, {state: 'waiting', history: {failures: claim.rewardFailures, retries: 0}});
			}
		}

		follower.mergeRows(writtenRows(transaction, outcome.version));
	}
}

function targetKey({batch, group}: ClaimTarget): string {
	return `${batch}/${group}`;
}

function missingResults(view: BatchView | undefined, group: number): number {
	return view?.claims[group]?.items.filter(({kind}) => kind !== 'listed').length ?? 0;
}

function buildTakeover(view: BatchView, {group, items}: ClaimTarget, incarnation: DaemonIncarnation): Transaction {
	return {
		part: view.id,
		expected: [
			{table: batchTable, key: planKey, version: view.planVersion},
			{table: batchTable, key: endKey, version: 0},
			{table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0},
		],
		writes: [{table: batchTable, key: claimKey(group), value: encodeClaims(applyRewardClaim(view.claims[group]?.items ?? [], items, incarnation))}],
	};
}

function describeCallEnd(end: CallEnd): string {
	switch (end.kind) {
		case 'answered': {
			return `answered with status ${end.status}`;
		}

		case 'refused':
		case 'unanswered': {
			return `${end.kind}: ${end.reason}`;
		}

		case 'scored':
		case 'timed-out': {
			return end.kind;
		}
	}
}
