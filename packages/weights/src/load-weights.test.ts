import type {UpstreamRecord} from '@cicadapost/fleet';
import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type DaemonId, type DataCentreId, type ModelId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {EngineVersions} from './engine-versions.js';
import {WeightLoader} from './load-weights.js';
import {OrderClient, type EngineReport, type OrderOutcome} from './order-client.js';

const model = 'draft' as ModelId;
const engine: UpstreamRecord = {
	id: 'e1' as UpstreamId, service: 'lm' as ServiceId, address: '10.0.0.1:80', dataCentre: 'a' as DataCentreId, slots: 4, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
	warmUpMs: 0, models: new Map([[model, 1]]), bornAt: 1,
};

/** Accepts all orders. */
class RecordingClient extends OrderClient {
	readonly loads: string[] = [];

	constructor(private readonly onReport: () => void) {
		super();
	}

	override async load(target: UpstreamRecord): Promise<OrderOutcome> {
		this.loads.push(target.id);
		return {kind: 'accepted'};
	}

	override async report(): Promise<EngineReport> {
		this.onReport();
		return {versions: new Map([[model, 1]]), isBusy: false, acceptedOrders: 0};
	}
}

describe('WeightLoader', () => {
	const cleanups: Array<() => void> = [];

	afterEach(() => {
		for (const cleanup of cleanups.splice(0)) {
			cleanup();
		}
	});

	const start = (onReport: () => void, engines: () => readonly UpstreamRecord[]) => {
		const clock = new SystemClock();
		const store = new MemoryRowStore();
		const follower = new TableFollower({
			store, clock, table: 'fleet', waitMs: 20,
		});
		const client = new RecordingClient(onReport);
		const outcomes: string[] = [];
		const loader = new WeightLoader({
			clock, store, follower, client, versions: new EngineVersions(), self: 'd1' as DaemonId, silenceMs: 0, isOwner: () => true,
			services: () => [{
				service: 'lm' as ServiceId, engines: engines(), named: [{model, version: 2}], models: 1,
			}],
			onOrderReport(report) {
				outcomes.push(report.outcome);
			},
			onLoaded() {
				// Not checked by these tests.
			},
		});
		cleanups.push(() => {
			loader.stop();
			follower.stop();
		});
		loader.wake();
		return {client, outcomes};
	};

	it('orders the named version', async () => {
		const {client} = start(() => undefined, () => [engine]);
		await expect.poll(() => client.loads, {timeout: 2000}).toEqual(['e1']);
	});

	it('sends no order to an engine that states that it leaves while the order is prepared', async () => {
		let isLeaving = false;
		const {client, outcomes} = start(() => {
			isLeaving = true;
		}, () => (isLeaving ? [] : [engine]));
		await expect.poll(() => outcomes, {timeout: 2000}).toEqual(['the engine leaves']);
		expect(client.loads).toEqual([]);
	});
});
