/** The row of a group in the table service and the keys of its objects. */

import {createHash} from 'node:crypto';
import type {
	FinishedGroup, GroupSubmission, MemberId, PoolId, Sample, TrainerCall,
} from '@cicadapost/types';
import type {StepKey} from './rollout-events.js';

/** Table with one row per group. */
export const groupsTable = 'groups';

export type GroupPhase = 'open' | 'complete' | 'handed' | 'acked';

/** Value of the row `<member>/<step>/<index>`, as JSON. */
export type GroupRow = Readonly<{
	phase: GroupPhase;
	/** SHA-256 of the submission, in hex. */
	bodyHash: string;
	model: PoolId;
	samples: number;
	maxTokens: number;
	stalenessBound: number;
	seed: number;
	/** Object with the prompt. Absent if the group was complete before the store became reachable. */
	promptKey?: string;
	/** Object with the finished samples. Its name is unique, so that two daemons that both run the group never write the same object. */
	objectKey?: string;
	fetchId?: string;
	/** In an acknowledged row: all groups that the trainer received with the fetchId, if it listed them. */
	ackedWith?: readonly number[];
}>;

/** Returns the key of a step. Members never share a key, since the member is percent-encoded and the step is a number. */
export function stepKey(member: MemberId, step: number): StepKey {
	return `${encodeURIComponent(member)}/${step}`;
}

export function rowKey(step: StepKey, group: number): string {
	return `${step}/${group}`;
}

export function sha256Hex(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Returns the same hash for equal submissions, regardless of the order of their fields. */
export function submissionHash(submission: GroupSubmission): string {
	const {step, group, model, prompt, samples, maxTokens, stalenessBound, seed} = submission;
	return sha256Hex(JSON.stringify([step, group, model, prompt, samples, maxTokens, stalenessBound, seed ?? null]));
}

/** Returns the submitted seed, or else a seed derived from the group's key, which is the same for each submission. */
export function groupSeed(step: StepKey, submission: GroupSubmission): number {
	return submission.seed ?? Number.parseInt(sha256Hex(rowKey(step, submission.group)).slice(0, 7), 16);
}

/** Returns the seed of a sample. It differs between the samples of a group and is the same for each run of a sample. */
export function sampleSeed(seed: number, index: number): number {
	return Number.parseInt(sha256Hex(`${seed}/${index}`).slice(0, 7), 16);
}

export function parseRow(value: string): GroupRow {
	return JSON.parse(value) as GroupRow;
}

export function parseGroup(value: string): FinishedGroup {
	return JSON.parse(value) as FinishedGroup;
}

/** Returns the oldest weight version that generated a part of the sample. */
export function oldestVersion(sample: Sample): number {
	return Math.min(...sample.versions.map(span => span.version));
}

/** Whether the trainer's weights are more than `bound` versions ahead of the oldest ones that generated the sample. */
export function isStale(sample: Sample, currentVersion: number, bound: number): boolean {
	return currentVersion - oldestVersion(sample) > bound;
}

/** Returns the key of the step that a call refers to. */
export function stepKeyOfCall(member: MemberId, call: TrainerCall): StepKey {
	return stepKey(member, call.step);
}
