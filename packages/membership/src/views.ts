/** Queries on the membership views: live daemons, owners and gateways. */

import type {DaemonId, DataCentreId} from '@cicadapost/types';
import {ownerOf, rankByRendezvousScore} from './ownership.js';
import {type MembershipState} from './state.js';

/** Number of gateways for each ordered pair of data centres. With two, losing one does not interrupt the exchange. */
export const gatewaysPerPair = 2;
/** Interval at which a gateway repeats its list of live daemons. A changed list is sent with the next heartbeat. */
export const liveListIntervalMs = 5000;
/** Two repeats may be lost before a list expires. */
const liveListLifetimeMs = 3 * liveListIntervalMs;
/** Ownership key for reading the VM list of a data centre. */
export const vmListKey = 'vm-list';

function sorted(daemons: Iterable<DaemonId>): DaemonId[] {
	return [...daemons].sort((a, b) => (a < b ? -1 : 1));
}

/** Returns the live daemons of `dataCentre` that accept work, including this one. */
export function liveDaemons(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const live = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre && !peer.leaving).map(([daemon]) => daemon);
	if (dataCentre === state.dataCentre && !state.leaving && isSettled(state)) {
		live.push(state.self);
	}

	return sorted(live);
}

/** Whether the views have settled. False for a short time after a pause, when a daemon must not act as an owner. */
export function isSettled(state: MembershipState): boolean {
	return (state.lastDecisionAt ?? 0) >= state.settlesAt;
}

/** Daemons that may own keys in `dataCentre`. Leaving daemons count only while there are no others. */
function ownerCandidates(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const live = liveDaemons(state, dataCentre);
	if (live.length > 0) {
		return live;
	}

	const leaving = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre).map(([daemon]) => daemon);
	const isSelfCandidate = dataCentre === state.dataCentre && state.leaving && isSettled(state);
	return sorted(isSelfCandidate ? [...leaving, state.self] : leaving);
}

/** Returns the live daemon of `dataCentre` that owns `key`. */
export function ownerInDataCentre(state: MembershipState, dataCentre: DataCentreId, key: string): DaemonId | undefined {
	const cacheKey = `${dataCentre}\n${key}`;
	if (!state.ownerCache.has(cacheKey)) {
		state.ownerCache.set(cacheKey, ownerOf(key, ownerCandidates(state, dataCentre)));
	}

	return state.ownerCache.get(cacheKey);
}

/** Whether this daemon owns `key` in its data centre. */
export function ownsInDataCentre(state: MembershipState, key: string): boolean {
	return ownerInDataCentre(state, state.dataCentre, key) === state.self;
}

/**
Returns the daemons of another data centre that are likely to accept a connection. Uses the live lists of its gateways if
there are any, otherwise the VM list.
*/
export function reachableDaemons(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const heardPeers = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre);
	const liveLists = heardPeers
		.filter(([, peer]) => (state.lastDecisionAt ?? 0) - peer.liveReceivedAt < liveListLifetimeMs)
		.map(([, peer]) => peer.live)
		.filter(live => live !== undefined);
	const listed = [...state.listed].filter(([, vm]) => vm.dataCentre === dataCentre && !vm.leaving).map(([daemon]) => daemon);
	const known = new Set([...(liveLists.length > 0 ? liveLists.flat() : listed), ...heardPeers.map(([daemon]) => daemon)]);
	const accepting = sorted(known).filter(daemon => state.peers.get(daemon)?.leaving !== true);
	const answering = accepting.filter(daemon => !state.unreachable.has(daemon));
	// During a partition no daemon responds. All are tried then, so that a connection exists as soon as the partition heals.
	return answering.length > 0 ? answering : accepting;
}

function gatewayKey(from: DataCentreId, to: DataCentreId): string {
	return `gateway/${from}/${to}`;
}

/** Returns the rank of this daemon among the gateways of its data centre towards `other`, or -1 if it is not a gateway. */
export function gatewayRank(state: MembershipState, other: DataCentreId): number {
	const cachedRank = state.gatewayRankCache.get(other);
	if (cachedRank !== undefined) {
		return cachedRank;
	}

	const rank = rankByRendezvousScore(gatewayKey(state.dataCentre, other), liveDaemons(state, state.dataCentre), gatewaysPerPair).indexOf(state.self);
	state.gatewayRankCache.set(other, rank);
	return rank;
}

/** Returns the daemon of `other` that the gateway of rank `rank` exchanges live lists with. */
export function gatewayCounterpart(state: MembershipState, other: DataCentreId, rank: number): DaemonId | undefined {
	const gateways = rankByRendezvousScore(gatewayKey(other, state.dataCentre), reachableDaemons(state, other), gatewaysPerPair);
	return gateways[rank] ?? gateways[0];
}

export function otherDataCentres(state: MembershipState): DataCentreId[] {
	const all = [...state.listed.values(), ...state.peers.values()].map(({dataCentre}) => dataCentre);
	return [...new Set(all)].filter(dataCentre => dataCentre !== state.dataCentre).sort();
}

/** Returns the counterpart in each data centre towards which this daemon is the first gateway. */
export function primaryGatewayPeers(state: MembershipState): DaemonId[] {
	return otherDataCentres(state)
		.filter(other => gatewayRank(state, other) === 0)
		.map(other => gatewayCounterpart(state, other, 0))
		.filter(daemon => daemon !== undefined);
}

/** Whether requests can be relayed to `dataCentre`, according to this daemon's own peers or to the gateways of its data centre. */
export function isReachable(state: MembershipState, dataCentre: DataCentreId): boolean {
	return [...state.peers.values()].some(peer => (peer.dataCentre === dataCentre && !peer.leaving)
		|| (peer.dataCentre === state.dataCentre && peer.reaches.includes(dataCentre)));
}

/**
Returns the daemon of `dataCentre` that this daemon relays requests to.
The target stays the same while it is reachable, so that one relay connection for each data centre is enough.
*/
export function relayTarget(state: MembershipState, dataCentre: DataCentreId): DaemonId | undefined {
	return ownerOf(`relay/${state.self}`, reachableDaemons(state, dataCentre));
}
