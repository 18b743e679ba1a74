import type {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type BatchId, type ItemId, type ModelId, type TeamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {BatchCache} from './batch-cache.js';
import {BatchService} from './batch-service.js';
import type {BatchSubmission} from './batch.js';

const id = 'b1' as BatchId;

/** Large bodies, which need several transactions. */
const submissionOf = (team: string, text: string): BatchSubmission => ({
	id, host: 'h', path: '/p/', step: 1, model: 'm' as ModelId, minVersion: 1, targetGroups: 3, team: team as TeamId,
	items: ['i0', 'i1', 'i2'].map(item => ({
		id: item as ItemId, path: '/p/', headers: [], body: Buffer.alloc(500_000, text), tokens: 1, group: item, expectedTokens: 1,
	})),
});

describe('a submission with the id of another team\'s batch, at a daemon that does not know the batch yet', () => {
	it('is turned away and leaves the batch as it is, and one of the same team is a repeat', async () => {
		const store = new MemoryRowStore();
		const daemon = () => {
			const batchCache = new BatchCache();
			const follower = {
				connectedFor: () => 1,
				mergeRows(rows: Parameters<TableFollower['mergeRows']>[0]) {
					batchCache.apply(rows.map(row => ({kind: 'written', row})));
				},
			};
			return new BatchService({
				clock: new SystemClock(), store, follower: follower as unknown as TableFollower, batchCache, storeTime: () => 0,
			});
		};

		expect(await daemon().submit(submissionOf('red', 'a'))).toEqual({kind: 'accepted', isRepeated: false});
		expect(await daemon().submit(submissionOf('blue', 'b'))).toEqual({kind: 'taken'});
		const reads = await Promise.all(['red', 'blue'].map(async team => daemon().body(id, 'i0' as ItemId, {kind: 'team', team: team as TeamId})));
		expect(reads.map(read => (read.kind === 'body' ? Buffer.from(read.body.subarray(0, 1)).toString() : read.kind))).toEqual(['a', 'not-found']);
		expect(await daemon().submit(submissionOf('red', 'a'))).toEqual({kind: 'accepted', isRepeated: true});
	});
});
