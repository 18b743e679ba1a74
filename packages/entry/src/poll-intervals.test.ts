import {batchFeedPause, maxCopyAgeMs} from '@cicadapost/batches';
import {defaultPollWaitMs} from '@cicadapost/store';
import {describe, expect, it} from 'vitest';
import {maxStoreSilenceMs} from './entry-daemon.js';
import {operatorPollWait} from './table-followers.js';

/** Duration of a call to a slow store. */
const slowCallMs = 240;

describe('polls of a slow store', () => {
	it('never make a daemon report itself as not ready', () => {
		// Pauses between polls don't count, see follow-table.test.ts.
		expect(2 * (defaultPollWaitMs + slowCallMs)).toBeLessThan(maxStoreSilenceMs);
	});

	it('never end the acceptance of keys before the store has been away for the served share of the bound', () => {
		for (const revocationMs of [4000, 5000, 8000]) {
			// Age of the copy just before a poll returns, and then the outage.
			expect((2 * (operatorPollWait(revocationMs) + slowCallMs)) + (0.6 * revocationMs)).toBeLessThan(revocationMs);
		}

		expect(operatorPollWait(undefined)).toBe(operatorPollWait(60_000));
	});

	it('never keep a daemon with engines from claiming the samples that a poll has just returned', () => {
		const pauseMs = batchFeedPause({
			ownsEngines: true, isStandby: false, running: 0, waiting: 0,
		});
		// Age of the copy just before a poll returns: the poll before it returned changes at the end of its wait, and a pause followed.
		expect((2 * (defaultPollWaitMs + slowCallMs)) + pauseMs).toBeLessThan(maxCopyAgeMs);
	});
});

describe('batchFeedPause', () => {
	it('lets only standbys without work wait long, so that a trainer never waits for the poll of a standby', () => {
		const idle = {
			ownsEngines: false, isStandby: true, running: 0, waiting: 0,
		};
		const busy = [{...idle, waiting: 1}, {...idle, running: 1}, {...idle, ownsEngines: true}].map(demand => batchFeedPause(demand));
		expect(new Set(busy).size).toBe(1);
		expect(busy[0]).toBeLessThan(100);
		expect(batchFeedPause(idle)).toBeGreaterThan(batchFeedPause({...idle, isStandby: false}));
	});
});
