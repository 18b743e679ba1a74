/** Which daemons are alive, what they own, and which peers to be connected to. */

import type {
	DaemonId, DataCentreId, Heartbeat, Millis, Outcome, UpstreamId, VmRecord,
} from '@cicadapost/types';
import {ownerOf} from './ownership.js';

export const heartbeatIntervalMs = 1000;
/** A daemon that has not been heard from for this long is considered not alive. */
export const daemonTimeoutMs = 3000;

export type MembershipEvent =
	| Readonly<{kind: 'heartbeat'; from: DaemonId; heartbeat: Heartbeat}>
	| Readonly<{kind: 'vm-list'; vms: readonly VmRecord[]}>
	| Readonly<{kind: 'leave'}>
	| Readonly<{kind: 'tick'}>;

export type MembershipAction =
	| Readonly<{kind: 'connect'; daemon: DaemonId; address: string}>
	| Readonly<{kind: 'disconnect'; daemon: DaemonId}>
	| Readonly<{kind: 'send-heartbeat'; to: DaemonId; leaving: boolean; leavingUpstreams: readonly UpstreamId[]}>
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	/** The set of live daemons or of leaving upstreams has changed. */
	| Readonly<{kind: 'changed'}>;

export type PeerView = {
	dataCentre: DataCentreId;
	incarnation: number;
	heardAt: Millis;
	leaving: boolean;
	configurationVersion: number;
};

export type MembershipState = {
	readonly self: DaemonId;
	readonly dataCentre: DataCentreId;
	leaving: boolean;
	peers: Map<DaemonId, PeerView>;
	leavingUpstreams: Set<UpstreamId>;
	/** Peers that this daemon has asked the edge to be connected to. */
	connections: Set<DaemonId>;
	nextHeartbeatAt: Millis;
};

export type MembershipOptions = Readonly<{
	self: DaemonId;
	dataCentre: DataCentreId;
}>;

export function createMembership(options: MembershipOptions): MembershipState {
	return {
		...options, leaving: false, peers: new Map(), leavingUpstreams: new Set(), connections: new Set(), nextHeartbeatAt: 0,
	};
}

/** Live daemons of `dataCentre` that accept work, this one included. */
export function liveDaemons(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const live = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre && !peer.leaving).map(([daemon]) => daemon);
	if (dataCentre === state.dataCentre && !state.leaving) {
		live.push(state.self);
	}

	return live.sort((a, b) => (a < b ? -1 : 1));
}

/** The live daemon of `dataCentre` that owns `key`. */
export function ownerIn(state: MembershipState, dataCentre: DataCentreId, key: string): DaemonId | undefined {
	return ownerOf(key, liveDaemons(state, dataCentre));
}

/** The peers that this daemon is the first gateway towards: one in each other data centre for which it is. */
export function firstGatewayPeers(state: MembershipState): DaemonId[] {
	const others = new Set([...state.peers.values()].map(peer => peer.dataCentre).filter(dataCentre => dataCentre !== state.dataCentre));
	return [...others]
		.filter(other => ownerIn(state, state.dataCentre, `gateway/${state.dataCentre}/${other}`) === state.self)
		.map(other => ownerIn(state, other, `gateway/${other}/${state.dataCentre}`))
		.filter(daemon => daemon !== undefined);
}

function receiveHeartbeat(state: MembershipState, event: Extract<MembershipEvent, {kind: 'heartbeat'}>, now: Millis): MembershipAction[] {
	const {from, heartbeat} = event;
	const known = state.peers.get(from);
	if (known !== undefined && heartbeat.incarnation < known.incarnation) {
		return [];
	}

	const actions: MembershipAction[] = [];
	if (known !== undefined && heartbeat.incarnation > known.incarnation) {
		actions.push({kind: 'daemon-lost', daemon: from});
	}

	state.peers.set(from, {
		dataCentre: heartbeat.dataCentre,
		incarnation: heartbeat.incarnation,
		heardAt: now,
		leaving: heartbeat.leaving,
		configurationVersion: heartbeat.configurationVersion,
	});
	const before = state.leavingUpstreams.size;
	if (heartbeat.dataCentre === state.dataCentre) {
		for (const upstream of heartbeat.leavingUpstreams) {
			state.leavingUpstreams.add(upstream);
		}
	}

	if (known?.leaving !== heartbeat.leaving || state.leavingUpstreams.size !== before || actions.length > 0) {
		actions.push({kind: 'changed'});
	}

	return actions;
}

function readVmList(state: MembershipState, vms: readonly VmRecord[]): MembershipAction[] {
	const actions: MembershipAction[] = [];
	for (const vm of vms) {
		if (vm.role === 'upstream') {
			const isNew = vm.dataCentre === state.dataCentre && vm.state === 'leaving' && !state.leavingUpstreams.has(vm.id as UpstreamId);
			if (isNew) {
				state.leavingUpstreams.add(vm.id as UpstreamId);
				actions.push({kind: 'changed'});
			}

			continue;
		}

		const daemon = vm.id as DaemonId;
		// The daemon with the lower id dials, so that two daemons share one connection.
		if (vm.peerAddress !== undefined && state.self < daemon && !state.connections.has(daemon)) {
			state.connections.add(daemon);
			actions.push({kind: 'connect', daemon, address: vm.peerAddress});
		}
	}

	return actions;
}

function dropSilentPeers(state: MembershipState, now: Millis): MembershipAction[] {
	const actions: MembershipAction[] = [];
	for (const [daemon, peer] of state.peers) {
		if (now - peer.heardAt > daemonTimeoutMs) {
			state.peers.delete(daemon);
			actions.push({kind: 'daemon-lost', daemon});
		}
	}

	return actions.length > 0 ? [...actions, {kind: 'changed'}] : actions;
}

function sendHeartbeats(state: MembershipState, peers: Iterable<DaemonId>): MembershipAction[] {
	const leavingUpstreams = [...state.leavingUpstreams];
	return [...peers].map(to => ({
		kind: 'send-heartbeat', to, leaving: state.leaving, leavingUpstreams,
	}));
}

/** Decides about membership. Updates `state` in place and returns it. */
export function decideMembership(state: MembershipState, event: MembershipEvent, now: Millis): Outcome<MembershipState, MembershipAction> {
	switch (event.kind) {
		case 'heartbeat': {
			return {state, actions: receiveHeartbeat(state, event, now)};
		}

		case 'vm-list': {
			return {state, actions: readVmList(state, event.vms)};
		}

		case 'leave': {
			state.leaving = true;
			return {state, actions: [...sendHeartbeats(state, state.peers.keys()), {kind: 'changed'}]};
		}

		case 'tick': {
			const actions = dropSilentPeers(state, now);
			if (now >= state.nextHeartbeatAt) {
				state.nextHeartbeatAt = now + heartbeatIntervalMs;
				actions.push(...sendHeartbeats(state, new Set([...state.peers.keys(), ...state.connections])));
			}

			return {state, actions};
		}
	}
}
