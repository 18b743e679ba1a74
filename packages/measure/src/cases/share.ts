import {
	baselines, Bench, fixedWindows, policy, type Variant,
} from '../bench.js';
import type {MeasurementCase, RunResult} from '../case.js';
import {maxMinShares, sum} from '../statistics.js';

const job = {tokens: 16, promptTokens: 32};
const engines = 2;
const phaseMs = 20_000;
const windowMs = 10_000;
/** Requests count as offered this long after they are sent, since those sent shortly before the end of a window are served in the next one. */
const serviceDelayMs = 500;
const deadlineMs = 2000;
const capShare = 0.3;
const burstSeconds = 2;
const weights = [5, 3, 2] as const;
const memberNames = ['a', 'b', 'c'] as const;
/** Offered load of each member in each phase, as a share of capacity. Member c offers ten times its load in phases 2 and 3. */
const phases = [
	[0.3, 0.2, 0.1],
	[0.6, 0.3, 1],
	[0.2, 0.6, 1],
	[0.6, 0.6, 0.1],
] as const;
const endMs = phaseMs * phases.length;
const withoutWeights: Variant = {name: 'policy without weights', kind: 'policy', hasNoWeights: true};

type WindowTokens = {offered: number[]; served: number[]};

function tokensPerRequest(): number {
	return job.tokens + job.promptTokens;
}

/** Schedules requests at nearly even intervals, so that random arrivals don't hide an unfair share. */
function scheduleLoad(bench: Bench, member: number, phase: number, share: number): void {
	const perSecond = share * bench.capacity(job);
	const count = Math.round(perSecond * phaseMs / 1000);
	const random = bench.simulation.random.fork();
	for (let index = 0; index < count; index++) {
		bench.scheduleAt((phase * phaseMs) + ((index + random.next()) * phaseMs / count), () => {
			bench.send({
				member: memberNames[member]!, requestClass: 'live', key: `${memberNames[member]}${phase}-${index}`, job, deadlineMs,
			});
		});
	}
}

function collectWindows(bench: Bench): WindowTokens[] {
	const windows = Array.from({length: endMs / windowMs}, (): WindowTokens => ({offered: [0, 0, 0], served: [0, 0, 0]}));
	const windowAt = (time: number): WindowTokens | undefined => windows[Math.floor((time - bench.startAt) / windowMs)];
	bench.simulation.recorder.listen(event => {
		const isSent = event.kind === 'caller-sent';
		if (!isSent && event.kind !== 'caller-chunk') {
			return;
		}

		const call = bench.collector.calls.get(event.requestId);
		const member = memberNames.indexOf(call?.member as 'a');
		const window = windowAt(isSent ? event.at + serviceDelayMs : event.at);
		if (window === undefined || member === -1) {
			return;
		}

		if (isSent) {
			window.offered[member]! += tokensPerRequest();
			return;
		}

		window.served[member]! += event.chunk.tokens + (event.chunk.offset === 0 ? job.promptTokens : 0);
	});
	return windows;
}

function run(variant: Variant, seed: number): RunResult {
	const probe = new Bench({
		seed, variant: {name: 'probe', kind: 'dispatcher', rule: 'round-robin'}, engines, members: {},
	});
	const capacityTokens = probe.capacity(job) * tokensPerRequest();
	const cap = capShare * capacityTokens;
	const bench = new Bench({
		seed, variant, engines, members: {a: {weight: 5}, b: {weight: 3}, c: {weight: 2, cap: {tokensPerSecond: cap}}},
	});
	const windows = collectWindows(bench);
	for (const [phase, shares] of phases.entries()) {
		for (const [member, share] of shares.entries()) {
			scheduleLoad(bench, member, phase, share);
		}
	}

	bench.runUntil(endMs + 5000);
	let maxDeviation = 0;
	let maxCapUse = 0;
	let minUtilization = 1;
	const worst: string[] = [];
	for (const [index, {offered, served}] of windows.entries()) {
		const total = sum(served);
		const limits = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY, cap * windowMs / 1000];
		const entitlements = maxMinShares(offered.map((demand, member) => ({weight: weights[member]!, demand: Math.min(demand, limits[member]!)})), total);
		for (const [member, share] of entitlements.entries()) {
			const deviation = Math.abs(served[member]! - share) / share;
			maxDeviation = Math.max(maxDeviation, deviation);
			if (deviation > 0.05) {
				worst.push(`window ${index * 10}-${(index + 1) * 10} s, member ${memberNames[member]}: served ${Math.round(served[member]!)} of entitled ${Math.round(share)} tokens (${Math.round(100 * deviation)}% off), offered ${Math.round(offered[member]!)}`);
			}
		}

		maxCapUse = Math.max(maxCapUse, served[2]! / (cap * ((windowMs / 1000) + burstSeconds)));
		const isUncappedMemberWaiting = served[0]! < offered[0]! * 0.95 || served[1]! < offered[1]! * 0.95;
		if (isUncappedMemberWaiting) {
			minUtilization = Math.min(minUtilization, total / (capacityTokens * windowMs / 1000));
		}
	}

	return {figures: {deviation: 100 * maxDeviation, cap: maxCapUse, used: 100 * minUtilization}, worst: worst.slice(0, 8)};
}

export const share: MeasurementCase = {
	name: 'share',
	setting: `${engines} engines, members a, b, c with weights 5:3:2, demand changes every 20 s, c floods tenfold from 20 s to 60 s and has a cap of ${100 * capShare}% of capacity; windows of 10 s`,
	figures: [
		{key: 'deviation', title: 'largest deviation from entitlement %', digits: 1},
		{key: 'cap', title: 'largest use of the cap with its burst', digits: 2},
		{key: 'used', title: 'capacity used while an uncapped member waits %', digits: 1},
	],
	bounds: [
		{figure: 'deviation', comparison: 'at most', limit: 5},
		{figure: 'cap', comparison: 'at most', limit: 1},
		{figure: 'used', comparison: 'at least', limit: 95},
	],
	variants: [policy, withoutWeights, fixedWindows, ...baselines],
	run,
};
