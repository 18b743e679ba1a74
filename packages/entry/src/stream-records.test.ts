import {VersionHistory, type UpstreamRecord} from '@cicadapost/fleet';
import type {StreamOrigin} from '@cicadapost/forwarding';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type DataCentreId, type Millis, type RequestId, type ServiceId, type SoftwareVersion,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {StreamRecords, streamTable} from './stream-records.js';

const stream = 'r1' as RequestId;
const origin: StreamOrigin = {service: 'lm' as ServiceId, softwareVersion: 'v1' as SoftwareVersion};
const [west, east] = ['west', 'east'] as DataCentreId[] as [DataCentreId, DataCentreId];

describe('StreamRecords', () => {
	const open: StreamRecords[] = [];
	let store: MemoryRowStore;
	let storeTime: Millis;
	let versions: VersionHistory;
	let listed: SoftwareVersion[] | undefined;
	let isContinuous: boolean;

	beforeEach(() => {
		store = new MemoryRowStore();
		storeTime = 1000;
		versions = new VersionHistory();
		listed = undefined;
		isContinuous = true;
	});

	afterEach(() => {
		for (const records of open.splice(0)) {
			records.stop();
		}
	});

	const startDaemon = (dataCentre: DataCentreId) => {
		const clock = new SystemClock();
		const records = new StreamRecords({
			clock,
			store,
			storeTime: () => storeTime,
			dataCentre,
			dataCentres: [west, east],
			daemons: () => 3,
			versions,
			isListContinuous: () => isContinuous,
			readVersions: async () => listed,
			isOwner: () => true,
			onDropped: vi.fn(),
		});
		open.push(records);
		return records;
	};

	it('tells daemons of all data centres where a stream began, also after its daemon has died', async () => {
		const first = startDaemon(west);
		first.record(stream, origin);
		expect(await first.originOf(stream)).toEqual(origin);
		await expect.poll(() => store.all().length, {timeout: 2000}).toBe(1);
		first.stop();
		expect(await startDaemon(west).originOf(stream)).toEqual(origin);
		expect(await startDaemon(east).originOf(stream)).toEqual(origin);
	});

	describe('a stream without a record, at a daemon that has known one version for a minute', () => {
		const v1 = origin.softwareVersion;

		beforeEach(() => {
			versions.restart(-60_000);
			versions.update([{service: origin.service, softwareVersion: v1} as UpstreamRecord], -60_000);
		});

		it('is of that version if the store lists no other one', async () => {
			listed = [v1, v1];
			expect(await startDaemon(west).onlyVersion(origin.service)).toBe(v1);
		});

		it('is of no known version if an upstream of another one has just joined, so that no text is joined from two versions', async () => {
			listed = [v1, 'v2' as SoftwareVersion];
			expect(await startDaemon(west).onlyVersion(origin.service)).toBeUndefined();
		});

		it('is of no known version if an upstream of another one may have come and gone while the daemon stood still', async () => {
			listed = [v1, v1];
			isContinuous = false;
			expect(await startDaemon(west).onlyVersion(origin.service)).toBeUndefined();
		});

		it('is of no known version while the store does not respond', async () => {
			expect(await startDaemon(west).onlyVersion(origin.service)).toBeUndefined();
		});
	});

	it('writes records after an outage of the store, and finds nothing meanwhile', async () => {
		store.fault = 'down';
		startDaemon(west).record(stream, origin);
		const other = startDaemon(east);
		expect(await other.originOf(stream)).toBeUndefined();
		store.fault = 'none';
		await expect.poll(async () => other.originOf(stream), {timeout: 5000}).toEqual(origin);
	});

	it('writes the records of many streams in few transactions', async () => {
		const records = startDaemon(west);
		const transact = vi.spyOn(store, 'transact');
		for (let index = 0; index < 200; index++) {
			records.record(`s${index}` as RequestId, origin);
		}

		await expect.poll(() => store.all().length, {timeout: 5000}).toBe(200);
		expect(transact.mock.calls.length).toBeLessThanOrEqual(3);
	});

	it('deletes records that no caller uses any more', async () => {
		const records = startDaemon(west);
		records.record(stream, origin);
		await expect.poll(() => store.all().length, {timeout: 2000}).toBe(1);
		await records.sweep();
		expect(store.all()).toHaveLength(1);
		storeTime += 11 * 60_000;
		await records.sweep();
		expect(store.all().filter(row => row.table === streamTable)).toEqual([]);
	});
});
