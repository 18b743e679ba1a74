/** What trainers send and get, and the records of groups in the platform's store. */

import type {MemberId, Millis, PoolId} from './ids.js';
import type {RunOutcome, VersionSpan} from './request.js';

/** One group of a training step as a trainer submits it. */
export type GroupSubmission = Readonly<{
	step: number;
	/** Index of the group in its step, from 0. */
	group: number;
	model: PoolId;
	prompt: string;
	/** Number of samples. */
	samples: number;
	maxTokens: number;
	/** Largest allowed difference between the trainer's weight version at hand-over and the oldest version in a sample. */
	stalenessBound: number;
	/** Seeds of the samples are derived from it; without one, from member, step and group. */
	seed?: number;
}>;

export type FetchCall = Readonly<{
	step: number;
	fetchId: string;
	/** Largest number of groups in the answer. */
	max: number;
	/** Weight version that the trainer has now. */
	currentVersion: number;
	/** Indices of all groups of the step that the trainer has. */
	received?: readonly number[];
	/** Number of groups that the trainer has submitted, for an owner that knows none of them. */
	submitted?: number;
}>;

export type AckCall = Readonly<{
	step: number;
	fetchId: string;
	/** Indices of the groups that came with this fetchId. A group handed to it that is not among them returns to the others. */
	groups?: readonly number[];
}>;

export type TrainerCall =
	| Readonly<{kind: 'submit'}> & GroupSubmission
	| Readonly<{kind: 'fetch'}> & FetchCall
	| Readonly<{kind: 'ack'}> & AckCall;

/** Tells the new owner of a step that the old one is gone. It has no answer. */
export type TouchCall = Readonly<{kind: 'touch'; step: number}>;

export type Sample = Readonly<{
	index: number;
	seed: number;
	text: string;
	tokens: number;
	/** The weight versions that produced the sample, by token range, as the engine reported them. */
	versions: readonly VersionSpan[];
}>;

export type FinishedGroup = Readonly<{group: number; samples: readonly Sample[]}>;

/** An expected failure as it travels between daemons; `kind` is a `ProblemKind` of the errors package. */
export type TrainerProblem = Readonly<{
	kind: 'invalid-request' | 'idempotency-conflict' | 'store-unavailable' | 'no-upstream' | 'outcome-unknown' | 'overloaded';
	detail: string;
	remedy: string;
	outcome: RunOutcome;
	field?: string;
	retryAfterMs?: Millis;
}>;

export type TrainerAnswer =
	/** `durable` is false while the store can't be reached and the group is held in memory alone. */
	| Readonly<{kind: 'submitted'; step: number; group: number; durable: boolean}>
	| Readonly<{
		kind: 'fetched';
		step: number;
		fetchId: string;
		groups: readonly FinishedGroup[];
		/** Groups up to the highest submitted index that the owner does not know; the trainer submits them again. */
		missing: readonly number[];
		/** Number of groups that have not been handed over yet. */
		open: number;
		/** False if the hand-over is not recorded in the store yet; the trainer then sends `received` with each later fetch of the step. */
		durable: boolean;
	}>
	| Readonly<{kind: 'acked'; step: number; fetchId: string; groups: readonly number[]; durable: boolean}>
	/** The receiver of a forwarded call does not own the step. */
	| Readonly<{kind: 'not-owner'}>
	| Readonly<{kind: 'problem'; problem: TrainerProblem}>;

export type MemberCall = Readonly<{member: MemberId; call: TrainerCall}>;
