import type {CallId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {createOrders, decideOrders, type OrderAction} from './orders.js';

const call = 'call' as CallId;
const swapMs = 600;

type Engine = {version: number; swapsUntil: number; next: number};

/** Rolls out a version to engines that take `swapMs` for each swap. Returns the orders, the peak number of swapping engines and the completion time. */
function rollOut(count: number, options: {failures?: number; notAfter?: number} = {}): {orders: OrderAction[]; maxSwapping: number; doneAt: number} {
	const engines = new Map(Array.from({length: count}, (_, index) => [`e${index}` as UpstreamId, {version: 1, swapsUntil: 0, next: 1}]));
	const state = createOrders();
	const orders: OrderAction[] = [];
	let failures = options.failures ?? 0;
	let maxSwapping = 0;
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
			respond(action, engines, now);
		}

		orders.push(...actions.filter(action => action.kind === 'send-order'));
		maxSwapping = Math.max(maxSwapping, [...engines.values()].filter(engine => engine.swapsUntil !== 0).length);
		if ([...engines.values()].every(engine => engine.version === 2)) {
			return {orders, maxSwapping, doneAt: now};
		}
	}

	return {orders, maxSwapping, doneAt: Number.POSITIVE_INFINITY};

	function respond(action: OrderAction, all: Map<UpstreamId, Engine>, now: number): void {
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

describe('rollout of a new version', () => {
	it('reaches 96 engines within 13 s with at most a fifth of them swapping at a time', () => {
		const {maxSwapping, doneAt} = rollOut(96);
		expect(maxSwapping).toBeLessThanOrEqual(19);
		expect(doneAt).toBeLessThan(13_000);
	});

	it('reaches a pool of three engines one by one, so that the pool always keeps serving', () => {
		expect(rollOut(3).maxSwapping).toBe(1);
	});

	it('repeats the order after a failed swap, so that no engine keeps the old version', () => {
		const {orders, doneAt} = rollOut(3, {failures: 2});
		expect(orders).toHaveLength(5);
		expect(doneAt).toBeLessThan(13_000);
	});

	it('sends no order after the lease has expired, so that a holder that resumes after a pause does nothing', () => {
		expect(rollOut(3, {notAfter: 0}).orders).toEqual([]);
	});
});
