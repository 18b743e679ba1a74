import {createHash} from 'node:crypto';
import type {DaemonId} from '@cicadapost/types';

function rendezvousScore(key: string, daemon: DaemonId): bigint {
	return createHash('sha1').update(`${key}\n${daemon}`).digest().readBigUInt64BE(0);
}

/** Returns the `count` candidates with the highest rendezvous scores for `key`, highest first. */
export function rankByRendezvousScore(key: string, candidates: readonly DaemonId[], count: number): DaemonId[] {
	return candidates
		.map(daemon => ({daemon, score: rendezvousScore(key, daemon)}))
		.sort((a, b) => (a.score === b.score ? (a.daemon < b.daemon ? -1 : 1) : (a.score > b.score ? -1 : 1)))
		.slice(0, count)
		.map(({daemon}) => daemon);
}

/**
Returns the owner of `key` by rendezvous hashing: the candidate with the highest score.
When a daemon joins or leaves, only the keys that it owns change owner.
*/
export function ownerOf(key: string, candidates: readonly DaemonId[]): DaemonId | undefined {
	return rankByRendezvousScore(key, candidates, 1)[0];
}
