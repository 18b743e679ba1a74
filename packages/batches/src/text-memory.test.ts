import {ByteMeter} from '@cicadapost/byte-budget';
import type {
	BatchId, DataCentreId, ItemId, Millis, ServiceId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRun, type ActiveRun} from './sample-run.js';
import {TextMemory} from './text-memory.js';

const limit = 100_000;

function runOf(item: number, events: readonly string[] = []): ActiveRun {
	return createRun({
		engine: {
			id: 'e1' as UpstreamId, service: 'lm' as ServiceId, address: '', dataCentre: 'dc' as DataCentreId, slots: 4, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
			warmUpMs: 0, models: new Map(), bornAt: 1,
		},
		target: {batch: 'b' as BatchId, group: 0, items: [item]},
		item,
		body: {
			id: `i${item}` as ItemId, path: '/', headers: [], body: new Uint8Array(),
		},
		failures: 0,
		text: {
			events, lastEventId: events.length - 1, versions: [], softwareVersion: undefined,
		},
		isLong: false,
		expectedTokens: 1,
	}, 0);
}

function createMemory() {
	const meter = new ByteMeter(limit);
	const ended: ActiveRun[] = [];
	const memory = new TextMemory({
		meter,
		onFull(run) {
			run.isOver = true;
			ended.push(run);
			memory.release(run);
		},
	});
	/** Bytes that still fit. */
	const left = () => {
		let bytes = 0;
		while (meter.tryAdd(1000)) {
			bytes += 1000;
		}

		meter.remove(bytes);
		return bytes;
	};

	return {memory, ended, left};
}

describe('TextMemory', () => {
	it('ends the run with the longest text when there is no memory, and none that an engine fills slowly', () => {
		const {memory, ended} = createMemory();
		const [faulty, other] = [runOf(0), runOf(1)];
		memory.addEvent(other, 'x'.repeat(10_000));
		for (let event = 0; event < 1000 && !faulty.isOver; event++) {
			memory.addEvent(faulty, 'x'.repeat(1000));
		}

		expect(ended).toEqual([faulty]);
		memory.addEvent(other, 'x'.repeat(50_000));
		expect(other.isOver).toBe(false);
	});

	it('counts events without data, bytes between two events and the text that a run continues', () => {
		const {memory, ended, left} = createMemory();
		const run = runOf(0, ['x'.repeat(30_000)]);
		memory.start(run);
		memory.setPending(run, 20_000);
		expect(left()).toBeLessThan(50_000);
		memory.addEvent(run, '');
		expect(left()).toBeGreaterThan(65_000);
		for (let event = 0; event < 2000; event++) {
			memory.addEvent(run, '');
		}

		expect(ended).toEqual([run]);
		expect(left()).toBe(limit);
	});

	it('ends a text that is longer than any valid one, also where nothing else is limited', () => {
		const ended: ActiveRun[] = [];
		const memory = new TextMemory({
			onFull(run) {
				ended.push(run);
			},
		});
		const run = runOf(0);
		memory.addEvent(run, 'x'.repeat(7_000_000));
		expect(ended).toEqual([]);
		memory.addEvent(run, 'x'.repeat(2_000_000));
		expect(ended).toEqual([run]);
	});

	it('never counts more than the limit and forgets what has ended, whatever arrives', () => {
		const step = fc.tuple(fc.nat(4), fc.constantFrom('event', 'pending', 'end'), fc.nat(40_000));
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const {memory, left} = createMemory();
			const runs = Array.from({length: 5}, (_, item) => runOf(item));
			for (const [index, kind, bytes] of steps) {
				const run = runs[index]!;
				if (kind === 'end') {
					run.isOver = true;
					memory.release(run);
				} else if (!run.isOver && kind === 'event') {
					memory.addEvent(run, 'x'.repeat(bytes));
				} else if (!run.isOver) {
					memory.setPending(run, bytes);
				}
			}

			for (const run of runs) {
				memory.release(run);
			}

			return left() === limit;
		}), {seed: 20_261_207, numRuns: 200});
	});
});
