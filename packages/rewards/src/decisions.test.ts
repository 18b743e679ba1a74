import {
	unclaimed, type BatchPlan, type BatchView, type ItemClaim,
} from '@cicadapost/batches';
import type {BatchId, ItemId, ModelId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {callShare} from './call-share.js';
import {
	callDeadline, decideAfterCall, type CallEnd, type CallHistory,
} from './decide-follow-up.js';
import {planCalls, type WaitingCall} from './plan-calls.js';
import {planTakeovers} from './plan-takeovers.js';

const fresh: CallHistory = {failures: 0, retries: 0};

describe('decideAfterCall', () => {
	it('completes a sample only with the signature of a successful response', () => {
		expect(decideAfterCall({kind: 'scored', score: 's'}, fresh, 3)).toEqual({kind: 'list', state: 'completed', score: 's'});
		const withoutScore: CallEnd[] = [
			{kind: 'answered', status: 404}, {kind: 'answered', status: 204}, {kind: 'unanswered', reason: 'cut'}, {kind: 'timed-out'}, {kind: 'refused', retryAfterMs: 80, reason: 'full'},
		];
		for (const end of withoutScore) {
			expect(decideAfterCall(end, {failures: 2, retries: 50}, 3)).toMatchObject({kind: 'again'});
		}
	});

	it('gives up a call that fails each time after exactly the allowed attempts, whatever else happens in between', () => {
		let history = fresh;
		const ends: CallEnd[] = [
			{kind: 'answered', status: 500}, {kind: 'timed-out'}, {kind: 'answered', status: 500}, {kind: 'refused', retryAfterMs: 80, reason: 'full'},
		];
		for (const end of ends) {
			const followUp = decideAfterCall(end, history, 3);
			expect(followUp.kind).toBe('again');
			history = followUp.kind === 'again' ? followUp.history : history;
		}

		expect(decideAfterCall({kind: 'answered', status: 500}, history, 3)).toEqual({kind: 'list', state: 'terminated'});
	});

	it('waits longer after each try without a response, and at least as long as an upstream asks for', () => {
		const delayAfter = (end: CallEnd, retries: number) => {
			const followUp = decideAfterCall(end, {failures: 0, retries}, 3);
			return followUp.kind === 'again' ? followUp.afterMs : undefined;
		};

		expect([0, 1, 2, 10].map(retries => delayAfter({kind: 'timed-out'}, retries))).toEqual([40, 80, 160, 640]);
		expect(delayAfter({kind: 'refused', retryAfterMs: 900, reason: 'limit'}, 0)).toBe(900);
	});

	it('gives slow work more time after each timeout, within the timeout of the route', () => {
		const route = {targetLatencyMs: 200, timeoutMs: 1000};
		expect([0, 1, 2, 3].map(retries => callDeadline({...route, retries}))).toEqual([400, 800, 1000, 1000]);
		expect(callDeadline({targetLatencyMs: 500, timeoutMs: 60_000, retries: 9})).toBe(1500);
	});
});

describe('planCalls', () => {
	const call = (itemKey: string, fields: Partial<WaitingCall> = {}): WaitingCall => ({
		itemKey, dueAt: 1000, missingInGroup: 4, notBefore: 0, ...fields,
	});
	const options = {
		share: {maxInFlight: 2, pauseFactor: 0}, inFlight: 0, pausedUntil: 0, now: 100,
	};

	it('sends those of the batch that is due first, and of its groups those that miss the fewest results', () => {
		const calls = [call('late', {dueAt: 2000, missingInGroup: 1}), call('wide'), call('nearly', {missingInGroup: 1})];
		expect(planCalls({...options, calls}).start).toEqual(['nearly', 'wide']);
	});

	it('skips calls that wait for another try, so that calls that always fail do not hold up the others', () => {
		const failing = Array.from({length: 50}, (_, index) => call(`failing-${index}`, {dueAt: 0, notBefore: 140 + index}));
		expect(planCalls({...options, calls: [...failing, call('sound')]})).toEqual({start: ['sound'], planAgainAt: 140});
	});

	it('sends nothing above the share or during a pause', () => {
		expect(planCalls({...options, inFlight: 2, calls: [call('a')]})).toEqual({start: [], planAgainAt: undefined});
		expect(planCalls({...options, pausedUntil: 130, calls: [call('a')]})).toEqual({start: [], planAgainAt: 130});
	});
});

describe('planTakeovers', () => {
	const rewarding = (incarnation: string | undefined): ItemClaim => ({
		kind: 'rewarding', incarnation, rewardFailures: 0, failures: 0, hasPartialText: true,
	});
	const plan: BatchPlan = {
		host: 'h', path: '/p/', step: 1, model: 'm' as ModelId, minVersion: 1, targetGroups: 1, submittedAt: 0, hasRewards: true,
		groups: [0, 1].map(group => ({items: [0, 1, 2].map(item => ({id: `${group}.${item}` as ItemId, expectedTokens: 1}))})),
	};
	const view: BatchView = {
		id: 'b' as BatchId, plan, planVersion: 1, count: 0, isEnded: false,
		claims: [
			{version: 2, items: [rewarding('dead'), rewarding('alive'), rewarding(undefined)]},
			{version: 2, items: [rewarding('alive'), unclaimed, {kind: 'listed'}]},
		],
	};
	const isHolderAlive = (claim: Extract<ItemClaim, {kind: 'rewarding'}>) => claim.incarnation === 'alive';

	it('takes over the texts of dead daemons and those left behind, and no others', () => {
		expect(planTakeovers({batches: [view], isHolderAlive, isResponsible: () => true})).toEqual([{batch: 'b', group: 0, items: [0, 2]}]);
	});

	it('leaves texts to the daemon that is responsible for their group', () => {
		expect(planTakeovers({batches: [view], isHolderAlive, isResponsible: (_, group) => group === 1})).toEqual([]);
	});
});

describe('callShare', () => {
	it('leaves half of the slots to callers, whatever the number of senders', () => {
		for (const [slots, senders] of [[18, 6], [36, 27], [16, 1], [6, 40], [7, 3]] as const) {
			const {maxInFlight, pauseFactor} = callShare({slots, senders});
			// A sender has `maxInFlight` calls in flight for one part of the time and none during the pauses.
			expect((senders * maxInFlight) / (1 + pauseFactor)).toBeLessThanOrEqual((slots / 2) + 0.001);
		}
	});

	it('still sends one call at a time if no upstream is listed, so that the first one is used at once', () => {
		expect(callShare({slots: 0, senders: 3})).toEqual({maxInFlight: 1, pauseFactor: 0});
	});

	describe('at the end of a step, beside requests of callers', () => {
		const slots = 18;
		const callMs = 114;
		const lookupMs = 30;
		const aimMs = 234;
		const stepMs = 1;

		/** Plays upstreams that admit requests in order of arrival. Returns the latencies of the lookups and when the last call ended. */
		const play = ({senders, callsPerSender, limit}: Readonly<{senders: number; callsPerSender: number; limit: boolean}>) => {
			const share = limit ? callShare({slots, senders}) : {maxInFlight: callsPerSender, pauseFactor: 0};
			const daemons = Array.from({length: senders}, () => ({
				left: Array.from({length: callsPerSender}, (_, index) => call(String(index))), inFlight: 0, pausedUntil: 0,
			}));
			const queue: Array<Readonly<{at: number; ms: number; onEnd: (now: number) => void}>> = [];
			const running: Array<Readonly<{endsAt: number; onEnd: (now: number) => void}>> = [];
			const latencies: number[] = [];
			const lastCall = {endedAt: 0};
			for (let now = 0; now < 6000; now += stepMs) {
				for (const daemon of daemons) {
					const {start} = planCalls({
						calls: daemon.left, share, inFlight: daemon.inFlight, pausedUntil: daemon.pausedUntil, now,
					});
					for (const itemKey of start) {
						daemon.left = daemon.left.filter(one => one.itemKey !== itemKey);
						daemon.inFlight += 1;
						queue.push({
							at: now, ms: callMs, onEnd(endedAt) {
								daemon.inFlight -= 1;
								daemon.pausedUntil = endedAt + ((endedAt - now) * share.pauseFactor);
								lastCall.endedAt = endedAt;
							},
						});
					}
				}

				if (now % 50 === 0 && now < 3000) {
					queue.push({
						at: now, ms: lookupMs, onEnd(endedAt) {
							latencies.push(endedAt - now);
						},
					});
				}

				for (const ended of running.filter(({endsAt}) => endsAt <= now)) {
					running.splice(running.indexOf(ended), 1);
					ended.onEnd(now);
				}

				for (const next of queue.splice(0, slots - running.length)) {
					running.push({endsAt: now + next.ms, onEnd: next.onEnd});
				}
			}

			return {onTime: latencies.filter(ms => ms <= aimMs).length / latencies.length, latencies, lastCallEndedAt: lastCall.endedAt};
		};

		const call = (itemKey: string): WaitingCall => ({
			itemKey, dueAt: 0, missingInGroup: 1, notBefore: 0,
		});
		const wave = {senders: 6, callsPerSender: 16};

		it('delays requests of callers beyond their target without the share, so that the next case can fail', () => {
			expect(play({...wave, limit: false}).onTime).toBeLessThan(0.95);
		});

		it('serves requests of callers as soon as without the calls, and ends all calls within the slack of a step', () => {
			const {latencies, lastCallEndedAt} = play({...wave, limit: true});
			expect(Math.max(...latencies)).toBeLessThanOrEqual(lookupMs + stepMs);
			expect(lastCallEndedAt).toBeLessThan(2500);
		});
	});
});
