import type {DaemonId, Millis} from '@cicadapost/types';
import {type MembershipState} from './state.js';
import {
	gatewayCounterpart, gatewayRank, otherDataCentres, relayTarget,
} from './views.js';

export type ConnectionAction =
	| Readonly<{kind: 'connect'; daemon: DaemonId; address: string}>
	| Readonly<{kind: 'disconnect'; daemon: DaemonId}>;

/**
Computes the connections that this daemon should have from its membership views: to all daemons of its data centre, to one
counterpart in each data centre that it is a gateway towards, and to the relay target of each data centre that it relays to.
*/
export function plannedConnections(state: MembershipState): Set<DaemonId> {
	const planned = new Set<DaemonId>();
	for (const [daemon, vm] of state.listed) {
		if (vm.dataCentre === state.dataCentre && daemon !== state.self) {
			planned.add(daemon);
		}
	}

	for (const other of otherDataCentres(state)) {
		const rank = gatewayRank(state, other);
		const daemon = rank === -1 ? undefined : gatewayCounterpart(state, other, rank);
		if (daemon !== undefined) {
			planned.add(daemon);
		}
	}

	for (const dataCentre of state.relayDataCentres.keys()) {
		const daemon = relayTarget(state, dataCentre);
		if (daemon !== undefined) {
			planned.add(daemon);
		}
	}

	return planned;
}

/** Reconciles the connections with the planned ones. Skips daemons without a known address: they open the connection themselves. */
export function reconcileConnections(state: MembershipState, now: Millis): ConnectionAction[] {
	const planned = plannedConnections(state);
	const actions: ConnectionAction[] = [];
	for (const daemon of state.connections.keys()) {
		if (!planned.has(daemon) && !state.inUse.has(daemon)) {
			state.connections.delete(daemon);
			actions.push({kind: 'disconnect', daemon});
		}
	}

	for (const daemon of planned) {
		const address = state.listed.get(daemon)?.address;
		if (address !== undefined && !state.connections.has(daemon)) {
			state.connections.set(daemon, now);
			actions.push({kind: 'connect', daemon, address});
		}
	}

	return actions;
}
