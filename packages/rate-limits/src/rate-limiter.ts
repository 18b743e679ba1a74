import {
	decodeList, encodeList, type RowChange, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, DaemonId, Millis, UpstreamId,
} from '@cicadapost/types';
import {NamedLimits, type LimitStatement, type UpstreamRun} from './named-limits.js';
import {
	RequestLimits, type SendReason, type Turn, type UpstreamLimit,
} from './request-limits.js';
import {TurnQueue, turnTable} from './turn-queue.js';

/** A change of the limit of an upstream, for logs. */
export type LimitReport = Readonly<{
	upstream: UpstreamId;
	bornAt: number;
	/** Undefined if the limit was lifted. */
	requestsPerSecond: number | undefined;
	/** Whether a response to this daemon or another daemon told it. */
	source: 'response' | 'daemon';
}>;

/** What is needed of a `TableFollower`. */
export type LimitTable = Pick<TableFollower, 'copy' | 'mergeRows' | 'storeTime' | 'connectedFor'> & Readonly<{
	on: (event: 'changed', listener: (changes: readonly RowChange[]) => void) => unknown;
}>;

export type RateLimiterOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follows the table in which daemons tell each other of limits. The part is the upstream. */
	follower: LimitTable;
	self: DaemonId;
	/** Returns the daemons that may be running, in the same order at each daemon. Empty if they are not known. */
	daemons: () => readonly DaemonId[];
	/** Whether the platform lists an upstream with this start. */
	isListed: (upstream: UpstreamRun) => boolean;
	/** Whether this daemon is responsible for deleting the rows of an upstream. */
	isOwner: (upstream: UpstreamId) => boolean;
	onLimitReport: (report: LimitReport) => void;
	/** Called for each request to an upstream that has a limit. */
	onLimitedSend: (upstream: UpstreamId, reason: SendReason) => void;
}>;

const keyPrefix = 'limit/';
/** A limit is written again after this time if the store has not taken it. */
const publishRetryMs = 500;
const sweepMs = 30_000;
/** Entries of upstreams that are missing for a shorter time may only have expired during an outage of the store. */
const minConnectedMs = 10_000;

/** Tells all daemons of the limits that upstreams name, and keeps the sum of their requests within these limits. */
export class RateLimiter extends RequestLimits {
	private readonly named = new NamedLimits();
	private readonly queues = new Map<UpstreamId, Readonly<{bornAt: number; queue: TurnQueue}>>();
	/** Time until which the limit of an upstream is not written again. */
	private readonly publishPausedUntil = new Map<UpstreamId, Millis>();
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: RateLimiterOptions) {
		super();
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
		this.timer = setInterval(() => {
			void this.sweep();
		}, sweepMs);
	}

	override limitOf(upstream: UpstreamRun): UpstreamLimit | undefined {
		const requestsPerSecond = this.named.limitOf(upstream);
		return requestsPerSecond === undefined ? undefined : {requestsPerSecond, waitMs: this.queueOf(upstream).waitMs(requestsPerSecond)};
	}

	override requestTurn(upstream: UpstreamRun, maxWaitMs: Millis, onTurn: (turn: Turn) => void): () => void {
		return this.queueOf(upstream).add(maxWaitMs, onTurn);
	}

	override recordSend(upstream: UpstreamRun, reason: SendReason): void {
		if (this.named.limitOf(upstream) !== undefined) {
			this.options.onLimitedSend(upstream.id, reason);
		}
	}

	override recordResponse(upstream: UpstreamRun, statement: LimitStatement): void {
		const hasChanged = this.named.recordResponse(upstream, statement, this.options.clock.now());
		if (hasChanged) {
			this.onChange(upstream, 'response');
		}

		if (hasChanged || this.named.limitOf(upstream) !== undefined) {
			void this.publish(upstream);
		}
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Forgets upstreams that are gone, and deletes their rows. */
	async sweep(): Promise<void> {
		const {clock, follower, isListed, isOwner} = this.options;
		if (follower.connectedFor(clock.now()) < minConnectedMs) {
			return;
		}

		for (const [id, {bornAt, queue}] of this.queues) {
			if (!isListed({id, bornAt})) {
				queue.grantAll();
				this.queues.delete(id);
				this.named.forget(id);
				this.publishPausedUntil.delete(id);
			}
		}

		for (const part of follower.copy.parts()) {
			for (const row of follower.copy.part(part)) {
				const upstream = parseKey(row.part, row.key);
				if (upstream !== undefined && !isListed(upstream) && isOwner(upstream.id)) {
					await this.deleteRows(upstream);
				}
			}
		}
	}

	private queueOf(upstream: UpstreamRun): TurnQueue {
		const known = this.queues.get(upstream.id);
		if (known?.bornAt === upstream.bornAt) {
			return known.queue;
		}

		const {clock, store, follower, self, daemons} = this.options;
		const queue = new TurnQueue({
			clock,
			store,
			storeTime: () => follower.storeTime(clock.now()),
			upstream: {id: upstream.id, bornAt: upstream.bornAt},
			requestsPerSecond: () => this.named.limitOf(upstream),
			self,
			daemons,
		});
		this.queues.set(upstream.id, {bornAt: upstream.bornAt, queue});
		known?.queue.grantAll();
		return queue;
	}

	private onChange(upstream: UpstreamRun, source: LimitReport['source']): void {
		const requestsPerSecond = this.named.limitOf(upstream);
		this.options.onLimitReport({
			upstream: upstream.id, bornAt: upstream.bornAt, requestsPerSecond, source,
		});
		if (requestsPerSecond === undefined) {
			this.queues.get(upstream.id)?.queue.grantAll();
			this.queues.delete(upstream.id);
		}
	}

	/** Writes the limit for the other daemons, unless their table has it already. */
	private async publish({id, bornAt}: UpstreamRun): Promise<void> {
		const {clock, store, follower} = this.options;
		const upstream = {id, bornAt};
		const now = clock.now();
		const requestsPerSecond = this.named.limitOf(upstream);
		const row = follower.copy.get(id, keyOf(upstream));
		const published = row === undefined ? undefined : decodeLimit(row.value);
		if (published === requestsPerSecond || now < (this.publishPausedUntil.get(id) ?? 0)) {
			return;
		}

		this.publishPausedUntil.set(id, now + publishRetryMs);
		if (requestsPerSecond === undefined) {
			await this.deleteRows(upstream);
			return;
		}

		const write = {table: follower.copy.table, key: keyOf(upstream), value: encodeList([requestsPerSecond])};
		const outcome = await store.transact({part: id, writes: [write]});
		if (outcome.kind === 'committed') {
			follower.mergeRows([{...write, part: id, version: outcome.version}]);
		}
	}

	private async deleteRows(upstream: UpstreamRun): Promise<void> {
		const {store, follower} = this.options;
		await store.transact({
			part: upstream.id,
			writes: [],
			deletes: [{table: follower.copy.table, key: keyOf(upstream)}, {table: turnTable, key: String(upstream.bornAt)}],
		});
	}

	/** Applies limits that other daemons have published. */
	private apply(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			const upstream = parseKey(part, key);
			if (upstream === undefined) {
				continue;
			}

			const requestsPerSecond = change.kind === 'written' ? decodeLimit(change.row.value) : undefined;
			if (this.named.limitOf(upstream) !== requestsPerSecond && this.named.set(upstream, requestsPerSecond, this.options.clock.now())) {
				this.onChange(upstream, 'daemon');
			}
		}
	}
}

function keyOf({bornAt}: UpstreamRun): string {
	return `${keyPrefix}${bornAt}`;
}

function parseKey(part: string, key: string): UpstreamRun | undefined {
	const bornAt = key.startsWith(keyPrefix) ? Number(key.slice(keyPrefix.length)) : Number.NaN;
	return Number.isFinite(bornAt) ? {id: part as UpstreamId, bornAt} : undefined;
}

/** Returns undefined if the value is not a limit. */
function decodeLimit(value: Uint8Array): number | undefined {
	const [requestsPerSecond] = decodeList(value) ?? [];
	return typeof requestsPerSecond === 'number' ? requestsPerSecond : undefined;
}
