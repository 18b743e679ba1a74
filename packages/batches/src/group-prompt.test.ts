import {decodeList, encodeList} from '@cicadapost/store';
import type {ItemId, ModelId, TeamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import type {BatchItem, BatchPlan} from './batch.js';
import {decodePlan, encodePlan} from './encode-rows.js';
import {groupPromptOf, maxPlanBytesWithPrompts, type GroupPrompt} from './group-prompt.js';

const item = (fields: Partial<BatchItem>): BatchItem => ({
	id: 'i' as ItemId, path: '/p', headers: [], body: Buffer.from(''), tokens: 1, group: 'g', expectedTokens: 1, ...fields,
});
const planWith = (prompts: ReadonlyArray<GroupPrompt | undefined>, fields: Partial<BatchPlan> = {}): BatchPlan => ({
	host: 'h', path: '/p', step: 1, model: 'm' as ModelId, minVersion: 1, targetGroups: 1, submittedAt: 0,
	groups: prompts.map(prompt => ({
		items: ['a', 'b'].map(id => ({id: id as ItemId, expectedTokens: 5})), ...(prompt === undefined ? {} : {prompt}),
	})),
	...fields,
});
const part = {id: '0af', tokens: 500};

describe('groupPromptOf', () => {
	it('keeps the parts that all prompts begin with, so that no item counts as cached that is not', () => {
		const own = (id: string) => item({promptTokens: 516, promptParts: [part, {id, tokens: 16}]});
		expect(groupPromptOf([own('1'), own('2')])).toEqual({tokens: [516, 516], shared: [part]});
		expect(groupPromptOf([own('1'), item({promptTokens: 9})])).toEqual({tokens: [516, 9], shared: []});
	});

	it('is unknown if the tokens of one item are', () => {
		expect(groupPromptOf([item({promptTokens: 5}), item({})])).toBeUndefined();
	});
});

describe('prompts in the row of a plan', () => {
	const prompts = [{tokens: [516, 516], shared: [part]}, undefined, {tokens: [7, 9], shared: []}];

	it('round-trip with and without a team and reward calls', () => {
		for (const fields of [{}, {team: 'red' as TeamId}, {hasRewards: true as const}, {hasRewards: true as const, team: 'red' as TeamId}]) {
			const plan = planWith(prompts, fields);
			expect(decodePlan(encodePlan(plan))).toEqual(plan);
		}
	});

	it('change no field that earlier builds read, so that they run the batch', () => {
		const plan = planWith(prompts);
		const fields = decodeList(encodePlan(plan))!;
		expect(fields.slice(0, 8)).toEqual(decodeList(encodePlan(planWith([undefined, undefined, undefined]))));
		expect(fields.slice(8, 10)).toEqual([null, null]);
	});

	it('are left out of a plan that would not fit into a row with them', () => {
		const large = planWith(Array.from({length: 1500}, (_, index) => ({tokens: [index, 100_000], shared: [{id: 'a'.repeat(32), tokens: 1000}]})));
		expect(encodePlan(large).length).toBeLessThan(maxPlanBytesWithPrompts);
		expect(decodePlan(encodePlan(large)).groups[0]).not.toHaveProperty('prompt');
	});

	it('are ignored if they are not readable, as the batch can be run without them', () => {
		const common = decodeList(encodePlan(planWith([undefined])))!;
		for (const field of [1, [1], [[1]], [['x', []]], [[[1], []]], [[-1, []]], [[1, ['a']]], [[1, [2, 3]]]]) {
			expect(decodePlan(encodeList([...common, null, null, field]))).toEqual(planWith([undefined]));
		}
	});
});
