import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {
	SystemClock, type DataCentreId, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {ConnectionPool, ExchangeHandlers} from './connection-pool.js';
import {CrashGuard} from './crash-registry.js';
import {Forwarder} from './forwarder.js';
import {ResponseReceiver, type ForwardFailure} from './plain-request.js';
import type {Route} from './route.js';
import {
	resolveOrigin, StreamOrigins, type StreamContinuation, type StreamOrigin,
} from './stream-origins.js';
import {UpstreamHealthTracker} from './upstream-health.js';
import {UpstreamProtocol, type ResponseMetadata} from './upstream-protocol.js';

const lm = 'lm' as ServiceId;
const [v1, v2] = ['v1', 'v2'] as SoftwareVersion[] as [SoftwareVersion, SoftwareVersion];

describe('resolveOrigin', () => {
	const onlyV1 = async () => v1;

	it('returns the recorded origin, unless the route no longer allows its service', async () => {
		const recorded = {service: lm, softwareVersion: v2};
		expect(await resolveOrigin({recorded, services: [lm], onlyVersion: onlyV1})).toEqual(recorded);
		expect(await resolveOrigin({recorded, services: ['other' as ServiceId], onlyVersion: onlyV1})).toBeUndefined();
	});

	it('returns the only version of the only service for a stream without a record', async () => {
		expect(await resolveOrigin({recorded: undefined, services: [lm], onlyVersion: onlyV1})).toEqual({service: lm, softwareVersion: v1});
		expect(await resolveOrigin({recorded: undefined, services: [lm], onlyVersion: async () => undefined})).toBeUndefined();
		expect(await resolveOrigin({recorded: undefined, services: [lm, 'other' as ServiceId], onlyVersion: onlyV1})).toBeUndefined();
	});
});

class TestOrigins extends StreamOrigins {
	readonly recorded = new Map<RequestId, StreamOrigin>();
	only: SoftwareVersion | undefined;

	override record(stream: RequestId, origin: StreamOrigin): void {
		this.recorded.set(stream, origin);
	}

	override async originOf(stream: RequestId): Promise<StreamOrigin | undefined> {
		return this.recorded.get(stream);
	}

	override async onlyVersion(): Promise<SoftwareVersion | undefined> {
		return this.only;
	}
}

class NoCrashes extends CrashGuard {
	override isBlocked(): boolean {
		return false;
	}

	override reportPossibleCrash(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

class TestProtocol extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders(): string[] {
		return [];
	}

	override readMetadata(): ResponseMetadata {
		return {isSigned: true, didNotRun: false};
	}

	override responseHeaders(): string[] {
		return [];
	}
}

class TestReceiver extends ResponseReceiver {
	override head = vi.fn();
	override data = vi.fn();
	override end = vi.fn();
	override truncate = vi.fn();

	constructor(private readonly onOver: (failure: ForwardFailure | undefined) => void) {
		super();
		this.end.mockImplementation(() => {
			onOver(undefined);
		});
	}

	override fail(failure: ForwardFailure): void {
		this.onOver(failure);
	}
}

describe('a stream that its caller continues', () => {
	let origins: TestOrigins;
	let sentTo: string[];

	beforeEach(() => {
		origins = new TestOrigins();
		sentTo = [];
	});

	/** Sends a request through a daemon in front of the listed engines. Returns the failure, if there is one. */
	const send = async (engines: Readonly<Record<string, SoftwareVersion>>, continues?: StreamContinuation) => {
		const directory = new UpstreamDirectory();
		for (const [id, softwareVersion] of Object.entries(engines)) {
			const record: UpstreamRecord = {
				id: id as UpstreamId, service: lm, address: '10.0.0.1:1', dataCentre: 'dc' as DataCentreId, slots: 6, state: 'ready', softwareVersion, warmUpMs: 0, models: new Map(), bornAt: 1,
			};
			directory.upsert(record);
		}

		const route: Route = {
			name: 'r', host: 'h', prefix: '/', kind: 'stream', services: [{service: lm, weight: 1}], timeoutMs: 3000, targetLatencyMs: 200,
			maxAttempts: 3, priority: 0, isResumable: true, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
		};
		const forwarder = new Forwarder({
			clock: new SystemClock(),
			directory,
			pool: {
				hasIdle: () => true,
				exchange(upstream: UpstreamRecord, _req: unknown, handlers: ExchangeHandlers) {
					sentTo.push(upstream.id);
					setImmediate(() => {
						handlers.onHead({status: 200, headers: {}});
						handlers.onEnd({kind: 'complete'});
					});
					return {abort: vi.fn()};
				},
			} as unknown as ConnectionPool,
			health: new UpstreamHealthTracker(),
			protocol: new TestProtocol(),
			crashes: new NoCrashes(),
			limits: new UnlimitedRequests(),
			streams: origins,
			dataCentre: 'dc' as DataCentreId,
			random: () => 0,
			onRequestReport: vi.fn(),
		});
		return new Promise<ForwardFailure | undefined>(resolve => {
			forwarder.forward({
				requestId: 'r2' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], body: new Uint8Array(), route, deadlineAt: performance.now() + 1000,
				...(continues === undefined ? {} : {continues}),
			}, new TestReceiver(resolve));
		});
	};

	const continuation = {stream: 'r1' as RequestId};

	it('goes on only at an upstream of the software version that began it', async () => {
		origins.recorded.set(continuation.stream, {service: lm, softwareVersion: v2});
		expect(await send({e1: v1, e2: v1, e3: v2}, continuation)).toBeUndefined();
		expect(sentTo).toEqual(['e3']);
	});

	it('is refused at once as not run if no upstream of its software version is left', async () => {
		origins.recorded.set(continuation.stream, {service: lm, softwareVersion: v2});
		expect(await send({e1: v1}, continuation)).toMatchObject({kind: 'refused'});
		expect(sentTo).toEqual([]);
	});

	it('is refused if its software version is not known and several have served', async () => {
		expect(await send({e1: v1, e3: v2}, continuation)).toMatchObject({kind: 'refused'});
		expect(await send({e1: v1, e3: v2}, {stream: undefined})).toMatchObject({kind: 'refused'});
		expect(sentTo).toEqual([]);
	});

	it('goes on without a record if a single software version has served', async () => {
		origins.only = v1;
		expect(await send({e1: v1}, continuation)).toBeUndefined();
		expect(sentTo).toEqual(['e1']);
	});

	it('keeps the record of the request that brought its first event', async () => {
		await send({e1: v1});
		expect(origins.recorded).toEqual(new Map([['r2', {service: lm, softwareVersion: v1}]]));
		origins.recorded.clear();
		origins.only = v1;
		await send({e1: v1}, continuation);
		expect(origins.recorded.size).toBe(0);
	});
});
