import {UpstreamDirectory, type MemberRecord} from '@cicadapost/fleet';
import {
	SystemClock, type DaemonId, type DaemonIncarnation, type DataCentreId, type ModelId, type RegionId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {FleetView} from './fleet-view.js';

const dataCentre = 'dc' as DataCentreId;
const region = 'r' as RegionId;

function memberOf(daemon: string, fields: Partial<MemberRecord> = {}): MemberRecord {
	return {
		daemon: daemon as DaemonId, incarnation: `${daemon}#1` as DaemonIncarnation, dataCentre, region, state: 'live', role: 'candidate', cores: 1, heartbeatCount: 1, ...fields,
	};
}

function viewOf(self: string, members: readonly MemberRecord[]): FleetView {
	const directory = new UpstreamDirectory();
	for (const id of ['e1', 'e2', 'e3', 'e4']) {
		directory.upsert({
			id: id as UpstreamId, service: 'lm' as ServiceId, address: '127.0.0.1:1', dataCentre, slots: 2, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
			warmUpMs: 0, models: new Map([['m' as ModelId, 1]]), bornAt: 1,
		});
	}

	return new FleetView({
		clock: new SystemClock(), self: self as DaemonId, directory, members: () => members, regionOf: () => region,
	});
}

describe('FleetView', () => {
	describe('with daemons that know different members', () => {
		const names = ['d1', 'd2', 'd3', 'd4'];
		const views = names.map(name => viewOf(name, names.filter(other => other !== name).map(other => memberOf(other))));

		it('may name no daemon as responsible for work at first', () => {
			expect(views.some(view => view.isResponsibleFor('b/0'))).toBe(false);
		});

		it('lets each daemon do the work after some time, one after the other', () => {
			expect(views.filter(view => view.isResponsibleFor('b/0', 2999))).toEqual([]);
			expect(views.filter(view => view.isResponsibleFor('b/0', 6000))).toHaveLength(4);
			const first = Array.from({length: 30}, (_, index) => 3000 + (index * 100)).find(waitedMs => views.some(view => view.isResponsibleFor('b/0', waitedMs)))!;
			expect(views.filter(view => view.isResponsibleFor('b/0', first)).length).toBeLessThan(4);
		});
	});
});
