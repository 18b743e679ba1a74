import {createHash} from 'node:crypto';
import type {DaemonId} from '@cicadapost/types';

function score(key: string, daemon: DaemonId): bigint {
	return createHash('sha1').update(`${key}\n${daemon}`).digest().readBigUInt64BE(0);
}

/**
Rendezvous hashing: the owner of `key` is the candidate with the highest score.
When a daemon joins or leaves, only the keys that it owns change their owner.
*/
export function ownerOf(key: string, candidates: readonly DaemonId[]): DaemonId | undefined {
	let best: DaemonId | undefined;
	let bestScore = -1n;
	for (const candidate of candidates) {
		const current = score(key, candidate);
		if (current > bestScore || (current === bestScore && best !== undefined && candidate < best)) {
			best = candidate;
			bestScore = current;
		}
	}

	return best;
}
