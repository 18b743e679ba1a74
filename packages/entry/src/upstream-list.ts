import type {UpstreamDirectory, UpstreamRecord, UpstreamStart} from '@cicadapost/fleet';
import {
	statesLeaving, type ConnectionPool, type ResponseHead, type UpstreamHealthTracker, type UpstreamProtocol,
} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import {
	readAll, type RowChange, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, ServiceId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import type {PlatformTables} from './platform-tables.js';

export type UpstreamListOptions = Readonly<{
	clock: Clock;
	logger: Logger;
	tables: PlatformTables;
	/** Follows the platform's table of upstreams. */
	follower: TableFollower;
	directory: UpstreamDirectory;
	pool: ConnectionPool;
	protocol: UpstreamProtocol;
	health: UpstreamHealthTracker;
	/** Called after upstreams have appeared, changed or left. */
	onChanged: () => void;
	/** Called after entries have expired. */
	onExpired: () => void;
}>;

/** Interval for removing entries that have not reappeared after an outage of the store. It is that of the other background tasks, so that one wake-up serves all. */
const expiryIntervalMs = 400;

/** Keeps the directory of upstreams in line with the platform's list. */
export class UpstreamList {
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: UpstreamListOptions) {
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
		options.pool.on('response', (upstream, head) => {
			this.recordResponse(upstream, head);
		});
		this.timer = setInterval(() => {
			this.expire();
		}, expiryIntervalMs);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Stops sending work to an upstream that states in a response that it leaves. */
	recordResponse({id, bornAt}: UpstreamStart, head: ResponseHead): void {
		const {logger, protocol, directory, pool, onChanged} = this.options;
		if (!statesLeaving(protocol.readMetadata(head), head.status)) {
			return;
		}

		const listed = directory.get(id)?.state;
		if (!directory.recordLeaving({id, bornAt})) {
			return;
		}

		logger.info({event: 'upstream-leaving', upstream: id, listed}, 'the upstream states that it leaves');
		pool.closeIdle(id);
		onChanged();
	}

	private apply(changes: readonly RowChange[]): void {
		const {clock, logger, follower, directory, pool} = this.options;
		const now = clock.now();
		let hasChanges = false;
		for (const change of changes) {
			const id = (change.kind === 'written' ? change.row.key : change.key.key) as UpstreamId;
			const before = directory.get(id);
			if (!this.applyOne(change, id)) {
				continue;
			}

			hasChanges = true;
			const after = directory.get(id);
			if (before?.state !== after?.state || before?.bornAt !== after?.bornAt) {
				logger.info({
					event: 'upstream', upstream: id, before: before?.state, after: after?.state, storeConnectedMs: Math.round(follower.connectedFor(now)),
				}, 'upstream changed');
			}

			if (after?.state !== 'ready') {
				pool.closeIdle(id);
			}
		}

		if (hasChanges) {
			this.options.onChanged();
		}
	}

	/** Returns false if a heartbeat of the upstream has changed nothing else. */
	private applyOne(change: RowChange, id: UpstreamId): boolean {
		const {clock, tables, follower, directory} = this.options;
		const now = clock.now();
		if (change.kind === 'deleted') {
			directory.remove(id, {connectedForMs: follower.connectedFor(now)}, now);
			return true;
		}

		const record: UpstreamRecord | undefined = tables.parseUpstreamRow(change.row);
		if (record === undefined) {
			directory.discard(id);
			return true;
		}

		return directory.upsert(record);
	}

	private expire(): void {
		const {clock, logger, directory, pool, health, onExpired} = this.options;
		const expired = directory.expire(clock.now());
		for (const record of expired) {
			logger.info({
				event: 'upstream', upstream: record.id, before: record.state, after: undefined,
			}, 'upstream expired');
			pool.closeIdle(record.id);
			health.forget(record.id);
		}

		if (expired.length > 0) {
			onExpired();
		}
	}
}

/** Reads from the store which software versions of a service are listed now. Returns undefined if the store does not respond. */
export async function readListedVersions(store: RowStore, tables: PlatformTables, service: ServiceId): Promise<readonly SoftwareVersion[] | undefined> {
	const rows = await readAll(store, {table: tables.upstreamTable, part: ''});
	return rows?.map(row => tables.parseUpstreamRow(row))
		.filter(upstream => upstream?.service === service)
		.flatMap(upstream => (upstream === undefined ? [] : [upstream.softwareVersion]));
}
