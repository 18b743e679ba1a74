import type {BatchId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {PaceMeter} from './pace-meter.js';
import {
	groupClass, rankGroups, type GroupWork, type RankedGroup, type RankGroupsOptions, type StepWork,
} from './rank-groups.js';

const group = (openTokens: number, fields: Partial<GroupWork> = {}): GroupWork => ({
	openTokens, runningTokens: 0, longestTokens: 100, isComplete: false, ...fields,
});

function step(id: string, groups: readonly GroupWork[], fields: Partial<StepWork> = {}): StepWork {
	return {
		batch: id as BatchId, share: id, submittedAt: 0, dueAt: 1000, targetGroups: groups.length, groups, ...fields,
	};
}

const rank = (steps: readonly StepWork[], fields: Partial<RankGroupsOptions> = {}) => rankGroups({
	steps, msPerToken: 1, slots: 10, now: 0, ...fields,
});
const names = (ranked: readonly RankedGroup[], kind?: number) => ranked.filter(entry => kind === undefined || entry.class === kind).map(({batch, group: index}) => `${batch}/${index}`);

describe('rankGroups', () => {
	describe('when everything fits', () => {
		it('orders by slack, so that a step that is due soon and groups with a long sample come first', () => {
			const ranked = rank([
				step('later', [group(800)], {dueAt: 2000}),
				step('soon', [group(800), group(800, {longestTokens: 500})]),
			]);
			expect(names(ranked)).toEqual(['soon/1', 'soon/0', 'later/0']);
		});

		it('does not put off groups beyond the target, which room is left for', () => {
			const ranked = rank([step('a', [group(800), group(900, {longestTokens: 400})], {targetGroups: 1}), step('b', [group(800)])]);
			expect(names(ranked, groupClass.inTime)).toEqual(['a/1', 'a/0', 'b/0']);
		});
	});

	describe('when there is more work than fits', () => {
		it('puts off the groups that the step is done without before any that it needs', () => {
			const ranked = rank([step('a', [group(4000), group(4100), group(3000)], {targetGroups: 2})]);
			expect(names(ranked, groupClass.inTime)).toEqual(['a/2', 'a/0']);
			expect(names(ranked, groupClass.spare)).toEqual(['a/1']);
		});

		it('lets the share with the most work ahead yield, so that its lateness does not delay the others', () => {
			const ranked = rank([step('large', [group(4000), group(4000), group(4000)]), step('small', [group(2000), group(2000)])]);
			expect(names(ranked, groupClass.late)).toHaveLength(2);
			expect(names(ranked, groupClass.late).every(name => name.startsWith('large/'))).toBe(true);
		});

		it('runs a group that can be in time before one of an older step that can not, but gives up none whose estimate may be twice too high', () => {
			const ranked = rank([step('old', [group(10, {longestTokens: 900}), group(10, {longestTokens: 150})], {dueAt: 100}), step('new', [group(10)])]);
			expect(names(ranked)).toEqual(['old/1', 'new/0', 'old/0']);
		});

		it('starts late groups of the share that has the least running, so that no trainer waits for ever', () => {
			const late = {dueAt: -100};
			const ranked = rank([step('busy', [group(10, {runningTokens: 500})], late), step('idle', [group(10)], late)]);
			expect(names(ranked, groupClass.late)).toEqual(['idle/0', 'busy/0']);
		});
	});

	describe('when a step is late by as much time again as it had', () => {
		it('puts its spare groups last and keeps the ones that its trainer waits for', () => {
			const ranked = rank([step('a', [group(100), group(200)], {targetGroups: 1}), step('b', [group(100), group(200)], {targetGroups: 1, dueAt: 1900})], {now: 2500});
			expect(ranked.map(entry => entry.class)).toEqual([groupClass.late, groupClass.late, groupClass.spare, groupClass.worthless]);
			expect(names(ranked).at(-1)).toBe('a/1');
		});
	});

	it('waits for all groups of a trainer that names no target, instead of treating all of them as spare', () => {
		expect(names(rank([step('a', [group(100)], {targetGroups: 0, dueAt: -1})], {now: 0}), groupClass.late)).toEqual(['a/0']);
	});

	it('orders by due time and gives up nothing before the pace is known', () => {
		const ranked = rank([step('later', [group(1e9)], {dueAt: 20}), step('soon', [group(1e9)], {dueAt: 10})], {msPerToken: undefined});
		expect(ranked.map(entry => entry.class)).toEqual([groupClass.inTime, groupClass.inTime]);
		expect(names(ranked)).toEqual(['soon/0', 'later/0']);
	});
});

describe('PaceMeter', () => {
	it('follows an engine whose pace changes, so that plans do not rely on figures of an earlier load', () => {
		const engine = 'e' as UpstreamId;
		const meter = new PaceMeter();
		expect(meter.msPerToken(engine)).toBeUndefined();
		for (let run = 0; run < 200; run++) {
			meter.record(engine, {tookMs: run < 100 ? 100 : 400, expectedTokens: 100});
		}

		expect(meter.msPerToken(engine)).toBeCloseTo(4, 0);
	});
});
