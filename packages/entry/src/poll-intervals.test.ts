import {batchFeedPause, maxCopyAgeMs} from '@cicadapost/batches';
import {defaultPollWaitMs} from '@cicadapost/store';
import {describe, expect, it} from 'vitest';
import {maxStoreSilenceMs} from './entry-daemon.js';
import {idleFleetCoalesceMs} from './table-followers.js';

/** Duration of a call to a slow store. */
const slowCallMs = 240;

/** Age of a copy just before a poll returns: the poll before it returned changes at the end of its wait, and a pause followed. */
const maxAge = (pauseMs: number) => (2 * (defaultPollWaitMs + slowCallMs)) + pauseMs;

describe('the age of a copy between two polls of a slow store', () => {
	it('never makes a daemon report itself as not ready', () => {
		const idle = batchFeedPause({ownsEngines: false, running: 0, waiting: 0});
		expect(maxAge(Math.max(idle, idleFleetCoalesceMs))).toBeLessThan(maxStoreSilenceMs);
	});

	it('never keeps a daemon with engines from claiming the samples that a poll has just returned', () => {
		expect(maxAge(batchFeedPause({ownsEngines: true, running: 0, waiting: 0}))).toBeLessThan(maxCopyAgeMs);
	});
});
