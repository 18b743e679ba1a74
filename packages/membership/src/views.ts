/** What follows from the views: who is alive, who owns what, who is a gateway. */

import type {DaemonId, DataCentreId} from '@cicadapost/types';
import {ownerOf, rankByRendezvousScore} from './ownership.js';
import {type MembershipState} from './state.js';

/** Gateways for each ordered pair of data centres. Two, so that the loss of one is not noticed. */
export const gatewaysPerPair = 2;
/** A gateway repeats the list of live daemons this often; it sends it at once when it changes. */
export const liveListIntervalMs = 5000;
/** Two repeats may be lost before a list counts as old. */
const liveListLifetimeMs = 3 * liveListIntervalMs;
/** Key of the daemon that reads the VM list for its data centre. */
export const vmListKey = 'vm-list';

function sorted(daemons: Iterable<DaemonId>): DaemonId[] {
	return [...daemons].sort((a, b) => (a < b ? -1 : 1));
}

/** Live daemons of `dataCentre` that accept work, this one included. */
export function liveDaemons(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const live = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre && !peer.leaving).map(([daemon]) => daemon);
	if (dataCentre === state.dataCentre && !state.leaving && isSettled(state)) {
		live.push(state.self);
	}

	return sorted(live);
}

/** False for a short time after a pause, in which a daemon must not act as an owner. */
export function isSettled(state: MembershipState): boolean {
	return (state.lastDecisionAt ?? 0) >= state.settlesAt;
}

/** Daemons that may own something in `dataCentre`: the leaving ones only while there is no other. */
function ownerCandidates(state: MembershipState, dataCentre: DataCentreId): DaemonId[] {
	const live = liveDaemons(state, dataCentre);
	if (live.length > 0) {
		return live;
	}

	const leaving = [...state.peers].filter(([, peer]) => peer.dataCentre === dataCentre).map(([daemon]) => daemon);
	const isSelfCandidate = dataCentre === state.dataCentre && state.leaving && isSettled(state);
	return sorted(isSelfCandidate ? [...leaving, state.self] : leaving);
}

/** The live daemon of `dataCentre` that owns `key`. */
export function ownerInDataCentre(state: MembershipState, dataCentre: DataCentreId, key: string): DaemonId | undefined {
	const cacheKey = `${dataCentre}\n${key}`;
	if (!state.ownerCache.has(cacheKey)) {
		state.ownerCache.set(cacheKey, ownerOf(key, ownerCandidates(state, dataCentre)));
	}

	return state.ownerCache.get(cacheKey);
}

/** Whether this daemon does the work named `key` for its data centre. */
export function ownsInDataCentre(state: MembershipState, key: string): boolean {
	return ownerInDataCentre(state, state.dataCentre, key) === state.self;
}

/** Daemons of another data centre that are likely to accept a connection, by summaries if there are any, else by the VM list. */
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
	// In a partition none answers. All are tried then, so that a connection is there as soon as it heals.
	return answering.length > 0 ? answering : accepting;
}

function gatewayKey(from: DataCentreId, to: DataCentreId): string {
	return `gateway/${from}/${to}`;
}

/** Position of this daemon among the gateways of its data centre towards `other`, or -1. */
export function gatewayRank(state: MembershipState, other: DataCentreId): number {
	const cachedRank = state.gatewayRankCache.get(other);
	if (cachedRank !== undefined) {
		return cachedRank;
	}

	const rank = rankByRendezvousScore(gatewayKey(state.dataCentre, other), liveDaemons(state, state.dataCentre), gatewaysPerPair).indexOf(state.self);
	state.gatewayRankCache.set(other, rank);
	return rank;
}

/** The daemon of `other` that the gateway of rank `rank` exchanges summaries with. */
export function gatewayCounterpart(state: MembershipState, other: DataCentreId, rank: number): DaemonId | undefined {
	const gateways = rankByRendezvousScore(gatewayKey(other, state.dataCentre), reachableDaemons(state, other), gatewaysPerPair);
	return gateways[rank] ?? gateways[0];
}

export function otherDataCentres(state: MembershipState): DataCentreId[] {
	const all = [...state.listed.values(), ...state.peers.values()].map(({dataCentre}) => dataCentre);
	return [...new Set(all)].filter(dataCentre => dataCentre !== state.dataCentre).sort();
}

/** The peers that this daemon is the first gateway towards: one in each other data centre for which it is. */
export function primaryGatewayPeers(state: MembershipState): DaemonId[] {
	return otherDataCentres(state)
		.filter(other => gatewayRank(state, other) === 0)
		.map(other => gatewayCounterpart(state, other, 0))
		.filter(daemon => daemon !== undefined);
}

/** Whether requests can be relayed to `dataCentre`, by this daemon's own connections or by what a gateway says. */
export function isReachable(state: MembershipState, dataCentre: DataCentreId): boolean {
	return [...state.peers.values()].some(peer => (peer.dataCentre === dataCentre && !peer.leaving)
		|| (peer.dataCentre === state.dataCentre && peer.reaches.includes(dataCentre)));
}

/**
The daemon of `dataCentre` that this daemon relays requests to.
Always the same one while it lives, so that a daemon keeps one such connection for each data centre.
*/
export function relayTarget(state: MembershipState, dataCentre: DataCentreId): DaemonId | undefined {
	return ownerOf(`relay/${state.self}`, reachableDaemons(state, dataCentre));
}
