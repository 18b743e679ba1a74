import type {DaemonId, MemberId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	ack, fetch, groupsOf, RolloutBench, submission,
} from './rollout-bench.js';

const a = 'a' as DaemonId;
const b = 'b' as DaemonId;
const c = 'c' as DaemonId;

/** Returns a bench with `count` groups that are submitted and finished. */
function finishedStep(count: number): RolloutBench {
	const bench = new RolloutBench();
	for (let group = 0; group < count; group++) {
		bench.ask(a, submission(group));
	}

	bench.finishAll();
	return bench;
}

describe('submit', () => {
	it('answers only when the group is durable, so that no group is lost with its owner', () => {
		const bench = new RolloutBench();
		const call = bench.send(b, submission(0));
		expect(bench.answers.get(call)).toBeUndefined();
		bench.deliverAll();
		expect(bench.answers.get(call)).toMatchObject({kind: 'submitted', durable: true});
		expect([...bench.store.rows.keys()]).toEqual(['sfax/1/0']);
		expect([...bench.store.objects.values()]).toEqual(['rota 0']);
	});

	it('runs a group only once if it is submitted at two daemons', () => {
		const bench = new RolloutBench();
		bench.ask(b, submission(0));
		bench.ask(c, submission(0));
		expect(bench.runs.size).toBe(2);
	});

	it('rejects the same group with another body, before and after the loss of the owner', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		const changed = submission(0, {prompt: 'another rota'});
		expect(bench.ask(b, changed)).toMatchObject({problem: {kind: 'idempotency-conflict', outcome: 'not-run'}});
		bench.kill(a);
		expect(bench.ask(c, changed)).toMatchObject({problem: {kind: 'idempotency-conflict'}});
	});

	it('accepts a group as not durable while the store is down, and writes it later', () => {
		const bench = new RolloutBench();
		bench.fault = () => 'down';
		expect(bench.ask(b, submission(0))).toMatchObject({kind: 'submitted', durable: false});
		bench.fault = () => 'none';
		bench.run(1500);
		expect(bench.ask(b, submission(0))).toMatchObject({kind: 'submitted', durable: true});
	});

	it('isolates the groups of different members', () => {
		const bench = finishedStep(1);
		const other = 'sfax/1' as MemberId;
		expect(groupsOf(bench.ask(a, fetch('f'), other))).toEqual([]);
		expect(bench.ask(a, submission(0, {prompt: 'mine'}), other)).toMatchObject({kind: 'submitted'});
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([0]);
	});
});

describe('samples', () => {
	it('gives each sample its own seed, which stays the same after the loss of the owner', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		const before = [...bench.runs.values()].map(run => run.seed);
		bench.kill(a);
		bench.ask(b, fetch('f'));
		expect(new Set(before).size).toBe(2);
		expect([...bench.runs.values()].map(run => run.seed)).toEqual(before);
	});

	it('retries a failed sample after a delay that grows', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0, {samples: 1}));
		bench.fail([...bench.runs.keys()][0]!);
		bench.advance(400);
		expect(bench.runs.size).toBe(0);
		bench.advance(200);
		expect(bench.runs.size).toBe(1);
		bench.fail([...bench.runs.keys()][0]!);
		bench.advance(600);
		expect(bench.runs.size).toBe(0);
	});

	it('rejects a sample with tokens that have no version', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0, {samples: 1}));
		bench.finish([...bench.runs.keys()][0]!, [{from: 0, to: 2, version: 1}, {from: 3, to: 4, version: 1}]);
		bench.deliverAll();
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([]);
	});

	it('reports each version of a sample during which the weights changed', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0, {samples: 1}));
		const versions = [{from: 0, to: 2, version: 1}, {from: 2, to: 4, version: 2}];
		bench.finish([...bench.runs.keys()][0]!, versions);
		bench.deliverAll();
		expect(bench.ask(b, fetch('f', {currentVersion: 2}))).toMatchObject({groups: [{samples: [{tokens: 4, versions}]}]});
	});

	describe('stragglers', () => {
		function withStraggler(tokens: number): RolloutBench {
			const bench = new RolloutBench(['a']);
			bench.ask(a, submission(0, {samples: 4, maxTokens: 100}));
			bench.advance(1000);
			const [straggler, ...others] = [...bench.runs.keys()];
			bench.dispatch(a, {
				kind: 'sample-chunk', requestId: straggler!, chunk: {
					offset: 0, tokens, version: 1, text: 'slow;',
				},
			});
			for (const requestId of others) {
				bench.finish(requestId, [{from: 0, to: 100, version: 1}]);
			}

			bench.deliverAll();
			bench.run(3000);
			return bench;
		}

		it('uses the run that finishes first and cancels the other, so that a sample never counts twice', () => {
			const bench = withStraggler(1);
			const [first, second] = [...bench.runs.keys()];
			expect(bench.runs.size).toBe(2);
			expect(bench.runs.get(second!)?.seed).toBe(bench.runs.get(first!)?.seed);
			bench.finish(second!, [{from: 0, to: 100, version: 1}]);
			expect(bench.runs.size).toBe(0);
			bench.dispatch(a, {
				kind: 'sample-finished', requestId: first!, tokens: 1, versions: [{from: 0, to: 1, version: 1}],
			});
			bench.deliverAll();
			const answer = bench.ask(a, fetch('f'));
			expect(answer).toMatchObject({groups: [{samples: [{text: `${second!}@1;`}, {}, {}, {}]}]});
		});

		it('starts no second run for a long sample at the usual rate, since the second run would not finish earlier', () => {
			expect(withStraggler(400).runs.size).toBe(1);
		});
	});
});

describe('fetch', () => {
	it('hands over only complete groups', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		bench.finish([...bench.runs.keys()][0]!);
		expect(bench.ask(a, fetch('f'))).toMatchObject({groups: [], open: 1});
	});

	it('returns the same groups to a repeat at any daemon, and none of them to another fetchId', () => {
		const bench = finishedStep(3);
		const first = bench.ask(a, fetch('f', {max: 2}));
		expect(groupsOf(first)).toEqual([0, 1]);
		expect(bench.ask(b, fetch('f', {max: 2}))).toEqual(first);
		expect(groupsOf(bench.ask(c, fetch('g')))).toEqual([2]);
		bench.kill(a);
		expect(bench.ask(c, fetch('f', {max: 2}))).toEqual({...first, open: 0});
		expect(groupsOf(bench.ask(c, fetch('h')))).toEqual([]);
	});

	it('returns the same groups to a repeat at a daemon that read the rows before the hand-over', () => {
		const bench = new RolloutBench();
		bench.ownerSeenBy = daemon => daemon;
		expect(groupsOf(bench.ask(b, fetch('f')))).toEqual([]);
		for (const group of [0, 1]) {
			bench.ask(a, submission(group));
			bench.finishAll();
		}

		const first = bench.ask(a, fetch('f', {max: 1}));
		bench.advance(1000);
		expect(bench.ask(b, fetch('f', {max: 1}))).toEqual(first);
		expect(groupsOf(bench.ask(b, fetch('g', {max: 1})))).toEqual([1]);
		expect(bench.ask(a, fetch('g', {max: 1}))).toMatchObject({groups: [{group: 1}]});
	});

	it('reads the groups of the previous owner when the set of live daemons changes', () => {
		const bench = new RolloutBench();
		bench.ownerSeenBy = daemon => daemon;
		bench.ask(b, fetch('f'));
		bench.ask(a, submission(0));
		bench.ownerSeenBy = () => b;
		bench.refreshOwners();
		bench.deliverAll();
		expect([...bench.runs.values()].map(run => run.daemon)).toEqual([b, b]);
	});

	it('returns different groups to two concurrent fetches', () => {
		const bench = finishedStep(2);
		const calls = [bench.send(a, fetch('f', {max: 1})), bench.send(b, fetch('g', {max: 1}))];
		bench.deliverAll();
		expect(calls.map(call => groupsOf(bench.answers.get(call)))).toEqual([[0], [1]]);
	});

	it('hands a group over only once when two daemons believe that they own the step', () => {
		const bench = finishedStep(1);
		bench.ownerSeenBy = daemon => daemon;
		bench.ask(b, fetch('other', {step: 2}));
		const calls = [bench.send(a, fetch('f')), bench.send(b, fetch('g'))];
		bench.deliverAll();
		expect(calls.flatMap(call => groupsOf(bench.answers.get(call)))).toEqual([0]);
	});

	it('keeps the samples of the daemon that wrote its row first when two daemons run a group', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		bench.ownerSeenBy = daemon => daemon;
		bench.ask(b, fetch('f'));
		expect(bench.runs.size).toBe(4);
		const [own, others] = [[...bench.runs.values()].filter(run => run.daemon === a), [...bench.runs.values()].filter(run => run.daemon === b)];
		for (const run of [...others, ...own]) {
			bench.finish(run.requestId);
			bench.deliverAll();
		}

		expect(bench.ask(a, fetch('f'))).toEqual(bench.ask(b, fetch('f')));
		expect([...bench.store.objects.keys()].filter(key => key.startsWith('samples/'))).toHaveLength(1);
	});

	it('reads the row back to resolve a hand-over whose store answer was lost', () => {
		const bench = finishedStep(1);
		bench.fault = action => (action.kind === 'write-row' ? 'lost-answer' : 'none');
		expect(bench.ask(b, fetch('f'))).toMatchObject({groups: [{group: 0}], durable: true});
		bench.fault = () => 'none';
		expect(groupsOf(bench.ask(b, fetch('g')))).toEqual([]);
	});

	it('replaces a sample whose oldest tokens are stale, and never delivers it', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		const [first, second] = [...bench.runs.keys()];
		bench.finish(first!, [{from: 0, to: 1, version: 1}, {from: 1, to: 4, version: 3}]);
		bench.finish(second!, [{from: 0, to: 4, version: 2}]);
		bench.deliverAll();
		expect(groupsOf(bench.ask(a, fetch('f', {currentVersion: 3})))).toEqual([]);
		expect(bench.runs.size).toBe(1);
		bench.finishAll(3);
		expect(bench.ask(a, fetch('f', {currentVersion: 3}))).toMatchObject({groups: [{samples: [{versions: [{version: 3}]}, {versions: [{version: 2}]}]}]});
	});

	it('checks the staleness of a repeat against the current version of the trainer', () => {
		const bench = finishedStep(1);
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([0]);
		expect(groupsOf(bench.ask(a, fetch('f', {currentVersion: 3})))).toEqual([]);
		bench.finishAll(3);
		expect(groupsOf(bench.ask(a, fetch('f', {currentVersion: 3})))).toEqual([0]);
	});

	it('reruns stale samples with the prompt from the store after the loss of the owner', () => {
		const bench = finishedStep(1);
		bench.kill(a);
		expect(groupsOf(bench.ask(b, fetch('f', {currentVersion: 9})))).toEqual([]);
		expect([...bench.runs.values()].map(run => run.prompt)).toEqual(['rota 0', 'rota 0']);
	});

	it('lists groups unknown to the owner as missing, so that the trainer submits them again', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(2));
		expect(bench.ask(a, fetch('f', {received: [0], submitted: 5}))).toMatchObject({missing: [1, 3, 4]});
	});

	it('ignores a duplicate of a forwarded fetch that arrives after the original was answered', () => {
		const bench = new RolloutBench();
		bench.send(b, fetch('f'));
		const copy = bench.inFlight[0]!;
		bench.deliverAll();
		bench.ask(a, submission(0));
		bench.finishAll();
		bench.inFlight.push(copy);
		bench.deliverAll();
		expect(groupsOf(bench.ask(a, fetch('g')))).toEqual([0]);
	});
});

describe('ack', () => {
	it('deletes the objects, frees the memory and closes the fetchId', () => {
		const bench = finishedStep(2);
		bench.ask(a, fetch('f', {max: 1}));
		expect(bench.ask(b, ack('f'))).toMatchObject({groups: [0], durable: true});
		expect(bench.store.rows.get('sfax/1/0')?.value).toContain('"acked"');
		expect([...bench.store.objects.keys()].filter(key => key.includes('/1/0/'))).toEqual([]);
		expect(bench.daemons.get(a)?.steps.get('sfax/1')?.groups.get(0)).toMatchObject({slots: [], prompt: undefined});
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([]);
		expect(groupsOf(bench.ask(a, fetch('g')))).toEqual([1]);
	});

	it('does not deliver a group again when the owner dies between hand-over and ack', () => {
		const bench = finishedStep(1);
		bench.ask(a, fetch('f'));
		bench.kill(a);
		expect(bench.ask(b, ack('f'))).toMatchObject({groups: [0]});
		expect(groupsOf(bench.ask(b, fetch('g')))).toEqual([]);
		expect(bench.runs.size).toBe(0);
	});
});

describe('a hand-over that takes effect late', () => {
	/** A daemon that lost its ownership hands over group 1 to `f` after the new owner has answered `f` with group 0. */
	function lateHandOver(named?: readonly number[]): RolloutBench {
		const bench = finishedStep(2);
		bench.send(a, fetch('f'));
		bench.inFlight.reverse();
		const late = bench.inFlight.shift()!;
		bench.deliverAll();
		bench.ownerSeenBy = () => b;
		bench.refreshOwners();
		expect(groupsOf(bench.ask(b, fetch('f')))).toEqual([0]);
		bench.ask(b, ack('f', named));
		bench.inFlight.push(late);
		bench.deliverAll();
		expect(bench.store.rows.get('sfax/1/1')?.value).toContain('"fetchId":"f"');
		return bench;
	}

	it('does not lose the group, with the same owner or the next one', () => {
		const bench = lateHandOver([0]);
		bench.ask(b, fetch('g'));
		expect(groupsOf(bench.ask(b, fetch('g')))).toEqual([1]);
		const other = lateHandOver([0]);
		other.kill(b);
		other.ownerSeenBy = () => c;
		other.refreshOwners();
		other.ask(c, fetch('g'));
		other.run(100);
		expect(groupsOf(other.ask(c, fetch('g')))).toEqual([1]);
	});

	it('does not lose the group if the trainer acknowledges without a list and sends its list later', () => {
		const bench = lateHandOver();
		bench.ask(b, fetch('g'));
		expect(groupsOf(bench.ask(b, fetch('g')))).toEqual([]);
		bench.ask(b, fetch('h', {received: [0]}));
		bench.run(100);
		expect(groupsOf(bench.ask(b, fetch('h', {received: [0]})))).toEqual([1]);
	});

	it('does not release a group whose acknowledgement was interrupted', () => {
		const bench = finishedStep(2);
		bench.ask(a, fetch('f'));
		bench.send(a, ack('f', [0, 1]));
		bench.deliver(0);
		bench.kill(a);
		bench.deliverAll();
		expect(groupsOf(bench.ask(b, fetch('g')))).toEqual([]);
		expect(bench.store.rows.get('sfax/1/1')?.value).toContain('"acked"');
	});
});

describe('loss of the owner', () => {
	it('answers calls in flight from the new owner, which runs only unfinished groups', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		bench.finishAll();
		bench.ask(a, submission(1));
		const call = bench.send(c, fetch('f'));
		bench.kill(a);
		bench.run(300);
		expect(groupsOf(bench.answers.get(call))).toEqual([0]);
		expect([...bench.runs.values()].map(run => [run.daemon, run.prompt])).toEqual([[b, 'rota 1'], [b, 'rota 1']]);
	});
});

describe('a change of owner', () => {
	it('continues the step at the new owner before the trainer calls again', () => {
		const bench = new RolloutBench();
		bench.ask(c, submission(0));
		bench.kill(a);
		bench.deliverAll();
		expect([...bench.runs.values()].map(run => run.daemon)).toEqual([b, b]);
	});

	it('cancels the runs of the old owner and passes its open calls on', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		bench.finishAll();
		const call = bench.send(a, fetch('f'));
		bench.ownerSeenBy = () => b;
		bench.refreshOwners();
		bench.run(300);
		expect(groupsOf(bench.answers.get(call))).toEqual([0]);
		expect(bench.daemons.get(a)?.steps.size).toBe(0);
		expect(groupsOf(bench.ask(c, fetch('g')))).toEqual([]);
	});
});

describe('store down', () => {
	it('hands over only to a fetch with the list of received groups', () => {
		const bench = finishedStep(2);
		bench.fault = () => 'down';
		bench.ask(a, submission(9));
		expect(bench.ask(a, fetch('f'))).toMatchObject({problem: {kind: 'store-unavailable', outcome: 'not-run', retryAfterMs: 2000}});
		expect(bench.ask(b, fetch('f', {received: [0]}))).toMatchObject({groups: [{group: 1}], durable: false});
		expect(groupsOf(bench.ask(c, fetch('g', {received: [0, 1]})))).toEqual([]);
	});

	it('reports an unknown outcome when the store goes down after a hand-over was sent to it', () => {
		const bench = finishedStep(1);
		bench.fault = () => 'down';
		expect(bench.ask(a, fetch('f'))).toMatchObject({problem: {kind: 'store-unavailable', outcome: 'unknown'}});
		bench.fault = () => 'none';
		bench.run(1500);
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([0]);
	});

	/** Hands over group 0 to `f` during a store outage that then ends. */
	function handedFromMemory(): RolloutBench {
		const bench = finishedStep(2);
		bench.fault = () => 'down';
		bench.ask(a, submission(9));
		expect(groupsOf(bench.ask(a, fetch('f', {received: [], max: 1})))).toEqual([0]);
		bench.fault = () => 'none';
		bench.run(1500);
		return bench;
	}

	it('returns a group that was handed over during the outage to no other fetchId once the store is back', () => {
		const bench = handedFromMemory();
		expect(groupsOf(bench.ask(a, fetch('g')))).toEqual([1]);
		expect(groupsOf(bench.ask(a, fetch('f')))).toEqual([0]);
		expect(bench.store.rows.get('sfax/1/0')?.value).toContain('"fetchId":"f"');
	});

	it('does not record a hand-over during the outage that the trainer may not have received, even if the group finished during the outage', () => {
		const bench = new RolloutBench();
		bench.ask(a, submission(0));
		bench.fault = () => 'down';
		bench.ask(a, submission(9));
		bench.finishAll();
		expect(groupsOf(bench.ask(a, fetch('f', {received: [], max: 1})))).toEqual([0]);
		bench.fault = () => 'none';
		bench.run(1500);
		expect(bench.store.rows.get('sfax/1/0')?.value).toContain('"phase":"complete"');
	});

	it('records groups that the trainer lists as received, so that a new owner neither runs nor delivers them', () => {
		const bench = handedFromMemory();
		bench.kill(a);
		expect(groupsOf(bench.ask(b, fetch('g', {received: [0]})))).toEqual([1]);
		bench.run(100);
		expect(bench.store.rows.get('sfax/1/0')?.value).toContain('"acked"');
		bench.kill(b);
		expect(groupsOf(bench.ask(c, fetch('h')))).toEqual([]);
		expect(bench.runs.size).toBe(2);
	});

	it('releases a group that is not among those the trainer acknowledges with the fetchId, whichever daemon handed those over', () => {
		const bench = handedFromMemory();
		bench.ask(a, ack('f', [7]));
		expect(groupsOf(bench.ask(a, fetch('g', {received: [7]})))).toEqual([0, 1]);
	});

	it('hands over nothing to a fetchId that the trainer has acknowledged', () => {
		const bench = finishedStep(1);
		bench.ask(a, ack('f', [7]));
		expect(groupsOf(bench.ask(a, fetch('f', {received: [7]})))).toEqual([]);
		expect(groupsOf(bench.ask(a, fetch('g', {received: [7]})))).toEqual([0]);
	});

	it('releases a group that the trainer does not list after a minute, but not to a concurrent fetch', () => {
		const bench = handedFromMemory();
		expect(groupsOf(bench.ask(a, fetch('g', {received: []})))).toEqual([1]);
		bench.run(60_000);
		expect(groupsOf(bench.ask(a, fetch('h', {received: [1]})))).toEqual([0]);
	});

	it('does not lose a group that a partitioned owner handed over in an answer that was lost', () => {
		const bench = handedFromMemory();
		bench.ownerSeenBy = () => b;
		bench.refreshOwners();
		expect(groupsOf(bench.ask(b, fetch('f', {received: [0]})))).toEqual([1]);
	});

	it('limits the rate of writes after an outage', () => {
		const bench = new RolloutBench(['a']);
		bench.fault = () => 'down';
		for (let group = 0; group < 100; group++) {
			bench.ask(a, submission(group));
		}

		bench.finishAll();
		bench.fault = () => 'none';
		bench.run(1100);
		const before = bench.store.writes;
		bench.run(1000);
		expect(bench.store.writes - before).toBeLessThanOrEqual(75 + 7);
		expect(bench.store.writes - before).toBeGreaterThan(60);
		bench.run(5000);
		expect(bench.store.rows.size).toBe(100);
	});
});

describe('resource bounds', () => {
	it('needs four row writes per group, and removes an idle step from memory after an hour', () => {
		const bench = finishedStep(1);
		bench.ask(a, fetch('f'));
		bench.ask(a, ack('f'));
		expect(bench.store.rows.get('sfax/1/0')?.version).toBe(4);
		expect(bench.store.writes).toBe(8);
		bench.advance(3_600_000);
		bench.advance(100);
		expect(bench.daemons.get(a)?.steps.size).toBe(0);
		expect(bench.daemons.get(a)?.storeCalls.size).toBe(0);
		expect(bench.store.rows.size).toBe(1);
	});
});
