import {UpstreamDirectory} from '@cicadapost/fleet';
import type {Transaction, TransactionOutcome} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import type {BatchId, ItemId, ModelId} from '@cicadapost/types';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {batchTable, decodeClaims, groupOfKey} from './encode-rows.js';

const batch = 'b1' as BatchId;

/** Breaks the first run off at once. Further ones take longer than the retry of a commit. */
class BreakingEngines extends EngineClient {
	runs = 0;

	override run(call: SampleCall, handlers: SampleHandlers): SampleRun {
		this.runs += 1;
		const isFirst = this.runs === 1;
		const timer = setTimeout(() => {
			handlers.onStart(1);
			if (isFirst) {
				handlers.onEnd({kind: 'broken', cause: 'ECONNRESET'});
				return;
			}

			handlers.onEvent({id: 0, data: 'x', version: undefined});
			handlers.onEnd({kind: 'complete'});
		}, isFirst ? 5 : 500);
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

/** Applies the first release of a claim, and loses the response to it. */
class ForgetfulStore extends MemoryRowStore {
	hasLost = false;
	private hasClaim = false;

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		const claims = transaction.writes.filter(({table, key}) => table === batchTable && groupOfKey(key) !== undefined).flatMap(({value}) => decodeClaims(value));
		const isRelease = this.hasClaim && claims.some(({kind}) => kind === 'open');
		this.hasClaim ||= claims.some(({kind}) => kind === 'running');
		const outcome = await super.transact(transaction);
		if (this.hasLost || !isRelease) {
			return outcome;
		}

		this.hasLost = true;
		return {kind: 'unknown'};
	}
}

describe('the outcome of a run whose transaction the store does not respond to', () => {
	let daemon: BatchDaemon;

	afterEach(() => {
		daemon.stop();
	});

	it('does not end the claim of the next run of the same sample', async () => {
		const client = new BreakingEngines();
		const store = new ForgetfulStore({now: () => performance.now()});
		const directory = new UpstreamDirectory();
		directory.upsert(engineRecord('e1'));
		daemon = new BatchDaemon({store, client, directory});
		await vi.waitUntil(() => daemon.follower.isLoaded);
		await daemon.service.submit({
			id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: 1, items: [{
				id: 'i0' as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: 'g0', expectedTokens: 10,
			}],
		});
		await vi.waitUntil(async () => {
			const read = await daemon.service.results(batch, {after: 0, waitMs: 0, signal: new AbortController().signal});
			return read.kind === 'page' && read.page.results.length === 1;
		}, {timeout: 5000});
		expect(store.hasLost).toBe(true);
		expect(client.runs).toBe(2);
	});
});
