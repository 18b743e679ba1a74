import {Clock} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {TableFollower} from './follow-table.js';
import {MemoryRowStore} from './memory-row-store.js';

class RealClock extends Clock {
	override now(): number {
		return performance.now();
	}

	override wallTime(): number {
		return Date.now();
	}
}

const write = (key: string, value: number) => ({part: 'p', writes: [{table: 't', key, value: new Uint8Array([value])}]});

async function until(condition: () => boolean): Promise<void> {
	await expect.poll(condition, {timeout: 3000, interval: 10}).toBe(true);
}

describe('TableFollower', () => {
	const followers: TableFollower[] = [];
	const follow = (store: MemoryRowStore, coalesceMs?: () => number) => {
		const follower = new TableFollower({
			store, clock: new RealClock(), table: 't', waitMs: 50, ...(coalesceMs === undefined ? {} : {coalesceMs}),
		});
		followers.push(follower);
		follower.start();
		return follower;
	};

	afterEach(() => {
		for (const follower of followers.splice(0)) {
			follower.stop();
		}
	});

	it('reads the table and follows its changes', async () => {
		const store = new MemoryRowStore();
		await store.transact(write('a', 1));
		const follower = follow(store);
		await until(() => follower.copy.get('p', 'a') !== undefined);
		await store.transact(write('b', 2));
		await until(() => follower.copy.get('p', 'b') !== undefined);
	});

	it('counts only overdue responses as silence of the store, and no pause between polls', async () => {
		const store = new MemoryRowStore();
		await store.transact(write('a', 1));
		let longestSilence = 0;
		const follower = follow(store, () => 400);
		const watch = setInterval(() => {
			longestSilence = Math.max(longestSilence, follower.silentFor(performance.now()));
			void store.transact(write('a', 1));
		}, 10);
		await until(() => follower.isLoaded && follower.age(performance.now()) > 350);
		clearInterval(watch);
		expect(longestSilence).toBeLessThan(350);
		store.fault = 'down';
		await until(() => follower.silentFor(performance.now()) > 300);
		store.fault = 'none';
		await until(() => follower.connectedFor(performance.now()) > 0);
		expect(follower.silentFor(performance.now())).toBeLessThan(300);
	});

	it('reloads the table, including deletions, when the store has discarded its history', async () => {
		const store = new MemoryRowStore();
		await store.transact(write('a', 1));
		const follower = follow(store);
		await until(() => follower.isLoaded);
		store.fault = 'down';
		await until(() => follower.connectedFor(performance.now()) === 0);
		store.fault = 'none';
		await store.transact({part: 'p', writes: [{table: 't', key: 'b', value: new Uint8Array([1])}], deletes: [{table: 't', key: 'a'}]});
		store.truncateHistory();
		await until(() => follower.copy.get('p', 'b') !== undefined && follower.copy.get('p', 'a') === undefined);
	});

	it('emits an event when the store becomes unavailable and when it recovers', async () => {
		const store = new MemoryRowStore();
		const follower = follow(store);
		const emittedEvents: string[] = [];
		follower.on('lost', () => {
			emittedEvents.push('lost');
		});
		await until(() => follower.isLoaded);
		follower.on('regained', () => {
			emittedEvents.push('regained');
		});
		store.fault = 'down';
		await until(() => emittedEvents.includes('lost'));
		store.fault = 'none';
		await until(() => emittedEvents.includes('regained'));
		expect(emittedEvents).toEqual(['lost', 'regained']);
	});

	describe('the time up to which the copy is confirmed', () => {
		class CountingClock extends Clock {
			wall = 0;

			override now(): number {
				return performance.now();
			}

			override wallTime(): number {
				return this.wall;
			}
		}

		/** Holds each long poll until it is released, and answers other calls at once. */
		class SlowStore extends MemoryRowStore {
			releases: Array<() => void> = [];

			override async changes(options: Parameters<MemoryRowStore['changes']>[0]): ReturnType<MemoryRowStore['changes']> {
				if (options.waitMs > 0) {
					await new Promise<void>(resolve => {
						this.releases.push(resolve);
					});
				}

				return super.changes({...options, waitMs: 0});
			}
		}

		const start = async () => {
			const [clock, store] = [new CountingClock(), new SlowStore()];
			const follower = new TableFollower({
				store, clock, table: 't', waitMs: 50,
			});
			followers.push(follower);
			follower.start();
			await until(() => store.releases.length === 1);
			return {clock, store, follower};
		};

		it('is the time at which the poll was sent, however late its response is, also if it leads to a reload', async () => {
			const {clock, store, follower} = await start();
			for (const [at, truncates] of [[10, false], [20, true]] as const) {
				clock.wall = at;
				await store.transact(write('a', at));
				if (truncates) {
					store.truncateHistory();
				}

				const polls = store.releases.length;
				store.releases.at(-1)!();
				await until(() => store.releases.length > polls);
				expect(follower.confirmedAt?.wall).toBe(at - 10);
				expect(follower.copy.get('p', 'a')?.value).toEqual(new Uint8Array([at]));
			}
		});

		it('follows a call beside a poll that hangs, and does not go back when the poll is answered', async () => {
			const {clock, store, follower} = await start();
			clock.wall = 30;
			await store.transact(write('a', 1));
			await follower.confirm();
			expect([follower.confirmedAt?.wall, follower.copy.get('p', 'a')?.version]).toEqual([30, 1]);
			store.releases[0]!();
			await until(() => store.releases.length === 2);
			expect(follower.confirmedAt?.wall).toBe(30);
			store.fault = 'down';
			clock.wall = 40;
			await follower.confirm();
			expect(follower.confirmedAt?.wall).toBe(30);
		});
	});

	describe('with a delay between polls', () => {
		/** Counts the polls that returned changes. */
		class CountingStore extends MemoryRowStore {
			polls = 0;

			override async changes(options: Parameters<MemoryRowStore['changes']>[0]): ReturnType<MemoryRowStore['changes']> {
				const outcome = await super.changes(options);
				this.polls += outcome.kind === 'changes' && outcome.changes.length > 0 ? 1 : 0;
				return outcome;
			}
		}

		it('receives many changes in few polls, so that the polls of a daemon do not grow with the fleet', async () => {
			const store = new CountingStore();
			const follower = follow(store, () => 100);
			await until(() => follower.isLoaded);
			for (let value = 0; value < 60; value++) {
				await store.transact(write(`k${value}`, 1));
				await new Promise(resolve => {
					setTimeout(resolve, 5);
				});
			}

			await until(() => follower.copy.get('p', 'k59') !== undefined);
			expect(store.polls).toBeLessThan(20);
		});

		it('polls at once for a caller that needs the newest rows', async () => {
			const store = new MemoryRowStore();
			const follower = follow(store, () => 60_000);
			await until(() => follower.isLoaded);
			await store.transact(write('a', 1));
			await until(() => follower.copy.get('p', 'a') !== undefined);
			await store.transact(write('b', 1));
			await until(() => {
				follower.hurry();
				return follower.copy.get('p', 'b') !== undefined;
			});
		});
	});

	describe('of a process that stands still between two polls', () => {
		/** A clock that can be set forward. */
		class SkippingClock extends RealClock {
			steadyMs = 0;
			wallMs = 0;

			override now(): number {
				return super.now() + this.steadyMs;
			}

			override wallTime(): number {
				return super.wallTime() + this.wallMs;
			}
		}

		/** Shows only the last state of each changed row, and holds responses back on demand. */
		class HoldingStore extends MemoryRowStore {
			released: Promise<void> = Promise.resolve();

			override async changes(options: Parameters<MemoryRowStore['changes']>[0]): ReturnType<MemoryRowStore['changes']> {
				const outcome = await super.changes(options);
				await this.released;
				if (outcome.kind !== 'changes') {
					return outcome;
				}

				const last = new Map(outcome.changes.map(change => [change.kind === 'written' ? change.row.key : change.key.key, change]));
				return {...outcome, changes: [...last.values()]};
			}
		}

		it.each([
			['running', {steadyMs: 4000, wallMs: 4000}],
			['stopped', {steadyMs: 0, wallMs: 4000}],
		])('says that rows may have come and gone, also with a %s monotonic clock', async (_, skip) => {
			const clock = new SkippingClock();
			const store = new HoldingStore();
			const follower = new TableFollower({
				store, clock, table: 't', waitMs: 20,
			});
			followers.push(follower);
			const gaps: number[] = [];
			const seen: string[] = [];
			follower.on('gap', ms => {
				gaps.push(ms);
			});
			follower.on('changed', changes => {
				seen.push(...changes.filter(({kind}) => kind === 'written').map(change => (change.kind === 'written' ? change.row.key : '')));
			});
			follower.start();
			await until(() => follower.isContinuous);
			let release: () => void = () => undefined;
			store.released = new Promise<void>(resolve => {
				release = resolve;
			});
			await store.transact(write('a', 1));
			await store.transact({part: 'p', writes: [], deletes: [{table: 't', key: 'a'}]});
			Object.assign(clock, skip);
			// Right after it goes on, it has not polled yet.
			expect(follower.isContinuous).toBe(false);
			release();
			await until(() => gaps.length > 0);
			expect(gaps[0]).toBeGreaterThanOrEqual(4000);
			expect(seen).toEqual([]);
			await until(() => follower.isContinuous);
			expect(gaps).toHaveLength(1);
		});
	});
});
