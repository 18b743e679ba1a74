/** Calls of trainers and the responses to them, and the group records kept in the platform's store. */

import type {MemberId, Millis, PoolId} from './ids.js';
import type {RunOutcome, VersionSpan} from './request.js';

/** A group of a training step, as submitted by a trainer. */
export type GroupSubmission = Readonly<{
	step: number;
	/** Index of the group in its step, from 0. */
	group: number;
	model: PoolId;
	prompt: string;
	/** Number of samples. */
	samples: number;
	maxTokens: number;
	/** Maximum difference between the trainer's weight version at delivery and the oldest version in a sample. */
	stalenessBound: number;
	/** The sample seeds are derived from this value. Defaults to one derived from member, step and group. */
	seed?: number;
}>;

export type FetchCall = Readonly<{
	step: number;
	fetchId: string;
	/** Maximum number of groups in the response. */
	max: number;
	/** The trainer's current weight version. */
	currentVersion: number;
	/** Indices of all groups of the step that the trainer has received. */
	received?: readonly number[];
	/** Number of groups that the trainer has submitted, for an owner that has no record of them. */
	submitted?: number;
}>;

export type AckCall = Readonly<{
	step: number;
	fetchId: string;
	/** Indices of the groups received under this `fetchId`. Groups delivered under it but not listed here become available again. */
	groups?: readonly number[];
}>;

export type TrainerCall =
	| Readonly<{kind: 'submit'}> & GroupSubmission
	| Readonly<{kind: 'fetch'}> & FetchCall
	| Readonly<{kind: 'ack'}> & AckCall;

/** Tells the new owner of a step that the previous owner is gone. Has no response. */
export type TouchCall = Readonly<{kind: 'touch'; step: number}>;

export type Sample = Readonly<{
	index: number;
	seed: number;
	text: string;
	tokens: number;
	/** Weight versions that produced the sample, by token range, as reported by the engine. */
	versions: readonly VersionSpan[];
}>;

export type FinishedGroup = Readonly<{group: number; samples: readonly Sample[]}>;

/** Serialized form of an expected failure. `kind` is a `ProblemKind` of the errors package. */
export type TrainerProblem = Readonly<{
	kind: 'invalid-request' | 'idempotency-conflict' | 'store-unavailable' | 'no-upstream' | 'outcome-unknown' | 'overloaded';
	detail: string;
	remedy: string;
	outcome: RunOutcome;
	field?: string;
	retryAfterMs?: Millis;
}>;

export type TrainerAnswer =
	/** `durable` is false while the store is unreachable and the group is held in memory only. */
	| Readonly<{kind: 'submitted'; step: number; group: number; durable: boolean}>
	| Readonly<{
		kind: 'fetched';
		step: number;
		fetchId: string;
		groups: readonly FinishedGroup[];
		/** Groups up to the highest submitted index that are unknown to the owner. The trainer must resubmit them. */
		missing: readonly number[];
		/** Number of groups not delivered yet. */
		open: number;
		/** False if the delivery is not recorded in the store yet. The trainer must then send `received` with each later fetch of the step. */
		durable: boolean;
	}>
	| Readonly<{kind: 'acked'; step: number; fetchId: string; groups: readonly number[]; durable: boolean}>
	/** The daemon that received a forwarded call does not own the step. */
	| Readonly<{kind: 'not-owner'}>
	| Readonly<{kind: 'problem'; problem: TrainerProblem}>;

export type MemberCall = Readonly<{member: MemberId; call: TrainerCall}>;
