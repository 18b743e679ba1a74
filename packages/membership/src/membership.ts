/** Tracks live daemons and leaving upstreams, and decides which peers to connect to. */

import type {
	DaemonId, DataCentreId, Heartbeat, Millis, DecisionResult, UpstreamId, VmRecord,
} from '@cicadapost/types';
import {reconcileConnections, type ConnectionAction} from './connections.js';
import {
	daemonTimeoutMs, heartbeatIntervalMs, type MembershipState, type PeerView,
} from './state.js';
import {
	gatewayRank, isSettled, liveDaemons, liveListIntervalMs, otherDataCentres, ownsInDataCentre, vmListKey,
} from './views.js';

/** Interval at which one daemon of each data centre reads the VM list. */
const vmListReadIntervalMs = 1000;
/** Interval for the other daemons, which need only the addresses of new daemons. New daemons also connect to them. */
const backupVmListReadIntervalMs = 10_000;
/** A longer gap between two decisions means that the process was paused, since ticks arrive every 50 ms. */
const pauseThresholdMs = 1000;
/** Time after a long pause in which the daemon owns nothing: more than one heartbeat interval, so that every live peer is heard from. */
const settlingPeriodMs = 1500;
/** Time for which a relay connection is kept open after the last relay. */
const relayIdleTimeoutMs = 30_000;
/** Time for which an unresponsive daemon of another data centre is excluded from connection planning. */
const unreachableRetryMs = 5000;
/** Number of daemons whose last heartbeat is recorded. Ids of replaced VMs are never reused, so the records would grow without a limit. */
const maxLastHeartbeats = 2048;

export type MembershipEvent =
	| Readonly<{kind: 'heartbeat'; from: DaemonId; heartbeat: Heartbeat}>
	/** `from` has asked for work in this data centre, possibly before its first heartbeat. */
	| Readonly<{kind: 'contacted'; from: DaemonId}>
	/** A connection to `daemon` is open. */
	| Readonly<{kind: 'connected'; daemon: DaemonId}>
	| Readonly<{kind: 'vm-list'; vms: readonly VmRecord[]}>
	/** An upstream of an owned shard has reported its state. */
	| Readonly<{kind: 'upstream-state'; upstream: UpstreamId; leaving: boolean}>
	/** The complete set of upstreams in the shards that this daemon owns. */
	| Readonly<{kind: 'upstreams-owned'; upstreams: ReadonlySet<UpstreamId>}>
	/** A request is about to be relayed. */
	| Readonly<{kind: 'relay-to'; dataCentre: DataCentreId}>
	/** A message to `daemon` could not be sent. */
	| Readonly<{kind: 'unreachable'; daemon: DaemonId}>
	| Readonly<{kind: 'leave'}>
	/** Precedes every other event, so that stale views are dropped before they are used. */
	| Readonly<{kind: 'time'}>
	/** `inUse`: the daemons at the other end of relayed requests that are running, in either direction. */
	| Readonly<{kind: 'tick'; inUse: ReadonlySet<DaemonId>}>;

export type MembershipAction =
	| ConnectionAction
	| Readonly<{kind: 'send-heartbeat'; to: DaemonId; heartbeat: Omit<Heartbeat, 'configurationVersion' | 'incarnation'>}>
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	| Readonly<{kind: 'read-vm-list'}>
	/** The set of live daemons or of leaving upstreams has changed. */
	| Readonly<{kind: 'changed'}>;

const viewsChanged: MembershipAction = {kind: 'changed'};

/** Clears the caches that are derived from the views and reports the change. */
function invalidateViews(state: MembershipState): MembershipAction[] {
	state.ownerCache.clear();
	state.gatewayRankCache.clear();
	return [viewsChanged];
}

/**
Leaving upstreams that this daemon has observed itself. Heartbeats carry only these: if daemons repeated what they hear from
each other, an entry would never expire.
*/
function locallyObservedLeaving(state: MembershipState): UpstreamId[] {
	const listed = ownsInDataCentre(state, vmListKey) ? state.listedLeaving : [];
	return [...new Set([...listed, ...state.reportedLeaving])];
}

function refreshLeavingUpstreams(state: MembershipState): MembershipAction[] {
	const localPeers = [...state.peers.values()].filter(peer => peer.dataCentre === state.dataCentre);
	const leaving = new Set([...locallyObservedLeaving(state), ...state.retainedLeaving.keys(), ...localPeers.flatMap(peer => [...peer.leavingUpstreams])]);
	const isSame = leaving.size === state.leavingUpstreams.size && [...leaving].every(upstream => state.leavingUpstreams.has(upstream));
	state.leavingUpstreams = leaving;
	return isSame ? [] : [viewsChanged];
}

function isStaleHeartbeat(state: MembershipState, from: DaemonId, heartbeat: Heartbeat): boolean {
	const last = state.lastHeartbeats.get(from);
	if (last === undefined || heartbeat.incarnation > last.incarnation) {
		return false;
	}

	return heartbeat.incarnation < last.incarnation || (heartbeat.sequence !== undefined && heartbeat.sequence <= last.sequence);
}

function recordLastHeartbeat(state: MembershipState, from: DaemonId, heartbeat: Heartbeat): void {
	// Deleting first keeps the map in the order of the last heartbeat.
	state.lastHeartbeats.delete(from);
	state.lastHeartbeats.set(from, {incarnation: heartbeat.incarnation, sequence: heartbeat.sequence ?? 0});
	const [oldest] = state.lastHeartbeats.keys();
	if (state.lastHeartbeats.size > maxLastHeartbeats && oldest !== undefined) {
		state.lastHeartbeats.delete(oldest);
	}
}

function receiveHeartbeat(state: MembershipState, event: Extract<MembershipEvent, {kind: 'heartbeat'}>, now: Millis): MembershipAction[] {
	const {from, heartbeat} = event;
	const previous = state.peers.get(from);
	const changesDataCentre = previous?.incarnation === heartbeat.incarnation && previous.dataCentre !== heartbeat.dataCentre;
	if (from === state.self || isStaleHeartbeat(state, from, heartbeat) || changesDataCentre) {
		return [];
	}

	const isRestarted = previous !== undefined && previous.incarnation !== 0 && heartbeat.incarnation > previous.incarnation;
	recordLastHeartbeat(state, from, heartbeat);
	retainLeavingUpstreams(state, previous, new Set(heartbeat.leavingUpstreams), now);
	state.unreachable.delete(from);
	state.peers.set(from, createPeerView(heartbeat, isRestarted ? undefined : previous, now));
	const isChanged = isRestarted || previous?.leaving !== heartbeat.leaving || previous.dataCentre !== heartbeat.dataCentre;
	const affectsLeavingUpstreams = heartbeat.leavingUpstreams.length > 0 || (previous?.leavingUpstreams.size ?? 0) > 0;
	return [
		...(isRestarted ? [{kind: 'daemon-lost' as const, daemon: from}] : []),
		...(isChanged ? invalidateViews(state) : []),
		...(affectsLeavingUpstreams ? refreshLeavingUpstreams(state) : []),
	];
}

/** Retains leaving upstreams that a peer no longer reports until the next owner of the shard has read their state itself. */
function retainLeavingUpstreams(state: MembershipState, previous: PeerView | undefined, stillLeaving: ReadonlySet<UpstreamId>, now: Millis): void {
	for (const upstream of previous?.dataCentre === state.dataCentre ? previous.leavingUpstreams : []) {
		if (!stillLeaving.has(upstream)) {
			state.retainedLeaving.set(upstream, now + daemonTimeoutMs);
		}
	}
}

function createPeerView(heartbeat: Heartbeat, previous: PeerView | undefined, now: Millis): PeerView {
	return {
		dataCentre: heartbeat.dataCentre,
		incarnation: heartbeat.incarnation,
		sequence: heartbeat.sequence ?? 0,
		lastHeardAt: now,
		leaving: heartbeat.leaving,
		configurationVersion: heartbeat.configurationVersion,
		leavingUpstreams: new Set(heartbeat.leavingUpstreams),
		live: heartbeat.live ?? previous?.live,
		liveReceivedAt: heartbeat.live === undefined ? previous?.liveReceivedAt ?? now : now,
		reaches: heartbeat.reaches ?? [],
	};
}

/** Adds a daemon that has asked for work to the peers, so that its slots are released if it sends no heartbeats. */
function receiveContact(state: MembershipState, from: DaemonId, now: Millis): MembershipAction[] {
	if (from === state.self || state.peers.has(from)) {
		return [];
	}

	state.peers.set(from, {
		dataCentre: state.dataCentre,
		incarnation: 0,
		sequence: 0,
		lastHeardAt: now,
		leaving: true,
		configurationVersion: 0,
		leavingUpstreams: new Set(),
		live: undefined,
		liveReceivedAt: now,
		reaches: [],
	});
	return invalidateViews(state);
}

function applyVmList(state: MembershipState, vms: readonly VmRecord[], now: Millis): MembershipAction[] {
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
	return [...refreshLeavingUpstreams(state), ...reconcileConnections(state, now)];
}

function expireSilentPeers(state: MembershipState, now: Millis): MembershipAction[] {
	const actions: MembershipAction[] = [];
	for (const [daemon, peer] of state.peers) {
		if (now - peer.lastHeardAt > daemonTimeoutMs) {
			state.peers.delete(daemon);
			actions.push({kind: 'daemon-lost', daemon});
			retainLeavingUpstreams(state, peer, new Set(), now);
		}
	}

	return actions.length > 0 ? [...actions, ...invalidateViews(state)] : actions;
}

/**
Detects a pause of the process and expires the peers that were not heard from meanwhile. After a pause longer than
`daemonTimeoutMs`, the daemon owns nothing until its views have settled.
*/
function detectPause(state: MembershipState, now: Millis): MembershipAction[] {
	const gap = now - (state.lastDecisionAt ?? now);
	const wasSettled = isSettled(state);
	state.lastDecisionAt = now;
	if (gap > daemonTimeoutMs && [...state.peers.values()].some(peer => peer.dataCentre === state.dataCentre)) {
		state.settlesAt = now + settlingPeriodMs;
	}

	const actions = gap > pauseThresholdMs ? expireSilentPeers(state, now) : [];
	return wasSettled === isSettled(state) ? actions : [...actions, ...invalidateViews(state)];
}

/** Returns the list of live daemons if this daemon is a gateway and the list is due. It is most of the traffic between data centres. */
function liveListIfDue(state: MembershipState, to: DaemonId, dataCentre: DataCentreId): {live?: DaemonId[]} {
	if (gatewayRank(state, dataCentre) === -1) {
		state.lastLiveListSent.delete(to);
		return {};
	}

	const live = liveDaemons(state, state.dataCentre);
	const now = state.lastDecisionAt ?? 0;
	const last = state.lastLiveListSent.get(to);
	if (last?.live === live.join(' ') && now - last.at < liveListIntervalMs) {
		return {};
	}

	state.lastLiveListSent.set(to, {live: live.join(' '), at: now});
	return {live};
}

function createHeartbeatFor(state: MembershipState, to: DaemonId): Extract<MembershipAction, {kind: 'send-heartbeat'}>['heartbeat'] {
	const dataCentre = state.peers.get(to)?.dataCentre ?? state.listed.get(to)?.dataCentre;
	const base = {
		kind: 'heartbeat' as const, dataCentre: state.dataCentre, sequence: state.sequence, leaving: state.leaving,
	};
	if (dataCentre !== undefined && dataCentre !== state.dataCentre) {
		return {...base, leavingUpstreams: [], ...liveListIfDue(state, to, dataCentre)};
	}

	const heardDataCentres = new Set([...state.peers.values()].map(peer => peer.dataCentre));
	const reaches = otherDataCentres(state).filter(other => heardDataCentres.has(other) && gatewayRank(state, other) !== -1);
	return {...base, leavingUpstreams: locallyObservedLeaving(state), ...(reaches.length > 0 ? {reaches} : {})};
}

function sendHeartbeats(state: MembershipState): MembershipAction[] {
	state.sequence++;
	let localHeartbeat: ReturnType<typeof createHeartbeatFor> | undefined;
	return [...new Set([...state.peers.keys(), ...state.connections.keys()])].map(to => {
		const isLocal = (state.peers.get(to) ?? state.listed.get(to))?.dataCentre === state.dataCentre;
		const heartbeat = isLocal ? localHeartbeat ?? createHeartbeatFor(state, to) : createHeartbeatFor(state, to);
		localHeartbeat = isLocal ? heartbeat : localHeartbeat;
		return {kind: 'send-heartbeat', to, heartbeat};
	});
}

/** Excludes unresponsive daemons of other data centres from connection planning, so that others are chosen instead. */
function updateUnreachable(state: MembershipState, now: Millis): void {
	for (const [daemon, until] of state.unreachable) {
		if (now >= until) {
			state.unreachable.delete(daemon);
		}
	}

	for (const [daemon, since] of state.connections) {
		const isRemote = state.listed.get(daemon)?.dataCentre !== state.dataCentre;
		if (isRemote && !state.peers.has(daemon) && now - since > daemonTimeoutMs) {
			state.unreachable.set(daemon, now + unreachableRetryMs);
		}
	}
}

function removeExpiredEntries(state: MembershipState, now: Millis): void {
	for (const [upstream, until] of state.retainedLeaving) {
		if (now >= until) {
			state.retainedLeaving.delete(upstream);
		}
	}

	for (const [dataCentre, until] of state.relayDataCentres) {
		if (now >= until) {
			state.relayDataCentres.delete(dataCentre);
		}
	}
}

function tick(state: MembershipState, now: Millis): MembershipAction[] {
	const actions = expireSilentPeers(state, now);
	const isVmListReader = ownsInDataCentre(state, vmListKey);
	if (now >= state.nextVmListReadAt || (isVmListReader && state.nextVmListReadAt - now > vmListReadIntervalMs)) {
		state.nextVmListReadAt = now + (isVmListReader ? vmListReadIntervalMs : backupVmListReadIntervalMs);
		actions.push({kind: 'read-vm-list'});
	}

	if (now >= state.nextHeartbeatAt) {
		state.nextHeartbeatAt = now + heartbeatIntervalMs;
		updateUnreachable(state, now);
		removeExpiredEntries(state, now);
		actions.push(...refreshLeavingUpstreams(state), ...reconcileConnections(state, now), ...sendHeartbeats(state));
	}

	return actions;
}

function handleEvent(state: MembershipState, event: MembershipEvent, now: Millis): MembershipAction[] {
	switch (event.kind) {
		case 'heartbeat': {
			return receiveHeartbeat(state, event, now);
		}

		case 'contacted': {
			return receiveContact(state, event.from, now);
		}

		case 'connected': {
			state.lastLiveListSent.delete(event.daemon);
			return [{kind: 'send-heartbeat', to: event.daemon, heartbeat: {...createHeartbeatFor(state, event.daemon), sequence: ++state.sequence}}];
		}

		case 'vm-list': {
			return applyVmList(state, event.vms, now);
		}

		case 'upstream-state': {
			state.reportedLeaving[event.leaving ? 'add' : 'delete'](event.upstream);
			return refreshLeavingUpstreams(state);
		}

		case 'upstreams-owned': {
			for (const upstream of state.reportedLeaving) {
				if (!event.upstreams.has(upstream)) {
					state.reportedLeaving.delete(upstream);
				}
			}

			return [];
		}

		case 'relay-to': {
			const isNew = !state.relayDataCentres.has(event.dataCentre);
			state.relayDataCentres.set(event.dataCentre, now + relayIdleTimeoutMs);
			return isNew ? reconcileConnections(state, now) : [];
		}

		case 'unreachable': {
			state.unreachable.set(event.daemon, now + unreachableRetryMs);
			return reconcileConnections(state, now);
		}

		case 'leave': {
			state.leaving = true;
			// The new owners have to learn that they own the shards before they are told what is running there.
			return [...sendHeartbeats(state), ...invalidateViews(state)];
		}

		case 'time': {
			return detectPause(state, now);
		}

		case 'tick': {
			state.inUse = event.inUse;
			return tick(state, now);
		}
	}
}

/** Handles one membership event. Updates `state` in place and returns it with the resulting actions. */
export function decideMembership(state: MembershipState, event: MembershipEvent, now: Millis): DecisionResult<MembershipState, MembershipAction> {
	return {state, actions: handleEvent(state, event, now)};
}
