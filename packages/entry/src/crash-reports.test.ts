import {createServer} from 'node:net';
import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {SystemClock, type UpstreamId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {CrashReports} from './crash-reports.js';
import {fleetTable} from './member-rows.js';

const req = {
	method: 'POST', host: 'h', path: '/p', body: Buffer.from('body'),
};
const upstream = (id: string, address = '127.0.0.1:1') => ({id: id as UpstreamId, address, bornAt: 1});

let store: MemoryRowStore;
const open: Array<Readonly<{stop: () => void}>> = [];

function startDaemon(refusesConnections?: (address: string) => Promise<boolean>, reachesAnother?: () => Promise<boolean>): CrashReports {
	const clock = new SystemClock();
	const follower = new TableFollower({
		store, clock, table: fleetTable, waitMs: 20,
	});
	const reports = new CrashReports({
		clock,
		store,
		follower,
		isOwner: () => true,
		onCrash() {
			// Not checked by these tests.
		},
		...(refusesConnections === undefined ? {} : {refusesConnections}),
		...(reachesAnother === undefined ? {} : {reachesAnother}),
	});
	follower.start();
	open.push(follower, reports);
	return reports;
}

beforeEach(() => {
	store = new MemoryRowStore();
});

afterEach(() => {
	for (const task of open.splice(0)) {
		task.stop();
	}

	vi.restoreAllMocks();
});

describe('CrashReports', () => {
	it('accumulates the reports of several daemons, so that a request sent to each of them in turn is blocked everywhere', async () => {
		const daemons = [startDaemon(async () => true), startDaemon(async () => true), startDaemon(async () => true), startDaemon()];
		for (const [index, daemon] of daemons.slice(0, 3).entries()) {
			expect(daemon.isBlocked(req)).toBe(false);
			daemon.reportPossibleCrash(req, upstream(`u${index}`));
		}

		await expect.poll(() => daemons.every(daemon => daemon.isBlocked(req)), {timeout: 2000}).toBe(true);
		expect(daemons[3]!.isBlocked({...req, path: '/other'})).toBe(false);
	});

	it('does not blame a request for refused connections while this daemon reaches no upstream at all', async () => {
		const partitioned = startDaemon(async () => true, async () => false);
		const linked = startDaemon(async () => true, async () => true);
		for (const id of ['u1', 'u2', 'u3']) {
			partitioned.reportPossibleCrash(req, upstream(id));
			linked.reportPossibleCrash({...req, path: '/other'}, upstream(id));
		}

		await expect.poll(() => partitioned.isBlocked({...req, path: '/other'}), {timeout: 2000}).toBe(true);
		expect(partitioned.isBlocked(req)).toBe(false);
	});

	it('does not report an upstream that still listens, so that connection resets do not block a request', async () => {
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as {port: number};
		const daemon = startDaemon();
		for (const id of ['u1', 'u2', 'u3']) {
			daemon.reportPossibleCrash(req, upstream(id, `127.0.0.1:${port}`));
		}

		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
		expect(daemon.isBlocked(req)).toBe(false);
		await new Promise(resolve => {
			server.close(resolve);
		});
		for (const id of ['u1', 'u2', 'u3']) {
			daemon.reportPossibleCrash(req, upstream(id, `127.0.0.1:${port}`));
		}

		await expect.poll(() => daemon.isBlocked(req)).toBe(true);
	});

	it('delivers reports to the other daemons after an outage of the store', async () => {
		const [first, second] = [startDaemon(async () => true), startDaemon()];
		store.fault = 'down';
		for (const id of ['u1', 'u2', 'u3']) {
			first.reportPossibleCrash(req, upstream(id));
		}

		await expect.poll(() => first.isBlocked(req)).toBe(true);
		expect(second.isBlocked(req)).toBe(false);
		store.fault = 'none';
		await expect.poll(() => second.isBlocked(req), {timeout: 4000}).toBe(true);
	});

	it('deletes expired reports, so that the request may run again on fixed upstreams', async () => {
		const daemon = startDaemon(async () => true);
		for (const id of ['u1', 'u2', 'u3']) {
			daemon.reportPossibleCrash(req, upstream(id));
		}

		await expect.poll(() => store.all().length, {timeout: 2000}).toBe(3);
		await daemon.sweep();
		expect(store.all()).toHaveLength(3);
		const sixteenMinutesLater = performance.now() + (16 * 60_000);
		vi.spyOn(performance, 'now').mockReturnValue(sixteenMinutesLater);
		await expect.poll(async () => {
			await daemon.sweep();
			return store.all().length;
		}, {timeout: 2000}).toBe(0);
		vi.restoreAllMocks();
		await expect.poll(() => daemon.isBlocked(req), {timeout: 2000}).toBe(false);
	});
});
