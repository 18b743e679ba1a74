import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {
	ConnectionPool, Forwarder, ResponseReceiver, UpstreamHealthTracker, UpstreamProtocol, type ForwardedHeaders, type ForwardFailure, type ResponseMetadata, type Route,
} from '@cicadapost/forwarding';
import {NoStreamOrigins} from '@cicadapost/forwarding/testing';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type DataCentreId, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {CrashReports, type CrashReportsOptions} from './crash-reports.js';
import {fleetTable} from './member-rows.js';

const req = {
	method: 'POST', host: 'h', path: '/p', body: Buffer.from('body'),
};
const upstream = (id: string) => ({id: id as UpstreamId, address: '127.0.0.1:1', bornAt: 1});
const clock = new SystemClock();

let store: MemoryRowStore;
const cleanups: Array<() => void> = [];

beforeEach(() => {
	store = new MemoryRowStore({now: () => performance.now()});
});

afterEach(() => {
	for (const cleanup of cleanups.splice(0).reverse()) {
		cleanup();
	}

	vi.restoreAllMocks();
});

function startReports(options: Partial<CrashReportsOptions> = {}): CrashReports {
	const follower = new TableFollower({
		store, clock, table: fleetTable, waitMs: 20,
	});
	const reports = new CrashReports({
		clock, store, follower, isOwner: () => true, onCrash: vi.fn(), random: () => 0, ...options,
	});
	follower.start();
	cleanups.push(() => {
		follower.stop();
		reports.stop();
	});
	return reports;
}

const crashRows = () => store.all().filter(({key}) => key.startsWith('crash/'));

describe('CrashReports', () => {
	const startFleet = async (options: Partial<CrashReportsOptions> = {}) => {
		const daemons = Array.from({length: 3}, () => startReports({refusesConnections: async () => true, ...options}));
		// The clock of the store is known after the first poll.
		await sleep(60);
		return daemons;
	};

	const blockEverywhere = async (daemons: readonly CrashReports[]) => {
		for (const [index, daemon] of daemons.entries()) {
			daemon.reportPossibleCrash(req, upstream(`u${index}`));
		}

		await expect.poll(() => daemons.every(daemon => daemon.isBlocked(req)), {timeout: 2000}).toBe(true);
	};

	it('clears a request at all daemons after one response, and deletes its crashes, so that daemons of builds without responses clear it too', async () => {
		const daemons = await startFleet();
		await blockEverywhere(daemons);
		daemons[0]!.reportResponse({...req});
		expect(daemons[0]!.isBlocked(req)).toBe(false);
		await expect.poll(() => daemons.some(daemon => daemon.isBlocked(req)), {timeout: 2000}).toBe(false);
		expect(crashRows()).toEqual([]);
		// Later crashes count again.
		await blockEverywhere(daemons);
	});

	it('reports responses at a bounded rate, so that a request that runs thousands of times a second does not occupy the store', async () => {
		const daemons = await startFleet();
		daemons[0]!.reportPossibleCrash(req, upstream('u1'));
		await expect.poll(() => crashRows().length).toBe(1);
		await sleep(100);
		const transact = vi.spyOn(store, 'transact');
		for (let round = 0; round < 20; round++) {
			for (const daemon of daemons) {
				for (let count = 0; count < 100; count++) {
					daemon.reportResponse(req);
				}
			}

			await sleep(20);
		}

		expect(transact.mock.calls.length).toBeGreaterThan(0);
		expect(transact.mock.calls.length).toBeLessThanOrEqual(daemons.length);
	});

	it('reports a response after an outage of the store', async () => {
		const daemons = await startFleet();
		await blockEverywhere(daemons);
		store.fault = 'down';
		daemons[0]!.reportResponse(req);
		await sleep(100);
		expect(daemons[1]!.isBlocked(req)).toBe(true);
		store.fault = 'none';
		await expect.poll(() => daemons[1]!.isBlocked(req), {timeout: 4000}).toBe(false);
	});

	it('computes no fingerprint while no crashes are recorded', () => {
		const unread = {
			...req, get body(): Uint8Array {
				throw new Error('the body was read');
			},
		};
		const daemon = startReports();
		expect(daemon.isBlocked(unread)).toBe(false);
		daemon.reportResponse(unread);
	});

	it('deletes reports of a request that was in flight at crashes of others once it is explained', async () => {
		const [daemon] = await startFleet();
		daemon!.reportPossibleCrash(req, upstream('u1'));
		await expect.poll(() => crashRows().length).toBe(1);
		const [row] = crashRows();
		await store.transact({part: row!.part, writes: [{table: fleetTable, key: 'crash-response', value: row!.value}]});
		await expect.poll(async () => {
			await daemon!.sweep();
			return crashRows().length;
		}).toBe(0);
	});

	it('permits one daemon to send a blocked request 6 s after its third crash, and none before or without the store', async () => {
		const daemons = await startFleet();
		await blockEverywhere(daemons);
		const ask = async () => Promise.all(daemons.map(async daemon => daemon.requestProbe(req)));
		expect(await ask()).toEqual([undefined, undefined, undefined]);
		const later = performance.now() + 6100;
		vi.spyOn(performance, 'now').mockReturnValue(later);
		await sleep(60);
		store.fault = 'down';
		expect(await ask()).toEqual([false, false, false]);
		store.fault = 'none';
		vi.mocked(performance.now).mockReturnValue(later + 1100);
		await sleep(200);
		const permissions = await ask();
		expect(permissions.filter(Boolean)).toHaveLength(1);
		vi.mocked(performance.now).mockReturnValue(later + 9000);
		await sleep(60);
		expect(await ask()).toEqual([undefined, undefined, undefined]);
	});
});

const service = 'desk' as ServiceId;
const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'idempotent', services: [{service, weight: 1}], timeoutMs: 2000, targetLatencyMs: 1000, maxAttempts: 2, priority: 0,
	isResumable: false, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
};

class TestUpstreams extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders({host}: ForwardedHeaders): string[] {
		return ['Host', host];
	}

	override readMetadata(): ResponseMetadata {
		return {isSigned: true, didNotRun: false};
	}

	override responseHeaders(): string[] {
		return [];
	}
}

class OutcomeReceiver extends ResponseReceiver {
	override readonly data = vi.fn<() => void>();

	constructor(private readonly onOutcome: (outcome: number | ForwardFailure['kind']) => void) {
		super();
	}

	override head(status: number): void {
		this.onOutcome(status);
	}

	override end(): void {
		// The status is enough.
	}

	override truncate(): void {
		this.onOutcome('failed');
	}

	override fail({kind}: ForwardFailure): void {
		this.onOutcome(kind);
	}
}

/** An upstream that can crash and come back at the same address. A request for `/crash` crashes it. */
class TestUpstream {
	crashes = 0;
	private server: Server | undefined;
	private port = 0;
	private onNext: (() => void) | undefined;

	constructor(readonly id: string, private readonly directory: UpstreamDirectory, private readonly respond: (res: ServerResponse) => void) {}

	async start(): Promise<void> {
		this.server = createServer((request, res) => {
			request.resume();
			if (request.url === '/crash') {
				this.crash();
			} else {
				setTimeout(this.respond, 30, res);
				this.onNext?.();
				this.onNext = undefined;
			}
		});
		await new Promise<void>(resolve => {
			this.server?.listen(this.port, '127.0.0.1', resolve);
		});
		this.port = (this.server.address() as AddressInfo).port;
		const record: UpstreamRecord = {
			id: this.id as UpstreamId, service, address: `127.0.0.1:${this.port}`, dataCentre: 'dc' as DataCentreId, slots: 6, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
			warmUpMs: 0, models: new Map(), bornAt: this.crashes,
		};
		this.directory.upsert(record);
	}

	/** Crashes while the next request is in flight. */
	async crashAtNext(): Promise<void> {
		await new Promise<void>(resolve => {
			this.onNext = resolve;
		});
		this.crash();
	}

	crash(): void {
		this.crashes += 1;
		this.server?.close();
		this.server?.closeAllConnections();
	}
}

describe('requests at daemons that share reports of crashes', () => {
	const start = async (respond: (res: ServerResponse) => void = res => res.end('answer')) => {
		const directory = new UpstreamDirectory();
		const upstreams = Array.from({length: 6}, (_, index) => new TestUpstream(`u${index}`, directory, respond));
		for (const one of upstreams) {
			await one.start();
			cleanups.push(() => {
				one.crash();
			});
		}

		const forwarders = Array.from({length: 2}, () => {
			const pool = new ConnectionPool();
			cleanups.push(() => {
				pool.close();
			});
			return new Forwarder({
				clock, directory, pool, health: new UpstreamHealthTracker(), protocol: new TestUpstreams(), crashes: startReports(), limits: new UnlimitedRequests(),
				streams: new NoStreamOrigins(), dataCentre: 'dc' as DataCentreId, random: Math.random, onRequestReport: vi.fn(),
			});
		});
		await sleep(60);
		let sent = 0;
		const send = async (path: string) => new Promise<number | string>(resolve => {
			sent += 1;
			forwarders[sent % 2]!.forward({
				...req, path, requestId: `r${sent}` as RequestId, headers: [], route, deadlineAt: clock.now() + 1500,
			}, new OutcomeReceiver(resolve));
		});
		return {upstreams, send};
	};

	it('are served after crashes by chance if they run often', async () => {
		const {upstreams, send} = await start();
		const outcomes: Array<Promise<number | string>> = [];
		const timer = setInterval(() => {
			outcomes.push(send('/shared'));
		}, 5);
		cleanups.push(() => {
			clearInterval(timer);
		});
		for (const one of upstreams.slice(0, 3)) {
			await one.crashAtNext();
			await sleep(400);
			await one.start();
			await sleep(150);
		}

		await sleep(300);
		clearInterval(timer);
		const last = await Promise.all(outcomes.slice(-50));
		expect(new Set(last)).toEqual(new Set([200]));
	});

	it('are cleared only by responses with a length or chunks, since others also end with a crash', async () => {
		const responses = vi.spyOn(CrashReports.prototype, 'reportResponse');
		const chunked = await start();
		expect(await chunked.send('/shared')).toBe(200);
		await expect.poll(() => responses.mock.calls.length).toBe(1);
		const unframed = await start(res => {
			res.socket?.end('HTTP/1.1 200 OK\r\n\r\nanswer');
		});
		expect(await unframed.send('/shared')).toBe(200);
		expect(await unframed.send('/shared')).toBe(200);
		expect(responses.mock.calls).toHaveLength(1);
	});

	it('reach no upstream after the third if they crash each one, while others are served', async () => {
		const {upstreams, send} = await start();
		const timer = setInterval(() => {
			void send('/shared');
		}, 10);
		cleanups.push(() => {
			clearInterval(timer);
		});
		const crashed = () => upstreams.reduce((sum, one) => sum + one.crashes, 0);
		while (crashed() < 3) {
			expect(await send('/crash')).toBe('failed');
			await sleep(100);
		}

		await sleep(700);
		const before = crashed();
		for (let count = 0; count < 40; count++) {
			expect(await send('/crash')).toBe('failed');
		}

		expect(before).toBeLessThanOrEqual(4);
		expect(crashed()).toBe(before);
		expect(await send('/shared')).toBe(200);
	});
});
