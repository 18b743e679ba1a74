import type {
	BatchId, ItemId, ModelId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {unclaimed, type ItemClaim} from './batch.js';
import {LeftItems} from './left-items.js';
import type {ItemReference} from './plan-claims.js';
import {planContendedClaims} from './plan-contended-claims.js';

const softwareVersion = 'v1' as SoftwareVersion;
const model = 'draft' as ModelId;
const batch = 'b1' as BatchId;
const stepMs = 400;
const playedMs = 40_000;
const runMs = 1200;
/** The longest time that an item is left, and the next look for work. */
const maxWaitMs = 4000 + (2 * stepMs);
const longTokens = 9000;

/** What a daemon believes of an engine of its own at a moment. */
type Belief = Readonly<{slowerBy: number; isSlow: boolean; wantsToMove: boolean}>;

type World = Readonly<{
	daemons: number;
	items: number;
	engines: ReadonlyArray<Readonly<{slots: number; owner: number; isReachable: boolean; beliefs: readonly Belief[]}>>;
}>;

const belief = fc.record({slowerBy: fc.constantFrom(1, 1.5, 4), isSlow: fc.boolean(), wantsToMove: fc.boolean()});
const worlds = fc.record({
	daemons: fc.integer({min: 2, max: 4}),
	items: fc.integer({min: 1, max: 8}),
	engines: fc.array(fc.record({
		slots: fc.integer({min: 1, max: 4}), owner: fc.nat(3), isReachable: fc.boolean(), beliefs: fc.array(belief, {minLength: 1, maxLength: 12}),
	}), {minLength: 1, maxLength: 5}),
});

/** Plays daemons that each look for work with their own beliefs, and returns the longest time that an item waits beside a free slot of a reachable engine. */
function longestWait({daemons, items, engines}: World, isLimited: boolean): number {
	const left = Array.from({length: daemons}, () => new LeftItems());
	const claims: ItemClaim[] = Array.from({length: items}, () => unclaimed);
	const runs = new Map<number, {engine: number; endsAt: number}>();
	const waiting = Array.from({length: items}, () => 0);
	const plan = {
		host: 'h', path: '/p/', step: 1, model, minVersion: 1, targetGroups: items, submittedAt: 0,
		groups: claims.map((_, group) => ({items: [{id: `i${group}` as ItemId, expectedTokens: longTokens}]})),
	};
	let longest = 0;
	for (let now = 0; now < playedMs; now += stepMs) {
		for (const [group, run] of runs) {
			const {beliefs, owner} = engines[run.engine]!;
			const reference = {batch, group, item: 0};
			const {wantsToMove} = beliefs[(now / stepMs) % beliefs.length]!;
			if (now >= run.endsAt) {
				claims[group] = {kind: 'listed'};
				runs.delete(group);
			} else if (wantsToMove && (!isLimited || left[owner % daemons]!.mayMove(reference, now))) {
				claims[group] = unclaimed;
				runs.delete(group);
			}
		}

		for (const [index, engine] of engines.entries()) {
			const running = () => [...runs.values()].filter(run => run.engine === index).length;
			if (!engine.isReachable) {
				continue;
			}

			const ofDaemon = left[engine.owner % daemons]!;
			const {slowerBy, isSlow} = engine.beliefs[(now / stepMs) % engine.beliefs.length]!;
			ofDaemon.update(({group}) => (claims[group]!.kind === 'open' ? 'open' : (claims[group]!.kind === 'listed' ? 'over' : 'taken')), now);
			const targets = planContendedClaims({
				engine: {
					id: `e${index}` as UpstreamId, slots: engine.slots, running: running(), runningLong: 0, softwareVersion, readyVersions: new Set([softwareVersion]), isSlow,
					versions: new Map([[model, 1]]), rank: index, engines: engines.length,
				},
				batches: [{
					dueAt: 7500, share: 'r', view: {
						id: batch, plan, planVersion: 1, count: 0, isEnded: false, claims: claims.map(claim => ({version: 1, items: [claim]})),
					},
				}],
				isClaimLive: () => true, isHeld: () => false, msPerToken: 1, slots: 8, slowerBy: () => slowerBy, free: {index: 0, count: 1}, now,
				mayLeave: (item, reason) => !isLimited || ofDaemon.mayLeave(item, reason, now),
			});
			for (const {group} of targets) {
				claims[group] = {
					kind: 'running', incarnation: 'd', engine: `e${index}`, failures: 0, hasPartialText: false,
				};
				runs.set(group, {engine: index, endsAt: now + runMs});
			}
		}

		const hasFreeSlot = engines.some(({isReachable, slots}, index) => isReachable && [...runs.values()].filter(run => run.engine === index).length < slots);
		for (const [group, claim] of claims.entries()) {
			waiting[group] = hasFreeSlot && claim.kind === 'open' ? waiting[group]! + stepMs : 0;
			longest = Math.max(longest, waiting[group]);
		}
	}

	return longest;
}

describe('LeftItems', () => {
	const item: ItemReference = {batch, group: 0, item: 0};

	it('leaves an item for a while only, the longer the slower this engine is', () => {
		const left = new LeftItems();
		expect([0, 599].map(now => left.mayLeave(item, 'faster-engine', now))).toEqual([true, true]);
		expect([600, 10_000].map(now => left.mayLeave(item, 'faster-engine', now))).toEqual([false, false]);
		expect(left.mayLeave(item, 'slow-engine', 3999)).toBe(true);
		expect(left.mayLeave(item, 'slow-engine', 4000)).toBe(false);
	});

	it('leaves an item again that another engine had and returned, until that has taken too long in total', () => {
		const left = new LeftItems();
		for (let round = 0; round < 3; round++) {
			const at = round * 10_000;
			expect([at, at + 1900].map(now => left.mayLeave(item, 'slow-engine', now))).toEqual([true, round < 2]);
			left.update(() => 'taken', at + 1900);
		}

		expect(left.mayMove(item, 30_000)).toBe(false);
		left.update(() => 'over', 30_000);
		expect(left.mayMove(item, 30_000)).toBe(true);
	});

	describe('with daemons that believe different things', () => {
		it('lets no item wait for ever beside a free slot', () => {
			fc.assert(fc.property(worlds, world => longestWait(world, true) <= maxWaitMs), {seed: 20_261_207, numRuns: 300});
		});

		it('is needed: without it items wait for ever beside free slots', () => {
			const result = fc.check(fc.property(worlds, world => longestWait(world, false) <= maxWaitMs), {seed: 20_261_207, numRuns: 300});
			expect(result.failed).toBe(true);
		});

		it('is needed in the case that was seen: each of two daemons leaves the items to the engine of the other', () => {
			const engines = [0, 1].map(owner => ({
				slots: 16, owner, isReachable: true, beliefs: [{slowerBy: 1.4, isSlow: false, wantsToMove: false}],
			}));
			expect(longestWait({daemons: 2, items: 4, engines}, false)).toBe(playedMs);
			expect(longestWait({daemons: 2, items: 4, engines}, true)).toBeLessThanOrEqual(600 + stepMs);
		});
	});
});
