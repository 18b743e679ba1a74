import type {DaemonId, DataCentreId, RegionId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {chooseRelay, type ChooseRelayOptions, type RelayCandidate} from './choose-relay.js';

const candidate = (index: number, dataCentre = 'a', fields: Partial<RelayCandidate> = {}): RelayCandidate => ({
	daemon: `d${index}` as DaemonId, dataCentre: dataCentre as DataCentreId, region: (dataCentre === 'c' ? 'east' : 'west') as RegionId, address: '', key: '', isPartitioned: false,
	...fields,
});

const choose = (candidates: readonly RelayCandidate[], options: Partial<ChooseRelayOptions> = {}) => chooseRelay({
	candidates, tried: new Set(), inProgress: () => 0, isProven: () => false, avoidUntil: () => 0, dataCentre: 'a' as DataCentreId, region: 'west' as RegionId, now: 0, random: 0, ...options,
})?.daemon;

/** A reproducible sequence of numbers from 0 to 1. */
const createRandom = (seed: number) => () => {
	seed = ((seed * 1_103_515_245) + 12_345) % 2_147_483_648;
	return seed / 2_147_483_648;
};

describe('chooseRelay', () => {
	it('prefers the same data centre, then the same region', () => {
		const all = [candidate(1, 'c'), candidate(2, 'b'), candidate(3, 'a')];
		expect(choose(all)).toBe('d3');
		expect(choose(all.slice(0, 2))).toBe('d2');
		expect(choose(all.slice(0, 1))).toBe('d1');
	});

	it('never chooses a daemon that has announced a partition, was tried, or has just declined', () => {
		expect(choose([candidate(1, 'a', {isPartitioned: true}), candidate(2, 'b')])).toBe('d2');
		expect(choose([candidate(1)], {tried: new Set(['d1' as DaemonId])})).toBeUndefined();
		expect(choose([candidate(1)], {avoidUntil: () => 1, now: 0})).toBeUndefined();
		expect(choose([candidate(1)], {avoidUntil: () => 1, now: 1})).toBe('d1');
	});

	it('prefers daemons with few requests of this one', () => {
		expect(choose([candidate(1), candidate(2)], {inProgress: daemon => (daemon === 'd1' ? 2 : 1)})).toBe('d2');
	});

	it('prefers daemons that have passed on a request, and farther ones only after a failed send', () => {
		const all = [candidate(1, 'a'), candidate(2, 'a'), candidate(3, 'b')];
		expect(choose(all, {isProven: daemon => daemon === 'd2'})).toBe('d2');
		expect(choose(all, {isProven: daemon => daemon === 'd3'})).toBe('d1');
		expect(choose(all, {isProven: daemon => daemon === 'd3', tried: new Set(['d1' as DaemonId])})).toBe('d3');
	});

	describe.each([9, 82, 370])('with %i daemons, two thirds of them partitioned', count => {
		const dataCentres = ['a', 'b', 'c'];
		const daemons = Array.from({length: count}, (_, index) => candidate(index, dataCentres[index % 3]));
		const isPartitioned = (index: number) => index % 9 < 6;
		const random = createRandom(20_261_204);

		type Experience = Readonly<{declined: Set<DaemonId>; proven: Set<DaemonId>}>;

		/** Passes on one request of each partitioned daemon, with at most three sends, and returns where they ended. */
		const passOn = (known: (index: number) => boolean, experience: ReadonlyMap<DaemonId, Experience>) => {
			const served: DaemonId[] = [];
			let sends = 0;
			for (const [index, self] of daemons.entries()) {
				if (!isPartitioned(index)) {
					continue;
				}

				const candidates = daemons.filter(({daemon}) => daemon !== self.daemon).map((other, position) => ({...other, isPartitioned: known(position < index ? position : position + 1)}));
				const {declined, proven} = experience.get(self.daemon)!;
				const tried = new Set<DaemonId>();
				while (tried.size < 3) {
					const relay = choose(candidates, {
						tried, dataCentre: self.dataCentre, region: self.region, random: random(), isProven: daemon => proven.has(daemon),
						avoidUntil: daemon => (declined.has(daemon) ? 1 : 0),
					});
					if (relay === undefined) {
						break;
					}

					sends += 1;
					tried.add(relay);
					if (!isPartitioned(Number(relay.slice(1)))) {
						served.push(relay);
						proven.add(relay);
						break;
					}

					declined.add(relay);
				}
			}

			return {served, sends};
		};

		const partitionedCount = daemons.filter((_, index) => isPartitioned(index)).length;
		const noExperience = () => new Map(daemons.map(({daemon}): [DaemonId, Experience] => [daemon, {declined: new Set(), proven: new Set()}]));

		it('needs one send each once partitions are announced, and loads the other daemons evenly', () => {
			const {served, sends} = passOn(isPartitioned, noExperience());
			expect(served).toHaveLength(partitionedCount);
			expect(sends).toBe(partitionedCount);
			const loads = daemons.map(({daemon}) => served.filter(relay => relay === daemon).length);
			// Two partitioned daemons for each other one; the rest is the spread of a random choice.
			expect(Math.max(...loads)).toBeLessThanOrEqual(12);
		});

		it('serves all within a few requests while no partition is announced, because daemons decline at once', () => {
			const experience = noExperience();
			const rounds = Array.from({length: 6}, () => passOn(() => false, experience));
			expect(rounds.every(({sends}) => sends <= 3 * partitionedCount)).toBe(true);
			expect(rounds[0]!.served.length).toBeGreaterThan(partitionedCount / 2);
			expect(rounds.at(-1)!.served.length).toBeGreaterThan(partitionedCount * 0.95);
		});
	});
});
