import {describe, expect, it} from 'vitest';
import {ContendedLoad, type ContendedLoadOptions} from './contended-load.js';
import {planByRank, planBySlack} from './contended-planners.js';

const play = (options: Omit<ContendedLoadOptions, 'plan' | 'seed'>) => {
	const common = {...options, seed: 1, endMs: 40_000};
	return {bySlack: new ContendedLoad({...common, plan: planBySlack}).run(), byRank: new ContendedLoad({...common, plan: planByRank}).run()};
};

describe('planContendedClaims under the load of several trainers', () => {
	it('leaves no group late at half of the capacity, so that yielding costs nothing where there is room', () => {
		expect(new ContendedLoad({
			plan: planByRank, load: 0.5, seed: 1, endMs: 24_000,
		}).run()).toMatchObject({inTime: 100, stepsLate: 0, stepsBehind: 0});
	});

	it('has more groups in time and fewer late steps than the order by slack after 4 s in which nothing ran, above capacity', () => {
		const {bySlack, byRank} = play({load: 1.1, pause: {from: 16_000, ms: 4000}});
		expect(byRank.inTime).toBeGreaterThan(bySlack.inTime);
		expect(byRank.stepsLate).toBeLessThan(bySlack.stepsLate);
	}, 60_000);

	it('has more groups in time and fewer late steps above capacity, where not everything can be in time', () => {
		const {bySlack, byRank} = play({load: 1.1});
		expect(byRank.inTime).toBeGreaterThan(bySlack.inTime);
		expect(byRank.stepsLate).toBeLessThan(bySlack.stepsLate);
	}, 60_000);

	it('does not reserve a slow engine for the samples that a step waits for longest', () => {
		const {bySlack, byRank} = play({load: 0.8, slowFactor: 4});
		expect(byRank.stepsLate).toBeLessThan(bySlack.stepsLate);
	}, 60_000);
});
