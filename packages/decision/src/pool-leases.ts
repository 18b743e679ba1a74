/** Leases and orders of the engine pools in this data centre. */

import {
	createLease, createOrders, decideLease, decideOrders, isHeld, type LeaseState, type OrderAction, type OrdersState, type OrderAuthority,
} from '@cicadapost/leases';
import {isSettled, liveDaemons, rankByRendezvousScore} from '@cicadapost/membership';
import type {
	CallId, Millis, PoolId, RowResponse, UpstreamId, UpstreamStatus,
} from '@cicadapost/types';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction} from './events.js';

const leaseTable = 'leases';

export type PoolLease = {
	readonly lease: LeaseState;
	readonly orders: OrdersState;
	/** Time from which none of the sent orders can still be in transit. */
	ordersDeliveredBy: Millis;
};

type LeaseIntent = 'hold' | 'watch' | 'nothing' | 'release';

function leaseKey(state: DaemonState, pool: PoolId): string {
	return `${state.dataCentre}/${pool}`;
}

/** By rendezvous hashing, the first daemon takes the lease and the second one watches it. */
function leaseIntent(state: DaemonState, key: string, poolLease: PoolLease, now: Millis): LeaseIntent {
	if (state.leaving) {
		return now >= poolLease.ordersDeliveredBy ? 'release' : 'nothing';
	}

	if (!isSettled(state.membership)) {
		return 'nothing';
	}

	const rank = rankByRendezvousScore(`lease/${key}`, liveDaemons(state.membership, state.dataCentre), 2).indexOf(state.self);
	return rank === 0 ? 'hold' : (rank === 1 ? 'watch' : 'nothing');
}

function enginesOf(state: DaemonState, pool: PoolId): UpstreamId[] {
	return Object.entries(state.site?.upstreams ?? {}).filter(([, upstream]) => upstream.pool === pool).map(([name]) => name as UpstreamId);
}

function orderAuthorityOf(state: DaemonState, lease: LeaseState, now: Millis): OrderAuthority | undefined {
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

/** Advances the leases and orders of all engine pools. `nextCall` returns a new id each time. */
export function tickPoolLeases(state: DaemonState, now: Millis, nextCall: () => CallId): DaemonAction[] {
	const pools = Object.entries(state.site?.pools ?? {}).filter(([, pool]) => pool.kind === 'engine').map(([name]) => name as PoolId);
	return pools.flatMap(pool => {
		const upstreams = enginesOf(state, pool);
		if (upstreams.length === 0) {
			return [];
		}

		const poolLease = state.poolLeases.get(pool) ?? {lease: createLease(`${state.self}/${state.incarnation}`), orders: createOrders(), ordersDeliveredBy: 0};
		state.poolLeases.set(pool, poolLease);
		const key = leaseKey(state, pool);
		const call = nextCall();
		const rows = decideLease(poolLease.lease, {
			kind: 'tick', call, nonce: call, wants: leaseIntent(state, key, poolLease, now),
		}, now).actions.map((action): DaemonAction => ({...action, table: leaseTable, key}));
		const orders = decideOrders(poolLease.orders, {
			kind: 'tick', call, authority: orderAuthorityOf(state, poolLease.lease, now), upstreams,
		}, now).actions.map(action => orderAction(pool, action, call));
		if (orders.some(({kind}) => kind === 'send-order')) {
			// The I/O layer may spend up to one `maxTransitMs` on connecting, and the order may be in transit for another.
			poolLease.ordersDeliveredBy = now + (2 * poolLease.lease.times.maxTransitMs);
		}

		return [...rows, ...orders];
	});
}

/** Whether this daemon holds a lease. It releases its leases before it stops, so that the next holder does not have to wait. */
export function holdsLease(state: DaemonState, now: Millis): boolean {
	return [...state.poolLeases.values()].some(({lease}) => isHeld(lease, now));
}

/** Passes a table service response to the leases, which ignore responses to other calls. */
export function handleLeaseAnswer(state: DaemonState, call: CallId, answer: RowResponse, now: Millis): void {
	for (const {lease} of state.poolLeases.values()) {
		decideLease(lease, {kind: 'answer', call, answer}, now);
	}
}

export function handleWeights(state: DaemonState, pool: PoolId, version: number | undefined, now: Millis): void {
	const poolLease = state.poolLeases.get(pool);
	if (poolLease !== undefined) {
		decideOrders(poolLease.orders, {kind: 'weights', version}, now);
	}
}

export function handleOrderStatus(state: DaemonState, upstream: UpstreamId, status: UpstreamStatus | undefined, now: Millis): void {
	for (const {orders} of state.poolLeases.values()) {
		decideOrders(orders, {kind: 'status', upstream, status}, now);
	}
}

export function handleOrderAnswer(state: DaemonState, upstream: UpstreamId, isAccepted: boolean, now: Millis): void {
	for (const {orders} of state.poolLeases.values()) {
		decideOrders(orders, {kind: 'order-answer', upstream, isAccepted}, now);
	}
}
