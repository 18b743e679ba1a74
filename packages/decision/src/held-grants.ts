/** Slots that this daemon holds at shard owners, recorded so that a new owner can be told about them. */

import type {
	Acquire, AttemptId, DaemonId, Millis, PeerMessage, Release, RunningAttempt, ShardId, UpstreamId,
} from '@cicadapost/types';

/** A slot that a shard owner has granted and that has not been released. */
export type HeldGrant = Readonly<{
	acquire: Acquire;
	upstream: UpstreamId;
	owner: DaemonId;
	grantedAt: Millis;
}>;

export type HeldGrants = Map<AttemptId, HeldGrant>;

/** A message and the daemon that it is for. Lists of them are sent in order. */
export type AddressedMessage = Readonly<{to: DaemonId; message: PeerMessage}>;

/** Creates the release that cancels an attempt at a daemon that no longer owns its shard. */
export function createCancellation(acquire: Acquire): Release {
	return {
		kind: 'release', attempt: acquire.attempt, shard: acquire.shard, result: 'cancelled', tokens: 0, generationMs: 0,
	};
}

/**
Records the new shard owners in `grants` and returns the messages that this requires: `running` for each new owner, then a
cancellation of each moved attempt at its former owner, which may still believe that it owns the shard.
*/
export function reassignGrants(grants: HeldGrants, ownerOf: (shard: ShardId) => DaemonId | undefined, now: Millis): AddressedMessage[] {
	const moved = new Map<ShardId, {to: DaemonId; attempts: RunningAttempt[]}>();
	const cancellations: AddressedMessage[] = [];
	for (const [attempt, grant] of grants) {
		const {acquire, upstream, owner, grantedAt} = grant;
		const to = ownerOf(acquire.shard);
		if (to === undefined || to === owner) {
			continue;
		}

		const elapsedMs = now - grantedAt;
		const target = moved.get(acquire.shard) ?? {to, attempts: []};
		moved.set(acquire.shard, target);
		target.attempts.push({
			attempt, upstream, request: acquire.request, elapsedMs, remainingMs: acquire.remainingMs - elapsedMs,
		});
		cancellations.push({to: owner, message: createCancellation(acquire)});
		grants.set(attempt, {...grant, owner: to});
	}

	const reports = [...moved].map(([shard, {to, attempts}]): AddressedMessage => ({to, message: {kind: 'running', shard, attempts}}));
	return [...reports, ...cancellations];
}
