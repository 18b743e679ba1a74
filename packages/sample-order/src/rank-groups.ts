import type {BatchId, Millis} from '@cicadapost/types';

/** What is left of a group of samples, of which the trainer can only use all together. */
export type GroupWork = Readonly<{
	/** Expected output tokens of the items that no engine runs. */
	openTokens: number;
	/** Expected output tokens of the items that engines run. */
	runningTokens: number;
	/** Expected output tokens of the longest open item. */
	longestTokens: number;
	isComplete: boolean;
}>;

/** The groups of one training step. */
export type StepWork = Readonly<{
	batch: BatchId;
	/** Name of the route or team that capacity is divided by. */
	share: string;
	/** On the store's clock. */
	submittedAt: Millis;
	/** When the groups are due, on the store's clock. */
	dueAt: Millis;
	/** Number of complete groups that the trainer waits for, 0 if it has not said so and waits for all. */
	targetGroups: number;
	groups: readonly GroupWork[];
}>;

export type RankGroupsOptions = Readonly<{
	steps: readonly StepWork[];
	/** Mean time for one expected token in a run, in ms. Undefined if it has not been measured. */
	msPerToken: number | undefined;
	/** Number of samples that all engines of the steps run concurrently. */
	slots: number;
	/** On the store's clock. */
	now: Millis;
}>;

/** Groups of a lower class run first. */
export const groupClass = {
	/** The group can be complete when it is due. */
	inTime: 0,
	/** The step needs the group, which will be late. */
	late: 1,
	/** The step is done without the group, which will be late. */
	spare: 2,
	/** The step is done without the group, which is late by as much time again as it had. */
	worthless: 3,
} as const;

export type GroupClass = typeof groupClass[keyof typeof groupClass];

export type RankedGroup = Readonly<{
	batch: BatchId;
	/** Index of the group in its batch. */
	group: number;
	class: GroupClass;
}>;

type Candidate = {
	readonly group: number;
	readonly step: StepWork;
	readonly work: GroupWork;
	/** Whether the step can't be done without the group, unless others yield. */
	readonly isNeeded: boolean;
	/** Time that all engines together need for the group. */
	readonly durationMs: Millis;
	readonly slackMs: Millis;
	class: GroupClass;
};

/** Estimates are off by up to this factor, so a group is given up only if it is late although it needs that much less time. */
const estimateFactor = 2;

/**
Orders the groups that are left of several trainers' steps. Designed for 2 to 10 trainers with two overlapping steps each, 6 to
19 groups a step of which 90% are needed, at 50 to 110% of the capacity and after an outage, when all of them are late at once:
- The groups that fit into the time until they are due come first, ordered by slack.
- Where they do not all fit, those beyond the number that their step still needs yield first, then those of the share with the
  most work ahead, so that the lateness of one trainer does not delay the others. Of these the one with the most work yields.
- Needed groups that will be late follow, those of the share that has the least running first. They keep this place however late
  they are, since their trainer waits for them and requests nothing else. The other late groups come last.
Without a measured pace no group counts as late, and the order is that of the due times.
*/
export function rankGroups(options: RankGroupsOptions): RankedGroup[] {
	const candidates = options.steps.flatMap(step => candidatesOf(step, options));
	markLate(candidates, options);
	const running = runningByShare(options.steps);
	return candidates
		.sort((a, b) => a.class - b.class || compareInClass(a, b, running))
		.map(({step, group, class: kind}) => ({batch: step.batch, group, class: kind}));
}

function candidatesOf(step: StepWork, {msPerToken = 0, slots, now}: RankGroupsOptions): Candidate[] {
	const left = step.groups.map((work, group) => ({work, group})).filter(({work}) => !work.isComplete);
	const target = step.targetGroups > 0 ? step.targetGroups : step.groups.length;
	const missing = target - (step.groups.length - left.length);
	return left
		.sort((a, b) => a.work.openTokens - b.work.openTokens)
		.map(({work, group}, index) => ({
			group,
			step,
			work,
			isNeeded: index < missing,
			durationMs: (work.openTokens + work.runningTokens) * msPerToken / Math.max(1, slots),
			slackMs: step.dueAt - now - (work.longestTokens * msPerToken),
			class: groupClass.inTime,
		}));
}

/** Marks the groups that can't be complete when they are due (Moore and Hodgson's algorithm, with its own choice of the group that yields). */
function markLate(candidates: readonly Candidate[], {msPerToken = 0, now}: RankGroupsOptions): void {
	const byDueAt = candidates.toSorted((a, b) => a.step.dueAt - b.step.dueAt);
	const accepted = new Set<Candidate>();
	const aheadByShare = new Map<string, Millis>();
	let endsAt = now;
	const count = (candidate: Candidate, sign: 1 | -1) => {
		endsAt += sign * candidate.durationMs;
		aheadByShare.set(candidate.step.share, (aheadByShare.get(candidate.step.share) ?? 0) + (sign * candidate.durationMs));
	};

	for (const candidate of byDueAt) {
		if (now + (candidate.work.longestTokens * msPerToken / estimateFactor) > candidate.step.dueAt) {
			candidate.class = classOfLate(candidate, now);
			continue;
		}

		accepted.add(candidate);
		count(candidate, 1);
		if (endsAt > candidate.step.dueAt) {
			const yielding = yieldingGroup(accepted, aheadByShare);
			accepted.delete(yielding);
			count(yielding, -1);
			yielding.class = classOfLate(yielding, now);
		}
	}
}

function classOfLate({isNeeded, step: {submittedAt, dueAt}}: Candidate, now: Millis): GroupClass {
	if (isNeeded) {
		return groupClass.late;
	}

	return now > dueAt + (dueAt - submittedAt) ? groupClass.worthless : groupClass.spare;
}

function yieldingGroup(accepted: Iterable<Candidate>, aheadByShare: ReadonlyMap<string, Millis>): Candidate {
	const [first, ...others] = accepted;
	let yielding = first!;
	for (const candidate of others) {
		const order = Number(yielding.isNeeded) - Number(candidate.isNeeded)
			|| aheadByShare.get(candidate.step.share)! - aheadByShare.get(yielding.step.share)!
			|| candidate.durationMs - yielding.durationMs;
		yielding = order > 0 ? candidate : yielding;
	}

	return yielding;
}

/** Expected tokens that engines run for each share. */
function runningByShare(steps: readonly StepWork[]): ReadonlyMap<string, number> {
	const running = new Map<string, number>();
	for (const {share, groups} of steps) {
		running.set(share, (running.get(share) ?? 0) + groups.reduce((sum, {runningTokens}) => sum + runningTokens, 0));
	}

	return running;
}

function compareInClass(a: Candidate, b: Candidate, running: ReadonlyMap<string, number>): number {
	if (a.class === groupClass.inTime) {
		return a.slackMs - b.slackMs;
	}

	return running.get(a.step.share)! - running.get(b.step.share)! || a.step.submittedAt - b.step.submittedAt || a.work.openTokens - b.work.openTokens;
}
