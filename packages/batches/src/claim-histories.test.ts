import {setTimeout as sleep} from 'node:timers/promises';
import {UpstreamDirectory} from '@cicadapost/fleet';
import type {Transaction, TransactionOutcome} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import type {
	BatchId, DaemonIncarnation, ItemId, ModelId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {batchTable} from './encode-rows.js';

const batch = 'b1' as BatchId;
const itemCount = 24;
const troubleMs = 1500;
/** All items are to be listed this long after the trouble has ended. */
const settleMs = 6000;
/** `HISTORIES=N` plays more of them by hand, with other seeds for each value of `SEED`. */
const histories = Number(process.env.HISTORIES ?? 12);
const firstSeed = Number(process.env.SEED ?? 20_261_205);

/** Random numbers from 0 to 1, so that a history can be played again. They repeat after some thousand. */
function randomFrom(seed: number): () => number {
	const numbers = fc.sample(fc.noBias(fc.nat(999_999)), {seed, numRuns: 4000});
	let drawn = 0;
	return () => {
		drawn += 1;
		return numbers[drawn % numbers.length]! / 1_000_000;
	};
}

/** Loses the responses to a third of the transactions on batches, and applies half of those later. */
class UnreliableStore extends MemoryRowStore {
	isInTrouble = true;

	constructor(private readonly random: () => number) {
		super({now: () => performance.now()});
	}

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		const isLost = this.isInTrouble && transaction.writes.some(({table}) => table === batchTable) && this.random() < 0.35;
		if (!isLost) {
			return super.transact(transaction);
		}

		if (this.random() < 0.5) {
			await super.transact(transaction);
		} else {
			setTimeout(() => {
				void super.transact(transaction);
			}, 100 + (this.random() * 500));
		}

		await sleep(40);
		return {kind: 'unknown'};
	}
}

/** Engines that take some tens of milliseconds for a sample and break a tenth of the runs off. */
class ShakyEngines extends EngineClient {
	constructor(private readonly random: () => number) {
		super();
	}

	override run({resumeAfter}: SampleCall, handlers: SampleHandlers): SampleRun {
		const breaks = this.random() < 0.1;
		const timer = setTimeout(() => {
			handlers.onStart(1);
			for (let id = (resumeAfter ?? -1) + 1; id < (breaks ? 1 : 3); id++) {
				handlers.onEvent({id, data: `event ${id}`, version: undefined});
			}

			handlers.onEnd(breaks ? {kind: 'broken', cause: 'ECONNRESET'} : {kind: 'complete'});
		}, 20 + (this.random() * 60));
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

/** Plays a step with three daemons whose engines change hands and leave while the store loses responses. Returns what is wrong at the end. */
async function playHistory(seed: number): Promise<string[]> {
	const random = randomFrom(seed);
	const store = new UnreliableStore(random);
	const directory = new UpstreamDirectory();
	const owners = new Map<string, string>();
	const names = ['d1#1', 'd2#1', 'd3#1'] as DaemonIncarnation[];
	for (const id of ['e1', 'e2', 'e3', 'e4']) {
		directory.upsert(engineRecord(id));
	}

	const assign = () => {
		for (const {id} of directory.all()) {
			owners.set(id, names[Math.floor(random() * names.length)]!);
		}
	};

	assign();
	const client = new ShakyEngines(random);
	const daemons = names.map(incarnation => new BatchDaemon({
		store, client, directory, incarnation,
		ownedEngines: () => directory.all().filter(({id, state}) => state === 'ready' && owners.get(id) === incarnation),
	}));
	const {service} = daemons[0]!;
	const items = Array.from({length: itemCount}, (_, index) => ({
		id: `i${index}` as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: `g${index % 4}`, expectedTokens: 10,
	}));
	const submission = {
		id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: 4, items,
	};
	const changes = setInterval(assign, 150);
	try {
		for (let accepted = false; !accepted;) {
			const outcome = await service.submit(submission);
			accepted = outcome.kind === 'accepted';
			await sleep(20);
		}

		await sleep(troubleMs / 2);
		directory.upsert(engineRecord('e1', {state: 'leaving'}));
		await sleep(troubleMs / 2);
		store.isInTrouble = false;
		clearInterval(changes);
		const until = performance.now() + settleMs;
		let results: ReadonlyArray<Readonly<{id: string; state: string; output: string}>> = [];
		while (results.length < itemCount && performance.now() < until) {
			await sleep(50);
			const read = await service.results(batch, {after: 0, waitMs: 0, signal: new AbortController().signal});
			results = read.kind === 'page' ? read.page.results : results;
		}

		const listed = new Set(results.map(({id}) => id));
		const isComplete = listed.size === itemCount && results.length === itemCount;
		const odd = results.filter(({state, output}) => state !== 'completed' || output !== 'event 0\nevent 1\nevent 2');
		return [
			...(isComplete ? [] : [`seed ${seed}: ${results.length} results with ${listed.size} ids`]),
			...odd.map(({id, state, output}) => `seed ${seed}: ${id} ${state} with ${JSON.stringify(output)}`),
		];
	} finally {
		clearInterval(changes);
		for (const daemon of daemons) {
			daemon.stop();
		}
	}
}

describe('a step while the store loses responses and engines change hands', () => {
	it('lists each sample once and whole, soon after the trouble has ended', async () => {
		const faults: string[] = [];
		for (let index = 0; index < histories; index += 6) {
			const seeds = Array.from({length: Math.min(6, histories - index)}, (_, offset) => firstSeed + index + offset);
			const played = await Promise.all(seeds.map(async seed => playHistory(seed)));
			faults.push(...played.flat());
		}

		expect(faults).toEqual([]);
	}, 60_000 + (histories * 3000));
});
