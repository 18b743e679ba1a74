/** Which engines of a pool get which order, so that all come to run the desired weight version. */

import type {
	CallId, Millis, DecisionResult, UpstreamId, UpstreamStatus,
} from '@cicadapost/types';

/** Share of the pool's engines that may be out of service for a swap at a time. */
const maxOut = 0.2;
/** Engines that swap are read this often, so that the next ones follow soon. */
const busyReadMs = 250;
/** The others are read again now and then: one may have restarted with an old version. */
const idleReadMs = 5000;
const weightsReadMs = 1000;
/** An order without an effect for this long is given up and sent again. */
const orderTimeoutMs = 6000;
/** Pause after a swap that failed. */
const retryMs = 500;

/** The right to send orders: of the lease that is held now. */
export type OrderRight = Readonly<{
	fence: number;
	/** On this daemon's monotonic clock; checked again right before the order is sent. */
	notAfter: Millis;
}>;

export type OrderEvent =
	| Readonly<{kind: 'tick'; call: CallId; right: OrderRight | undefined; upstreams: readonly UpstreamId[]}>
	/** The weight store's answer; undefined if it gave none. */
	| Readonly<{kind: 'weights'; version: number | undefined}>
	| Readonly<{kind: 'status'; upstream: UpstreamId; status: UpstreamStatus | undefined}>
	/** `false` if the order was refused, came too late or got no answer. */
	| Readonly<{kind: 'order-answer'; upstream: UpstreamId; isAccepted: boolean}>;

export type OrderAction =
	| Readonly<{kind: 'read-weights'}>
	| Readonly<{kind: 'read-state'; upstream: UpstreamId}>
	| Readonly<{kind: 'send-order'; upstream: UpstreamId; version: number; fence: number; notAfter: Millis}>;

type Engine = {
	status: UpstreamStatus | undefined;
	nextReadAt: Millis;
	/** When an order was sent whose effect has not been seen. */
	orderedAt: Millis | undefined;
	notBefore: Millis;
};

export type OrdersState = {
	desired: number | undefined;
	nextWeightsAt: Millis;
	engines: Map<UpstreamId, Engine>;
};

export function createOrders(): OrdersState {
	return {desired: undefined, nextWeightsAt: 0, engines: new Map()};
}

function isOut(engine: Engine): boolean {
	return engine.status === undefined || engine.status.swapping || engine.orderedAt !== undefined;
}

function useUpstreams(state: OrdersState, upstreams: readonly UpstreamId[], now: Millis): void {
	for (const upstream of state.engines.keys()) {
		if (!upstreams.includes(upstream)) {
			state.engines.delete(upstream);
		}
	}

	for (const upstream of upstreams) {
		if (!state.engines.has(upstream)) {
			state.engines.set(upstream, {
				status: undefined, nextReadAt: now, orderedAt: undefined, notBefore: now,
			});
		}
	}
}

function readStates(state: OrdersState, now: Millis): OrderAction[] {
	const actions: OrderAction[] = [];
	for (const [upstream, engine] of state.engines) {
		if (now >= engine.nextReadAt) {
			engine.nextReadAt = now + (isOut(engine) ? busyReadMs : idleReadMs);
			actions.push({kind: 'read-state', upstream});
		}
	}

	return actions;
}

function sendOrders(state: OrdersState, right: OrderRight, now: Millis): OrderAction[] {
	const {desired} = state;
	if (desired === undefined || now >= right.notAfter) {
		return [];
	}

	const engines = [...state.engines];
	let out = engines.filter(([, engine]) => isOut(engine)).length;
	// In a pool of fewer than five engines one at a time is the least that makes progress.
	const allowed = Math.max(1, Math.floor(engines.length * maxOut));
	const actions: OrderAction[] = [];
	const swapping = engines.filter(([, engine]) => engine.status !== undefined && isOut(engine)).length;
	for (const [upstream, engine] of engines) {
		const needsOrder = !isOut(engine) && engine.status?.version !== desired && now >= engine.notBefore;
		// Engines that don't answer count as out, but do not stop the others for ever.
		const hasRoom = out < allowed || (swapping === 0 && actions.length === 0);
		if (needsOrder && hasRoom) {
			out++;
			engine.orderedAt = now;
			engine.nextReadAt = now + busyReadMs;
			actions.push({
				kind: 'send-order', upstream, version: desired, fence: right.fence, notAfter: right.notAfter,
			});
		}
	}

	return actions;
}

function tick(state: OrdersState, event: Extract<OrderEvent, {kind: 'tick'}>, now: Millis): OrderAction[] {
	if (event.right === undefined) {
		// Whoever holds the lease next begins with reading.
		state.engines.clear();
		state.desired = undefined;
		state.nextWeightsAt = now;
		return [];
	}

	useUpstreams(state, event.upstreams, now);
	const actions: OrderAction[] = [];
	if (now >= state.nextWeightsAt) {
		state.nextWeightsAt = now + weightsReadMs;
		actions.push({kind: 'read-weights'});
	}

	for (const engine of state.engines.values()) {
		if (engine.orderedAt !== undefined && now - engine.orderedAt > orderTimeoutMs) {
			engine.orderedAt = undefined;
		}
	}

	return [...actions, ...readStates(state, now), ...sendOrders(state, event.right, now)];
}

function receiveStatus(engine: Engine, status: UpstreamStatus | undefined, desired: number | undefined, now: Millis): void {
	engine.status = status;
	if (status === undefined || status.swapping || engine.orderedAt === undefined) {
		return;
	}

	if (status.version === desired) {
		engine.orderedAt = undefined;
		engine.nextReadAt = now + idleReadMs;
	} else if (now - engine.orderedAt >= busyReadMs) {
		// The swap has ended and the version is another one: it failed.
		engine.orderedAt = undefined;
		engine.notBefore = now + retryMs;
	}
}

/** Decides about the orders of one pool. Updates `state` in place and returns it. */
export function decideOrders(state: OrdersState, event: OrderEvent, now: Millis): DecisionResult<OrdersState, OrderAction> {
	switch (event.kind) {
		case 'tick': {
			return {state, actions: tick(state, event, now)};
		}

		case 'weights': {
			state.desired = event.version ?? state.desired;
			break;
		}

		case 'status': {
			const engine = state.engines.get(event.upstream);
			if (engine !== undefined) {
				receiveStatus(engine, event.status, state.desired, now);
			}

			break;
		}

		case 'order-answer': {
			const engine = state.engines.get(event.upstream);
			if (engine !== undefined && !event.isAccepted) {
				engine.orderedAt = undefined;
				engine.notBefore = now + retryMs;
			}

			break;
		}
	}

	return {state, actions: []};
}
