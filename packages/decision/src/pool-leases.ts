/** The leases and the orders of the pools of engines in this data centre. */

import {
	createLease, createOrders, decideLease, decideOrders, isHeld, type LeaseState, type OrderAction, type OrdersState, type OrderAuthority,
} from '@cicadapost/leases';
import {isSettled, liveDaemons, rankedFor} from '@cicadapost/membership';
import type {
	CallId, Millis, PoolId, RowAnswer, UpstreamId, UpstreamStatus,
} from '@cicadapost/types';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction} from './events.js';

const leaseTable = 'leases';

export type PoolLease = {
	readonly lease: LeaseState;
	readonly orders: OrdersState;
	/** From then on none of the orders that were sent can be on its way. */
	ordersLandedAt: Millis;
};

type Wants = 'hold' | 'watch' | 'nothing' | 'release';

function leaseKey(state: DaemonState, pool: PoolId): string {
	return `${state.dataCentre}/${pool}`;
}

/** The first daemon by rendezvous hashing takes the lease, the second one watches it. */
function wants(state: DaemonState, key: string, known: PoolLease, now: Millis): Wants {
	if (state.leaving) {
		return now >= known.ordersLandedAt ? 'release' : 'nothing';
	}

	if (!isSettled(state.membership)) {
		return 'nothing';
	}

	const rank = rankedFor(`lease/${key}`, liveDaemons(state.membership, state.dataCentre), 2).indexOf(state.self);
	return rank === 0 ? 'hold' : (rank === 1 ? 'watch' : 'nothing');
}

function enginesOf(state: DaemonState, pool: PoolId): UpstreamId[] {
	return Object.entries(state.site?.upstreams ?? {}).filter(([, upstream]) => upstream.pool === pool).map(([name]) => name as UpstreamId);
}

function rightOf(state: DaemonState, lease: LeaseState, now: Millis): OrderAuthority | undefined {
	return !state.leaving && lease.held !== undefined && isHeld(lease, now) ? {fence: lease.held.fence, notAfter: lease.held.expiresAt} : undefined;
}

function orderAction(pool: PoolId, action: OrderAction, call: CallId): DaemonAction {
	switch (action.kind) {
		case 'read-weights': {
			return {kind: 'read-weights', pool};
		}

		case 'read-state': {
			return action;
		}

		case 'send-order': {
			return {...action, call, pool};
		}
	}
}

/** Lets the leases and orders of all pools of engines go on. `nextCall` gives a new id each time. */
export function tickPoolLeases(state: DaemonState, now: Millis, nextCall: () => CallId): DaemonAction[] {
	const pools = Object.entries(state.site?.pools ?? {}).filter(([, pool]) => pool.kind === 'engine').map(([name]) => name as PoolId);
	return pools.flatMap(pool => {
		const upstreams = enginesOf(state, pool);
		if (upstreams.length === 0) {
			return [];
		}

		const known = state.poolLeases.get(pool) ?? {lease: createLease(`${state.self}/${state.incarnation}`), orders: createOrders(), ordersLandedAt: 0};
		state.poolLeases.set(pool, known);
		const key = leaseKey(state, pool);
		const call = nextCall();
		const rows = decideLease(known.lease, {
			kind: 'tick', call, nonce: call, wants: wants(state, key, known, now),
		}, now).actions.map((action): DaemonAction => ({...action, table: leaseTable, key}));
		const orders = decideOrders(known.orders, {
			kind: 'tick', call, authority: rightOf(state, known.lease, now), upstreams,
		}, now).actions.map(action => orderAction(pool, action, call));
		if (orders.some(({kind}) => kind === 'send-order')) {
			// The edge gives up after one such time to connect, and the order may be on its way for another.
			known.ordersLandedAt = now + (2 * known.lease.times.maxTransitMs);
		}

		return [...rows, ...orders];
	});
}

/** Whether this daemon holds a lease, which it gives up before it ends, so that the next holder need not wait. */
export function holdsLease(state: DaemonState, now: Millis): boolean {
	return [...state.poolLeases.values()].some(({lease}) => isHeld(lease, now));
}

/** Answers for calls of other parts are ignored. */
export function answerPoolLeases(state: DaemonState, call: CallId, answer: RowAnswer, now: Millis): void {
	for (const {lease} of state.poolLeases.values()) {
		decideLease(lease, {kind: 'answer', call, answer}, now);
	}
}

export function receiveWeights(state: DaemonState, pool: PoolId, version: number | undefined, now: Millis): void {
	const known = state.poolLeases.get(pool);
	if (known !== undefined) {
		decideOrders(known.orders, {kind: 'weights', version}, now);
	}
}

export function receiveOrderStatus(state: DaemonState, upstream: UpstreamId, status: UpstreamStatus | undefined, now: Millis): void {
	for (const {orders} of state.poolLeases.values()) {
		decideOrders(orders, {kind: 'status', upstream, status}, now);
	}
}

export function receiveOrderAnswer(state: DaemonState, upstream: UpstreamId, isAccepted: boolean, now: Millis): void {
	for (const {orders} of state.poolLeases.values()) {
		decideOrders(orders, {kind: 'order-answer', upstream, isAccepted}, now);
	}
}
