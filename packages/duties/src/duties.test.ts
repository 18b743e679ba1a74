import {TableCopy, type StoredRow} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {Clock, type DaemonId, type Millis} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {backOffMs, minCallIntervalMs} from './call-pace.js';
import {shouldTryDuty} from './decide-candidate.js';
import {
	DutyClient, type CallLimits, type DutyCall, type DutyOutcome,
} from './duty-client.js';
import {decodeDuty, encodeDuty} from './duty-record.js';
import {DutyRunner} from './duty-runner.js';

const leaseMs = 3000;
const [d1, d2] = ['d1', 'd2'] as DaemonId[] as [DaemonId, DaemonId];

class VmClock extends Clock {
	steady = 0;
	wall = 1_000_000;

	override now(): Millis {
		return this.steady;
	}

	override wallTime(): Millis {
		return this.wall;
	}
}

class Receiver extends DutyClient {
	readonly calls: Array<DutyCall & Readonly<{at: Millis}>> = [];
	answer: (call: DutyCall, limits: CallLimits) => DutyOutcome = () => ({kind: 'done'});

	constructor(private readonly time: () => Millis) {
		super();
	}

	override dutyOf(): undefined {
		return undefined;
	}

	override encodeUsage(): Uint8Array {
		return new Uint8Array();
	}

	override encodeScale(): Uint8Array {
		return new Uint8Array();
	}

	override async send(call: DutyCall, limits: CallLimits): Promise<DutyOutcome> {
		this.calls.push({...call, at: this.time()});
		return this.answer(call, limits);
	}
}

/** A runner that always has a call to make and sees no other member. The fleet's table reaches it whenever `sync` is called. */
function createRunner(self: DaemonId, store: MemoryRowStore, client: Receiver, members: readonly DaemonId[] = [self]) {
	const clock = new VmClock();
	const copy = new TableCopy('fleet');
	const runner = new DutyRunner({
		clock,
		store,
		client,
		follower: {
			copy,
			mergeRows: (rows: readonly StoredRow[]) => copy.apply(rows.map(row => ({kind: 'written', row})), clock.steady),
		},
		duty: 'usage',
		subject: '',
		self,
		leaseMs,
		members: () => members,
		minIntervalMs: () => 100,
		work: {
			dueSince: () => 0,
			prepare: async note => ({body: new Uint8Array(), note, noteAfter: () => Number(note ?? 0) + 1}),
		},
		random: () => 0.5,
		onDutyReport: () => undefined,
	});
	const sync = () => copy.replace(store.all(), Number.MAX_SAFE_INTEGER, clock.steady);
	return {
		clock, runner, sync, self,
	};
}

describe('DutyRunner', () => {
	const setUp = (members?: readonly DaemonId[]) => {
		let time = 0;
		const store = new MemoryRowStore();
		const receiver = new Receiver(() => time);
		const runners = [d1, d2].map(self => createRunner(self, store, receiver, members));
		const advance = async (ms: Millis, running = runners) => {
			for (const end = time + ms; time < end;) {
				time += 50;
				for (const {clock, runner, sync} of running) {
					clock.steady += 50;
					clock.wall += 50;
					sync();
					await runner.run();
				}
			}
		};

		return {
			store, receiver, runners, advance,
		};
	};

	it('lets one daemon make all calls while two believe that the other is gone', async () => {
		const {receiver, advance} = setUp();
		await advance(10_000);
		expect(receiver.calls.length).toBeGreaterThan(50);
		expect(new Set(receiver.calls.map(({holder, fencingToken}) => `${holder}/${fencingToken}`))).toEqual(new Set(['d1/1']));
	});

	it('passes the duty on with a higher token, and only after the lease has rested', async () => {
		const {receiver, runners, advance} = setUp();
		await advance(1000);
		const lastOfFirst = receiver.calls.at(-1)!.at;
		await advance(6000, runners.slice(1));
		const first = receiver.calls.find(({holder}) => holder === d2);
		expect(first).toMatchObject({fencingToken: 2});
		expect(first!.at - lastOfFirst).toBeGreaterThan(leaseMs + 500);
		// The former holder resumes with an old copy of the row and learns from the conflict.
		await runners[0]!.runner.run();
		expect(receiver.calls.at(-1)).toMatchObject({holder: d2});
	});

	it('makes no call under a permit to which the store responded late on either clock', async () => {
		for (const delay of [{steady: 600, wall: 600}, {steady: 0, wall: 4000}, {steady: 0, wall: -4000}]) {
			const {store, receiver, runners: [runner]} = setUp();
			const transact = store.transact.bind(store);
			store.transact = async transaction => {
				runner!.clock.steady += delay.steady;
				runner!.clock.wall += delay.wall;
				return transact(transaction);
			};

			await runner!.runner.run();
			expect(receiver.calls).toEqual([]);
		}
	});

	it('makes no call under a permit whose confirmation was lost, though the row exists', async () => {
		const {store, receiver, runners: [runner]} = setUp();
		store.fault = 'answers-lost';
		await runner!.runner.run();
		expect(store.all()).toHaveLength(1);
		expect(receiver.calls).toEqual([]);
	});

	it('calls a receiver that fails ever more rarely', async () => {
		const {receiver, advance} = setUp();
		receiver.answer = () => ({kind: 'unknown', cause: 'no response'});
		await advance(30_000);
		expect(receiver.calls.length).toBeLessThan(16);
	});

	it('lets another daemon try if the holder can\'t reach the receiver, after the lease has rested', async () => {
		const {receiver, advance} = setUp([d1, d2]);
		await advance(2000);
		const {holder} = receiver.calls.at(-1)!;
		receiver.answer = call => (call.holder === holder ? {kind: 'not-sent', cause: 'no connection'} : {kind: 'done'});
		await advance(8000);
		const lastOfHolder = receiver.calls.findLast(call => call.holder === holder)!;
		const firstOfOther = receiver.calls.find(call => call.holder !== holder)!;
		expect(firstOfOther.at - lastOfHolder.at).toBeGreaterThan(leaseMs + 500);
		expect(receiver.calls.at(-1)!.holder).toBe(firstOfOther.holder);
		expect(firstOfOther.fencingToken).toBe(lastOfHolder.fencingToken + 1);
	});

	it('tells the client to abort a call that would arrive after the lease', async () => {
		const {receiver, runners: [runner]} = setUp();
		const overdue: boolean[] = [];
		receiver.answer = (call, limits) => {
			overdue.push(limits.isOverdue());
			runner!.clock.wall += 2900;
			overdue.push(limits.isOverdue(), limits.canSend());
			return {kind: 'unknown', cause: 'aborted'};
		};

		await runner!.runner.run();
		expect(overdue).toEqual([false, true, false]);
	});

	it('leaves a row alone that another build wrote in a form that it can\'t read', async () => {
		const {store, receiver, advance} = setUp();
		await store.transact({part: 'duty-usage', writes: [{table: 'fleet', key: 'duty', value: new Uint8Array([1])}]});
		await advance(10_000);
		expect(receiver.calls).toEqual([]);
		expect([...store.all()[0]!.value]).toEqual([1]);
	});
});

describe('shouldTryDuty', () => {
	const members = Array.from({length: 9}, (_, index) => `d${index + 1}`) as DaemonId[];
	const tries = (holder: DaemonId | undefined, dueForMs: Millis, live = members) => live.filter(self => shouldTryDuty({
		self, part: 'duty-usage', holder, members: live, dueForMs, leaseMs,
	}));

	it('leaves a call to its holder for as long as the holder may only be slow', () => {
		expect(tries(d1, 0)).toEqual([d1]);
		expect(tries(d1, 5000)).toEqual([d1]);
		expect(tries(d1, 6000)).toHaveLength(2);
	});

	it('names one successor of a dead holder at once, and others only if that one does nothing', () => {
		expect(tries('gone' as DaemonId, 0)).toHaveLength(1);
		expect(tries(undefined, 0)).toHaveLength(1);
		expect(tries(undefined, 4000)).toHaveLength(2);
		expect(tries(undefined, 60_000)).toHaveLength(3);
	});
});

describe('the pace of calls', () => {
	it('keeps the sum over all subjects of all duties within the permitted rate', () => {
		for (const [duties, subjects] of [[1, 1], [2, 1], [2, 40]] as const) {
			const perSubject = 1000 / minCallIntervalMs({callsPerSecond: 50, duties, subjects});
			expect(perSubject * subjects * duties).toBeCloseTo(40);
		}
	});

	it('spreads repeated calls, and never stops them', () => {
		expect([backOffMs(1, 0), backOffMs(1, 0.99)]).toEqual([125, expect.closeTo(249, 0)]);
		expect(backOffMs(1000, 0.99)).toBeLessThan(4001);
	});
});

describe('the row of a lease', () => {
	it('round-trips, with and without a note', () => {
		const record = {holder: d1, fencingToken: 4, note: undefined};
		expect(decodeDuty(encodeDuty(record))).toEqual(record);
		expect(decodeDuty(encodeDuty({...record, note: [1, 'a']}))).toEqual({...record, note: [1, 'a']});
	});
});
