/** Which daemons are alive, which upstreams are leaving, and which peers to be connected to. */

import type {
	DaemonId, DataCentreId, Heartbeat, Millis, DecisionResult, UpstreamId, VmRecord,
} from '@cicadapost/types';
import {applyPlan, type ConnectionAction} from './connections.js';
import {
	daemonTimeoutMs, heartbeatIntervalMs, type MembershipState, type PeerView,
} from './state.js';
import {
	gatewayRank, isSettled, liveDaemons, liveIntervalMs, otherDataCentres, ownsInDataCentre, vmListKey,
} from './views.js';

/** The VM list is read this often by one daemon of each data centre. */
const listIntervalMs = 1000;
/** The others read it for the addresses of new daemons, which connect to them on their own anyway. */
const addressIntervalMs = 10_000;
/** A longer gap between two decisions means that the process was paused; ticks come every 50 ms. */
const pauseMs = 1000;
/** After a pause: one heartbeat interval and some, so that each live peer has been heard. */
const settleMs = 1500;
/** A connection for relays is kept this long after the last relay. */
const relayIdleMs = 30_000;
/** A daemon of another data centre that did not answer is left out of the plan for this long. */
const unreachableMs = 5000;
/** Number of daemons whose last heartbeat is remembered; ids of replaced VMs are not used again. */
const maxLastHeard = 2048;

export type MembershipEvent =
	| Readonly<{kind: 'heartbeat'; from: DaemonId; heartbeat: Heartbeat}>
	/** A daemon that has sent no heartbeat yet asks for work in this data centre. */
	| Readonly<{kind: 'contacted'; from: DaemonId}>
	/** A connection to `daemon` is open. */
	| Readonly<{kind: 'connected'; daemon: DaemonId}>
	| Readonly<{kind: 'vm-list'; vms: readonly VmRecord[]}>
	/** An upstream of an owned shard has told its state. */
	| Readonly<{kind: 'upstream-state'; upstream: UpstreamId; leaving: boolean}>
	/** This daemon owns the shards of these upstreams and no others. */
	| Readonly<{kind: 'upstreams-owned'; upstreams: ReadonlySet<UpstreamId>}>
	/** A request is about to be relayed. */
	| Readonly<{kind: 'relay-to'; dataCentre: DataCentreId}>
	/** A message to `daemon` could not be sent. */
	| Readonly<{kind: 'unreachable'; daemon: DaemonId}>
	| Readonly<{kind: 'leave'}>
	/** Sent before any other event of a decision, so that an old view is dropped before it is used. */
	| Readonly<{kind: 'time'}>
	/** `inUse`: daemons that run a relayed request for this one, or this one for them. */
	| Readonly<{kind: 'tick'; inUse: ReadonlySet<DaemonId>}>;

export type MembershipAction =
	| ConnectionAction
	| Readonly<{kind: 'send-heartbeat'; to: DaemonId; heartbeat: Omit<Heartbeat, 'configurationVersion' | 'incarnation'>}>
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	| Readonly<{kind: 'read-vm-list'}>
	/** The set of live daemons or of leaving upstreams has changed. */
	| Readonly<{kind: 'changed'}>;

const changed: MembershipAction = {kind: 'changed'};

/** Marks the views as changed. */
function change(state: MembershipState): MembershipAction[] {
	state.owners.clear();
	state.gatewayRanks.clear();
	return [changed];
}

/** What this daemon itself has read. Only this is sent on: daemons that repeat each other would never forget. */
function ownLeaving(state: MembershipState): UpstreamId[] {
	const listed = ownsInDataCentre(state, vmListKey) ? state.listedLeaving : [];
	return [...new Set([...listed, ...state.statedLeaving])];
}

function refreshLeaving(state: MembershipState): MembershipAction[] {
	const local = [...state.peers.values()].filter(peer => peer.dataCentre === state.dataCentre);
	const leaving = new Set([...ownLeaving(state), ...state.inheritedLeaving.keys(), ...local.flatMap(peer => [...peer.leavingUpstreams])]);
	const isSame = leaving.size === state.leavingUpstreams.size && [...leaving].every(upstream => state.leavingUpstreams.has(upstream));
	state.leavingUpstreams = leaving;
	return isSame ? [] : [changed];
}

function isOld(state: MembershipState, from: DaemonId, heartbeat: Heartbeat): boolean {
	const last = state.lastHeard.get(from);
	if (last === undefined || heartbeat.incarnation > last.incarnation) {
		return false;
	}

	return heartbeat.incarnation < last.incarnation || (heartbeat.sequence !== undefined && heartbeat.sequence <= last.sequence);
}

function remember(state: MembershipState, from: DaemonId, heartbeat: Heartbeat): void {
	// Deleting first keeps the map in the order of the last heartbeat.
	state.lastHeard.delete(from);
	state.lastHeard.set(from, {incarnation: heartbeat.incarnation, sequence: heartbeat.sequence ?? 0});
	const [oldest] = state.lastHeard.keys();
	if (state.lastHeard.size > maxLastHeard && oldest !== undefined) {
		state.lastHeard.delete(oldest);
	}
}

function receiveHeartbeat(state: MembershipState, event: Extract<MembershipEvent, {kind: 'heartbeat'}>, now: Millis): MembershipAction[] {
	const {from, heartbeat} = event;
	const known = state.peers.get(from);
	const hasMoved = known?.incarnation === heartbeat.incarnation && known.dataCentre !== heartbeat.dataCentre;
	if (from === state.self || isOld(state, from, heartbeat) || hasMoved) {
		return [];
	}

	const isRestarted = known !== undefined && known.incarnation !== 0 && heartbeat.incarnation > known.incarnation;
	remember(state, from, heartbeat);
	inherit(state, known, new Set(heartbeat.leavingUpstreams), now);
	state.unreachable.delete(from);
	state.peers.set(from, viewOf(heartbeat, isRestarted ? undefined : known, now));
	const isChanged = isRestarted || known?.leaving !== heartbeat.leaving || known.dataCentre !== heartbeat.dataCentre;
	const namesUpstreams = heartbeat.leavingUpstreams.length > 0 || (known?.leavingUpstreams.size ?? 0) > 0;
	return [
		...(isRestarted ? [{kind: 'daemon-lost' as const, daemon: from}] : []),
		...(isChanged ? change(state) : []),
		...(namesUpstreams ? refreshLeaving(state) : []),
	];
}

/** Keeps what a peer no longer says until the next owner of the shard has read the upstream itself. */
function inherit(state: MembershipState, known: PeerView | undefined, stillLeaving: ReadonlySet<UpstreamId>, now: Millis): void {
	for (const upstream of known?.dataCentre === state.dataCentre ? known.leavingUpstreams : []) {
		if (!stillLeaving.has(upstream)) {
			state.inheritedLeaving.set(upstream, now + daemonTimeoutMs);
		}
	}
}

function viewOf(heartbeat: Heartbeat, known: PeerView | undefined, now: Millis): PeerView {
	return {
		dataCentre: heartbeat.dataCentre,
		incarnation: heartbeat.incarnation,
		sequence: heartbeat.sequence ?? 0,
		heardAt: now,
		leaving: heartbeat.leaving,
		configurationVersion: heartbeat.configurationVersion,
		leavingUpstreams: new Set(heartbeat.leavingUpstreams),
		live: heartbeat.live ?? known?.live,
		liveAt: heartbeat.live === undefined ? known?.liveAt ?? now : now,
		reaches: heartbeat.reaches ?? [],
	};
}

/** Keeps a view of a daemon that has asked for work, so that what it holds is returned when it falls silent. */
function receiveContact(state: MembershipState, from: DaemonId, now: Millis): MembershipAction[] {
	if (from === state.self || state.peers.has(from)) {
		return [];
	}

	state.peers.set(from, {
		dataCentre: state.dataCentre, incarnation: 0, sequence: 0, heardAt: now, leaving: true, configurationVersion: 0, leavingUpstreams: new Set(), live: undefined, liveAt: now, reaches: [],
	});
	return change(state);
}

function readVmList(state: MembershipState, vms: readonly VmRecord[], now: Millis): MembershipAction[] {
	state.listed.clear();
	const leaving = new Set<UpstreamId>();
	for (const vm of vms) {
		if (vm.role === 'upstream' && vm.dataCentre === state.dataCentre && vm.state === 'leaving') {
			leaving.add(vm.id as UpstreamId);
		}

		if (vm.role === 'entry' && vm.peerAddress !== undefined) {
			state.listed.set(vm.id as DaemonId, {dataCentre: vm.dataCentre, address: vm.peerAddress, leaving: vm.state === 'leaving'});
		}
	}

	state.listedLeaving = leaving;
	return [...refreshLeaving(state), ...applyPlan(state, now)];
}

function dropSilentPeers(state: MembershipState, now: Millis): MembershipAction[] {
	const actions: MembershipAction[] = [];
	for (const [daemon, peer] of state.peers) {
		if (now - peer.heardAt > daemonTimeoutMs) {
			state.peers.delete(daemon);
			actions.push({kind: 'daemon-lost', daemon});
			inherit(state, peer, new Set(), now);
		}
	}

	return actions.length > 0 ? [...actions, ...change(state)] : actions;
}

/** Drops views that were not renewed while the process was paused, and with them the right to own anything for a while. */
function noticeTime(state: MembershipState, now: Millis): MembershipAction[] {
	const gap = now - (state.decidedAt ?? now);
	const wasSettled = isSettled(state);
	state.decidedAt = now;
	if (gap > daemonTimeoutMs && [...state.peers.values()].some(peer => peer.dataCentre === state.dataCentre)) {
		state.settledAt = now + settleMs;
	}

	const actions = gap > pauseMs ? dropSilentPeers(state, now) : [];
	return wasSettled === isSettled(state) ? actions : [...actions, ...change(state)];
}

/** The list of live daemons, if this daemon is a gateway and the list is due: it is most of the traffic between data centres. */
function liveFor(state: MembershipState, to: DaemonId, dataCentre: DataCentreId): {live?: DaemonId[]} {
	if (gatewayRank(state, dataCentre) === -1) {
		state.liveSent.delete(to);
		return {};
	}

	const live = liveDaemons(state, state.dataCentre);
	const now = state.decidedAt ?? 0;
	const last = state.liveSent.get(to);
	if (last?.live === live.join(' ') && now - last.at < liveIntervalMs) {
		return {};
	}

	state.liveSent.set(to, {live: live.join(' '), at: now});
	return {live};
}

function heartbeatTo(state: MembershipState, to: DaemonId): Extract<MembershipAction, {kind: 'send-heartbeat'}>['heartbeat'] {
	const dataCentre = state.peers.get(to)?.dataCentre ?? state.listed.get(to)?.dataCentre;
	const base = {
		kind: 'heartbeat' as const, dataCentre: state.dataCentre, sequence: state.sequence, leaving: state.leaving,
	};
	if (dataCentre !== undefined && dataCentre !== state.dataCentre) {
		return {...base, leavingUpstreams: [], ...liveFor(state, to, dataCentre)};
	}

	const heard = new Set([...state.peers.values()].map(peer => peer.dataCentre));
	const reaches = otherDataCentres(state).filter(other => heard.has(other) && gatewayRank(state, other) !== -1);
	return {...base, leavingUpstreams: ownLeaving(state), ...(reaches.length > 0 ? {reaches} : {})};
}

function sendHeartbeats(state: MembershipState): MembershipAction[] {
	state.sequence++;
	let local: ReturnType<typeof heartbeatTo> | undefined;
	return [...new Set([...state.peers.keys(), ...state.connections.keys()])].map(to => {
		const isLocal = (state.peers.get(to) ?? state.listed.get(to))?.dataCentre === state.dataCentre;
		const heartbeat = isLocal ? local ?? heartbeatTo(state, to) : heartbeatTo(state, to);
		local = isLocal ? heartbeat : local;
		return {kind: 'send-heartbeat', to, heartbeat};
	});
}

/** Leaves daemons of other data centres that do not answer out of the plan, so that it names others. */
function noticeUnreachable(state: MembershipState, now: Millis): void {
	for (const [daemon, until] of state.unreachable) {
		if (now >= until) {
			state.unreachable.delete(daemon);
		}
	}

	for (const [daemon, since] of state.connections) {
		const isRemote = state.listed.get(daemon)?.dataCentre !== state.dataCentre;
		if (isRemote && !state.peers.has(daemon) && now - since > daemonTimeoutMs) {
			state.unreachable.set(daemon, now + unreachableMs);
		}
	}
}

function forgetExpired(state: MembershipState, now: Millis): void {
	for (const [upstream, until] of state.inheritedLeaving) {
		if (now >= until) {
			state.inheritedLeaving.delete(upstream);
		}
	}

	for (const [dataCentre, until] of state.relaysTo) {
		if (now >= until) {
			state.relaysTo.delete(dataCentre);
		}
	}
}

function tick(state: MembershipState, now: Millis): MembershipAction[] {
	const actions = dropSilentPeers(state, now);
	const isReader = ownsInDataCentre(state, vmListKey);
	if (now >= state.nextListAt || (isReader && state.nextListAt - now > listIntervalMs)) {
		state.nextListAt = now + (isReader ? listIntervalMs : addressIntervalMs);
		actions.push({kind: 'read-vm-list'});
	}

	if (now >= state.nextHeartbeatAt) {
		state.nextHeartbeatAt = now + heartbeatIntervalMs;
		noticeUnreachable(state, now);
		forgetExpired(state, now);
		actions.push(...refreshLeaving(state), ...applyPlan(state, now), ...sendHeartbeats(state));
	}

	return actions;
}

function decideActions(state: MembershipState, event: MembershipEvent, now: Millis): MembershipAction[] {
	switch (event.kind) {
		case 'heartbeat': {
			return receiveHeartbeat(state, event, now);
		}

		case 'contacted': {
			return receiveContact(state, event.from, now);
		}

		case 'connected': {
			state.liveSent.delete(event.daemon);
			return [{kind: 'send-heartbeat', to: event.daemon, heartbeat: {...heartbeatTo(state, event.daemon), sequence: ++state.sequence}}];
		}

		case 'vm-list': {
			return readVmList(state, event.vms, now);
		}

		case 'upstream-state': {
			state.statedLeaving[event.leaving ? 'add' : 'delete'](event.upstream);
			return refreshLeaving(state);
		}

		case 'upstreams-owned': {
			for (const upstream of state.statedLeaving) {
				if (!event.upstreams.has(upstream)) {
					state.statedLeaving.delete(upstream);
				}
			}

			return [];
		}

		case 'relay-to': {
			const isNew = !state.relaysTo.has(event.dataCentre);
			state.relaysTo.set(event.dataCentre, now + relayIdleMs);
			return isNew ? applyPlan(state, now) : [];
		}

		case 'unreachable': {
			state.unreachable.set(event.daemon, now + unreachableMs);
			return applyPlan(state, now);
		}

		case 'leave': {
			state.leaving = true;
			// The next owners must know that they own the shards before they hear what runs there.
			return [...sendHeartbeats(state), ...change(state)];
		}

		case 'time': {
			return noticeTime(state, now);
		}

		case 'tick': {
			state.inUse = event.inUse;
			return tick(state, now);
		}
	}
}

/** Decides about membership. Updates `state` in place and returns it. */
export function decideMembership(state: MembershipState, event: MembershipEvent, now: Millis): DecisionResult<MembershipState, MembershipAction> {
	return {state, actions: decideActions(state, event, now)};
}
