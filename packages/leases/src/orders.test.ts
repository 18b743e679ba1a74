import type {CallId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {createOrders, decideOrders, type OrderAction} from './orders.js';

const call = 'call' as CallId;
const swapMs = 600;

type Engine = {version: number; swapsUntil: number; next: number};

/** Runs the orders of one pool against engines that take `swapMs` for a swap. Returns the orders and the most engines out at a time. */
function rollOut(count: number, options: {failures?: number; notAfter?: number} = {}): {orders: OrderAction[]; mostOut: number; doneAt: number} {
	const engines = new Map(Array.from({length: count}, (_, index) => [`e${index}` as UpstreamId, {version: 1, swapsUntil: 0, next: 1}]));
	const state = createOrders();
	const orders: OrderAction[] = [];
	let failures = options.failures ?? 0;
	let mostOut = 0;
	for (let now = 0; now < 13_000; now += 50) {
		for (const engine of engines.values()) {
			if (engine.swapsUntil !== 0 && now >= engine.swapsUntil) {
				engine.swapsUntil = 0;
				engine.version = failures-- > 0 ? engine.version : engine.next;
			}
		}

		const {actions} = decideOrders(state, {
			kind: 'tick', call, authority: {fence: 1, notAfter: options.notAfter ?? 100_000}, upstreams: [...engines.keys()],
		}, now);
		for (const action of actions) {
			answer(action, engines, now);
		}

		orders.push(...actions.filter(action => action.kind === 'send-order'));
		mostOut = Math.max(mostOut, [...engines.values()].filter(engine => engine.swapsUntil !== 0).length);
		if ([...engines.values()].every(engine => engine.version === 2)) {
			return {orders, mostOut, doneAt: now};
		}
	}

	return {orders, mostOut, doneAt: Number.POSITIVE_INFINITY};

	function answer(action: OrderAction, all: Map<UpstreamId, Engine>, now: number): void {
		if (action.kind === 'read-weights') {
			decideOrders(state, {kind: 'weights', version: 2}, now);
			return;
		}

		const engine = all.get(action.upstream)!;
		if (action.kind === 'send-order') {
			engine.next = action.version;
			engine.swapsUntil = now + swapMs;
			decideOrders(state, {kind: 'order-answer', upstream: action.upstream, isAccepted: true}, now);
			return;
		}

		decideOrders(state, {
			kind: 'status', upstream: action.upstream, status: {
				leaving: false, version: engine.version, swapping: engine.swapsUntil !== 0, fence: 1,
			},
		}, now);
	}
}

describe('a new version', () => {
	it('reaches 96 engines within 13 s with at most a fifth of them out at a time', () => {
		const {mostOut, doneAt} = rollOut(96);
		expect(mostOut).toBeLessThanOrEqual(19);
		expect(doneAt).toBeLessThan(13_000);
	});

	it('reaches a pool of three one by one, so that it is never out as a whole', () => {
		expect(rollOut(3).mostOut).toBe(1);
	});

	it('is ordered again after a swap that failed, so that no engine keeps the old one', () => {
		const {orders, doneAt} = rollOut(3, {failures: 2});
		expect(orders).toHaveLength(5);
		expect(doneAt).toBeLessThan(13_000);
	});

	it('is not ordered after the lease has ended, so that a woken holder does nothing', () => {
		expect(rollOut(3, {notAfter: 0}).orders).toEqual([]);
	});
});
