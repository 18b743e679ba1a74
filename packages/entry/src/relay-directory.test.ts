import {
	TableFollower, type Transaction, type TransactionOutcome,
} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {SystemClock, type DaemonId, type DaemonIncarnation} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {fleetTable} from './member-rows.js';
import {RelayDirectory} from './relay-directory.js';
import {decodeRelayRecord} from './relay-rows.js';

/** Applies the next transaction only when told to, and does not respond to it. */
class LateStore extends MemoryRowStore {
	isLate = false;
	applyLate: (() => Promise<unknown>) | undefined;

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		if (!this.isLate) {
			return super.transact(transaction);
		}

		this.isLate = false;
		this.applyLate = async () => super.transact(transaction);
		return {kind: 'unknown'};
	}
}

describe('RelayDirectory', () => {
	let store: LateStore;
	let follower: TableFollower;
	let directory: RelayDirectory;

	beforeEach(() => {
		store = new LateStore();
		follower = new TableFollower({
			store, clock: new SystemClock(), table: fleetTable, waitMs: 20,
		});
		directory = new RelayDirectory({
			store, follower, self: {daemon: 'd1' as DaemonId, incarnation: 'd1#1' as DaemonIncarnation}, address: '10.0.0.1:7000', onChanged: vi.fn(),
		});
		follower.start();
	});

	afterEach(() => {
		directory.stop();
		follower.stop();
	});

	const announced = () => {
		const [row] = store.all();
		return row === undefined ? undefined : decodeRelayRecord(row.value)?.isPartitioned;
	};

	it('announces its state again after the store has applied an old announcement late, which would keep all engines from the daemon', async () => {
		directory.start();
		await expect.poll(announced).toBe(false);
		store.isLate = true;
		directory.announce(true);
		await expect.poll(() => store.applyLate).toBeDefined();
		directory.announce(false);
		await expect.poll(() => store.all()[0]?.version).toBe(2);
		expect(await store.applyLate!()).toMatchObject({kind: 'committed', version: 3});
		await expect.poll(announced, {timeout: 2000}).toBe(false);
	});
});
