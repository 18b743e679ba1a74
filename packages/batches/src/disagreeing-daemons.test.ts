import {setTimeout as sleep} from 'node:timers/promises';
import {UpstreamDirectory} from '@cicadapost/fleet';
import {MemoryRowStore} from '@cicadapost/store/testing';
import type {
	BatchId, DaemonIncarnation, ItemId, ModelId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';

const eventMs = 5;
/** Enough events for a daemon to know the pace of its engine. */
const events = 250;

/** Engines of the same pace. */
class SteadyEngines extends EngineClient {
	override run({resumeAfter}: SampleCall, handlers: SampleHandlers): SampleRun {
		let id = (resumeAfter ?? -1) + 1;
		handlers.onStart(1);
		const timer = setInterval(() => {
			handlers.onEvent({id, data: `event ${id}`, version: undefined});
			id += 1;
			if (id >= events) {
				clearInterval(timer);
				handlers.onEnd({kind: 'complete'});
			}
		}, eventMs);
		return {
			abort() {
				clearInterval(timer);
			},
		};
	}
}

describe('two daemons that each take the engine of the other for the faster one', () => {
	it('run a long sample soon, and do not leave it to each other for ever', async () => {
		const store = new MemoryRowStore({now: () => performance.now()});
		const directory = new UpstreamDirectory();
		const client = new SteadyEngines();
		for (const id of ['e1', 'e2']) {
			directory.upsert(engineRecord(id, {slots: 4}));
		}

		const daemons = ['e1', 'e2'].map((owned, index) => new BatchDaemon({
			store, client, directory, incarnation: `d${index}#1` as DaemonIncarnation,
			ownedEngines: () => directory.all().filter(({id}) => id === owned),
			remoteEventMs: () => eventMs / 4,
		}));
		const {service} = daemons[0]!;
		const play = async (batch: BatchId, {expectedTokens, items, waitMs}: Readonly<{expectedTokens: number; items: number; waitMs: number}>) => {
			const submission = {
				id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: items,
				items: Array.from({length: items}, (_, index) => ({
					id: `${batch}-${index}` as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: `g${index}`, expectedTokens,
				})),
			};
			for (let isAccepted = false; !isAccepted;) {
				const outcome = await service.submit(submission);
				isAccepted = outcome.kind === 'accepted';
				await sleep(20);
			}

			const until = performance.now() + waitMs;
			let listed = 0;
			while (listed < items && performance.now() < until) {
				await sleep(50);
				const read = await service.results(batch, {after: 0, waitMs: 0, signal: new AbortController().signal});
				listed = read.kind === 'page' ? read.page.results.length : listed;
			}

			return listed;
		};

		try {
			expect(await play('measured' as BatchId, {expectedTokens: 10, items: 8, waitMs: 10_000})).toBe(8);
			// Each daemon then knows that the engines are free.
			await sleep(500);
			expect(await play('long' as BatchId, {expectedTokens: 1000, items: 2, waitMs: 10_000})).toBe(2);
		} finally {
			for (const daemon of daemons) {
				daemon.stop();
			}
		}
	}, 30_000);
});
