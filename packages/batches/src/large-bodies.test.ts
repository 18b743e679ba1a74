import {UpstreamDirectory} from '@cicadapost/fleet';
import {
	chunksOf, encodeList, splitValue, type ReadOutcome, type RowRange,
} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import type {BatchId, ItemId, ModelId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import type {BatchItem} from './batch.js';
import {bodyTable, decodeBodies, encodeGroupBodies} from './encode-rows.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {readBodies} from './read-items.js';

const batch = 'b1' as BatchId;
const bodyBytes = 200_000;
const groupSize = 16;

/** Counts the bytes of bodies that it returns. */
class CountingStore extends MemoryRowStore {
	bodyBytesRead = 0;

	override async read(range: RowRange): Promise<ReadOutcome> {
		const outcome = await super.read(range);
		if (range.table === bodyTable && outcome.kind === 'rows') {
			this.bodyBytesRead += outcome.rows.reduce((sum, {value}) => sum + value.length, 0);
		}

		return outcome;
	}
}

class QuickEngines extends EngineClient {
	readonly bodies = new Map<string, Uint8Array>();

	override run({item, body}: SampleCall, handlers: SampleHandlers): SampleRun {
		this.bodies.set(item, body);
		const timer = setTimeout(() => {
			handlers.onStart(1);
			handlers.onEvent({id: 0, data: 'text', version: undefined});
			handlers.onEnd({kind: 'complete'});
		}, 5);
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

const itemOf = (index: number, bytes = bodyBytes): BatchItem => ({
	id: `i${index}` as ItemId, path: '/p/', headers: [], body: Buffer.alloc(bytes, index), tokens: 10, group: 'g0', expectedTokens: 10,
});
const items = Array.from({length: groupSize}, (_, index) => itemOf(index));

describe('a group with large bodies', () => {
	let store: CountingStore;
	let client: QuickEngines;
	let daemon: BatchDaemon;

	beforeEach(async () => {
		store = new CountingStore({now: () => performance.now()});
		client = new QuickEngines();
		const directory = new UpstreamDirectory();
		directory.upsert(engineRecord('e1', {slots: 1}));
		daemon = new BatchDaemon({store, client, directory});
		await expect.poll(() => daemon.follower.connectedFor(daemon.clock.now())).toBeGreaterThan(0);
		expect(await daemon.service.submit({
			id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: 1, items,
		})).toMatchObject({kind: 'accepted'});
	});

	afterEach(() => {
		daemon.stop();
	});

	it('is read item by item, so that a daemon holds no more than the bodies that it runs', async () => {
		await expect.poll(() => client.bodies.size, {timeout: 10_000}).toBe(groupSize);
		expect([...client.bodies].every(([id, body]) => body.length === bodyBytes && body[0] === Number(id.slice(1)))).toBe(true);
		// The body of each item, and one row of the group for each claim.
		expect(store.bodyBytesRead).toBeLessThan(groupSize * bodyBytes * 1.5);
	}, 20_000);

	it('gives the body of an item without reading the others', async () => {
		await expect.poll(() => client.bodies.size, {timeout: 10_000}).toBe(groupSize);
		store.bodyBytesRead = 0;
		const outcome = await daemon.service.body(batch, 'i7' as ItemId);
		expect(outcome.kind === 'body' && Buffer.from(outcome.body).equals(Buffer.alloc(bodyBytes, 7))).toBe(true);
		expect(store.bodyBytesRead).toBeLessThan(bodyBytes * 1.5);
	}, 20_000);

	it('can be read as a whole, as earlier builds do', () => {
		const rows = store.all().filter(({table}) => table === bodyTable).sort((a, b) => (a.key < b.key ? -1 : 1));
		expect(decodeBodies(rows).map(({id}) => id)).toEqual(items.map(({id}) => id));
	});
});

describe('the bodies of a group', () => {
	const read = async (store: MemoryRowStore) => readBodies({
		store, onUnreadableRow(err) {
			throw err;
		},
	}, {batch, group: 0, items: [3]});

	it('are stored together if they are small', async () => {
		const store = new MemoryRowStore();
		const rows = [...encodeGroupBodies(items.map((_, index) => itemOf(index, 2000)), 0)];
		expect(rows.every(({key}) => key.split('/').length === 2)).toBe(true);
		await store.transact({part: batch, writes: rows.map(row => ({...row, table: bodyTable}))});
		const bodies = await read(store);
		expect(bodies?.map(({id}) => id)).toEqual(items.map(({id}) => id));
	});

	it.each([100, 20_000, bodyBytes])('are read as earlier builds have written them, with %d bytes each', async bytes => {
		const store = new MemoryRowStore();
		const group = items.map((_, index) => itemOf(index, bytes));
		// Earlier builds stored a group as one value, whatever its size.
		const rows = splitValue('000000', encodeList(group.map(({id, path, headers, body}) => [id, path, headers, body])));
		for (const writes of chunksOf(rows.map(row => ({...row, table: bodyTable})), 10)) {
			expect(await store.transact({part: batch, writes})).toMatchObject({kind: 'committed'});
		}

		const bodies = await read(store);
		expect(bodies?.map(({id, body}) => [id, body.length, body[0]])).toEqual(group.map(({id}, index) => [id, bytes, index]));
	});
});
