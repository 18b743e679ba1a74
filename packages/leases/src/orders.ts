/** Rolls the desired weight version out to the engines of a pool. */

import type {
	CallId, Millis, DecisionResult, UpstreamId, UpstreamStatus,
} from '@cicadapost/types';

/** Maximum share of a pool's engines that may be out of service at the same time for a weight swap. */
const maxUnavailableShare = 0.2;
/** Poll interval for engines that are swapping weights, short so that the next engines can start soon. */
const swapPollMs = 250;
/** Poll interval for all other engines, since one may have restarted with an old version. */
const idlePollMs = 5000;
const weightsPollMs = 1000;
/** An order that has had no effect after this time is abandoned and sent again. */
const orderTimeoutMs = 6000;
/** Delay before the next order to an engine after a failed swap or a rejected order. */
const retryMs = 500;

/** Permission to send orders, derived from the lease that this daemon holds. */
export type OrderAuthority = Readonly<{
	fence: number;
	/** On this daemon's monotonic clock. Checked again immediately before the order is sent. */
	notAfter: Millis;
}>;

export type OrderEvent =
	| Readonly<{kind: 'tick'; call: CallId; authority: OrderAuthority | undefined; upstreams: readonly UpstreamId[]}>
	/** Response of the weight store. The version is undefined if it did not respond. */
	| Readonly<{kind: 'weights'; version: number | undefined}>
	| Readonly<{kind: 'status'; upstream: UpstreamId; status: UpstreamStatus | undefined}>
	/** `isAccepted` is false if the order was rejected, was too late or got no response. */
	| Readonly<{kind: 'order-answer'; upstream: UpstreamId; isAccepted: boolean}>;

export type OrderAction =
	| Readonly<{kind: 'read-weights'}>
	| Readonly<{kind: 'read-state'; upstream: UpstreamId}>
	| Readonly<{kind: 'send-order'; upstream: UpstreamId; version: number; fence: number; notAfter: Millis}>;

type Engine = {
	status: UpstreamStatus | undefined;
	nextPollAt: Millis;
	/** When the last order was sent, if its effect has not been observed yet. */
	orderedAt: Millis | undefined;
	notBefore: Millis;
};

export type OrdersState = {
	desiredVersion: number | undefined;
	nextWeightsPollAt: Millis;
	engines: Map<UpstreamId, Engine>;
};

export function createOrders(): OrdersState {
	return {desiredVersion: undefined, nextWeightsPollAt: 0, engines: new Map()};
}

function isUnavailable(engine: Engine): boolean {
	return engine.status === undefined || engine.status.swapping || engine.orderedAt !== undefined;
}

function syncEngines(state: OrdersState, upstreams: readonly UpstreamId[], now: Millis): void {
	for (const upstream of state.engines.keys()) {
		if (!upstreams.includes(upstream)) {
			state.engines.delete(upstream);
		}
	}

	for (const upstream of upstreams) {
		if (!state.engines.has(upstream)) {
			state.engines.set(upstream, {
				status: undefined, nextPollAt: now, orderedAt: undefined, notBefore: now,
			});
		}
	}
}

function pollEngines(state: OrdersState, now: Millis): OrderAction[] {
	const actions: OrderAction[] = [];
	for (const [upstream, engine] of state.engines) {
		if (now >= engine.nextPollAt) {
			engine.nextPollAt = now + (isUnavailable(engine) ? swapPollMs : idlePollMs);
			actions.push({kind: 'read-state', upstream});
		}
	}

	return actions;
}

function sendOrders(state: OrdersState, authority: OrderAuthority, now: Millis): OrderAction[] {
	const {desiredVersion} = state;
	if (desiredVersion === undefined || now >= authority.notAfter) {
		return [];
	}

	const engines = [...state.engines];
	let unavailableCount = engines.filter(([, engine]) => isUnavailable(engine)).length;
	// A pool of fewer than five engines must swap one at a time to make progress at all.
	const maxUnavailable = Math.max(1, Math.floor(engines.length * maxUnavailableShare));
	const actions: OrderAction[] = [];
	const swappingCount = engines.filter(([, engine]) => engine.status !== undefined && isUnavailable(engine)).length;
	for (const [upstream, engine] of engines) {
		const needsOrder = !isUnavailable(engine) && engine.status?.version !== desiredVersion && now >= engine.notBefore;
		// Unresponsive engines count as unavailable but must not block the rollout forever.
		const hasCapacity = unavailableCount < maxUnavailable || (swappingCount === 0 && actions.length === 0);
		if (needsOrder && hasCapacity) {
			unavailableCount++;
			engine.orderedAt = now;
			engine.nextPollAt = now + swapPollMs;
			actions.push({
				kind: 'send-order', upstream, version: desiredVersion, fence: authority.fence, notAfter: authority.notAfter,
			});
		}
	}

	return actions;
}

function tick(state: OrdersState, event: Extract<OrderEvent, {kind: 'tick'}>, now: Millis): OrderAction[] {
	if (event.authority === undefined) {
		// The next holder of the lease has to start from fresh state.
		state.engines.clear();
		state.desiredVersion = undefined;
		state.nextWeightsPollAt = now;
		return [];
	}

	syncEngines(state, event.upstreams, now);
	const actions: OrderAction[] = [];
	if (now >= state.nextWeightsPollAt) {
		state.nextWeightsPollAt = now + weightsPollMs;
		actions.push({kind: 'read-weights'});
	}

	for (const engine of state.engines.values()) {
		if (engine.orderedAt !== undefined && now - engine.orderedAt > orderTimeoutMs) {
			engine.orderedAt = undefined;
		}
	}

	return [...actions, ...pollEngines(state, now), ...sendOrders(state, event.authority, now)];
}

function handleStatus(engine: Engine, status: UpstreamStatus | undefined, desiredVersion: number | undefined, now: Millis): void {
	engine.status = status;
	if (status === undefined || status.swapping || engine.orderedAt === undefined) {
		return;
	}

	if (status.version === desiredVersion) {
		engine.orderedAt = undefined;
		engine.nextPollAt = now + idlePollMs;
	} else if (now - engine.orderedAt >= swapPollMs) {
		// The engine is no longer swapping but has a different version, so the swap failed.
		engine.orderedAt = undefined;
		engine.notBefore = now + retryMs;
	}
}

/** Processes one event of a pool's rollout. Updates `state` in place and returns it with the actions to perform. */
export function decideOrders(state: OrdersState, event: OrderEvent, now: Millis): DecisionResult<OrdersState, OrderAction> {
	switch (event.kind) {
		case 'tick': {
			return {state, actions: tick(state, event, now)};
		}

		case 'weights': {
			state.desiredVersion = event.version ?? state.desiredVersion;
			break;
		}

		case 'status': {
			const engine = state.engines.get(event.upstream);
			if (engine !== undefined) {
				handleStatus(engine, event.status, state.desiredVersion, now);
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
