import type {
	BatchId, ItemId, ModelId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {unclaimed, type ItemClaim} from './batch.js';
import {planContendedClaims, type ContendedBatch, type PlanContendedClaimsOptions} from './plan-contended-claims.js';
import type {EngineCapacity} from './plan-claims.js';

const softwareVersion = 'v1' as SoftwareVersion;
const otherVersion = 'v0' as SoftwareVersion;
const model = 'draft' as ModelId;

function batchOf(groups: ReadonlyArray<readonly ItemClaim[]>, tokens: readonly number[] = []): ContendedBatch {
	const plan = {
		host: 'h', path: '/p/', step: 1, model, minVersion: 3, targetGroups: groups.length, submittedAt: 0,
		groups: groups.map((claims, group) => ({items: claims.map((_, item) => ({id: `${group}.${item}` as ItemId, expectedTokens: tokens[item] ?? 100}))})),
	};
	return {
		dueAt: 7500,
		share: 'r',
		view: {
			id: 'b1' as BatchId, plan, planVersion: 1, count: 0, isEnded: false, claims: groups.map(items => ({version: 2, items})),
		},
	};
}

const openGroups = (groups: number, size = 4) => Array.from({length: groups}, () => Array.from({length: size}, () => unclaimed));

function plan(batch: ContendedBatch, engine: Partial<EngineCapacity> = {}, fields: Partial<PlanContendedClaimsOptions> = {}) {
	return planContendedClaims({
		engine: {
			id: 'e1' as UpstreamId, slots: 4, running: 0, runningLong: 0, softwareVersion, readyVersions: new Set([softwareVersion]), isSlow: false,
			versions: new Map([[model, 3]]), rank: 0, engines: 1, ...engine,
		},
		batches: [batch], isClaimLive: () => false, isHeld: () => false, msPerToken: 1, slots: 100, free: {index: 0, count: 1}, now: 0, ...fields,
	});
}

describe('planContendedClaims', () => {
	it('starts the longest samples of a group first, which the group has to wait for', () => {
		expect(plan(batchOf(openGroups(1), [100, 900, 300, 500]), {slots: 2})).toMatchObject([{items: [1, 3]}]);
	});

	it('fills no more than the free slots, and none of an engine that has none', () => {
		expect(plan(batchOf(openGroups(3)), {running: 1}).flatMap(({items}) => items)).toHaveLength(3);
		expect(plan(batchOf(openGroups(3)), {running: 5})).toEqual([]);
	});

	it('lets engines with free slots begin with different groups, so that their claims rarely conflict', () => {
		const chosen = [0, 1, 2].map(index => plan(batchOf(openGroups(6)), {engines: 3}, {free: {index, count: 3}}).map(({group}) => group));
		expect(chosen).toEqual([[0], [1], [2]]);
	});

	it('gives no long sample to an engine that is slow, and no sample to one whose weights are too old', () => {
		expect(plan(batchOf(openGroups(1), [9000]), {isSlow: true})).toMatchObject([{items: [1, 2, 3]}]);
		expect(plan(batchOf(openGroups(1)), {versions: new Map([[model, 2]])})).toEqual([]);
	});

	describe('with the prompt of a group', () => {
		it('prefers that group, so that the prompt is not read again, and leaves begun ones to the engines that have theirs', () => {
			const begun: ItemClaim[] = [{kind: 'listed'}, unclaimed, unclaimed, unclaimed];
			const batch = batchOf([begun, ...openGroups(1), begun]);
			const hasPrompt = (_: BatchId, group: number) => group === 2;
			expect(plan(batch, {engines: 3, slots: 11}, {hasPrompt}).map(({group}) => group)).toEqual([2, 1, 0]);
		});

		it('prefers it only among the groups that run at about the same time, so that no other group waits for long', () => {
			const batch = batchOf(openGroups(3));
			expect(plan(batch, {engines: 2}, {hasPrompt: (_, group) => group === 2}).map(({group}) => group)).toEqual([0]);
		});
	});

	describe('with texts of engines of another software version', () => {
		const foreign: ItemClaim = {
			kind: 'open', failures: 0, hasPartialText: true, textVersion: otherVersion,
		};
		const engine = {slots: 8, readyVersions: new Set([softwareVersion, otherVersion])};

		it('claims them after all others, with one target for each group', () => {
			const batch = batchOf([[foreign, unclaimed], [unclaimed]]);
			const claimed = (slots: number) => plan(batch, {...engine, slots}).toSorted((a, b) => a.group - b.group);
			expect(claimed(2)).toEqual([{batch: 'b1', group: 0, items: [1]}, {batch: 'b1', group: 1, items: [0]}]);
			expect(claimed(3)).toEqual([{batch: 'b1', group: 0, items: [1, 0]}, {batch: 'b1', group: 1, items: [0]}]);
		});

		it('holds them back although a whole run could not end in time, since their engines only generate the rest', () => {
			const batch = batchOf([[foreign, unclaimed]]);
			expect(plan(batch, engine, {isHeld: () => true, msPerToken: 60, now: 2000})).toMatchObject([{items: [1]}]);
			expect(plan(batch, engine, {isHeld: () => true, now: 7000})).toMatchObject([{items: [1, 0]}]);
		});
	});
});
