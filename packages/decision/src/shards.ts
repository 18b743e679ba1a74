import {ownerInDataCentre, type MembershipState} from '@cicadapost/membership';
import type {ShardUpstream} from '@cicadapost/scheduling';
import type {DataCentreConfiguration} from '@cicadapost/settings';
import {
	shardId, type DataCentreId, type MemberId, type PoolId, type ShardId, type UpstreamId,
} from '@cicadapost/types';

/** Maximum size of a shard. Scheduling a larger one takes more of a core than a daemon may spend on control work. */
export const upstreamsPerShard = 16;

/** Returns the upstreams of each shard of `dataCentre`. */
export function shardsOf(site: DataCentreConfiguration, dataCentre: DataCentreId, leaving: ReadonlySet<UpstreamId>): Map<ShardId, ShardUpstream[]> {
	const shards = new Map<ShardId, ShardUpstream[]>();
	const counts = new Map<string, number>();
	for (const [name, upstream] of Object.entries(site.upstreams).sort(([a], [b]) => (a < b ? -1 : 1))) {
		const pool = site.pools[upstream.pool];
		if (pool === undefined) {
			continue;
		}

		const count = counts.get(upstream.pool) ?? 0;
		counts.set(upstream.pool, count + 1);
		const shard = shardId(dataCentre, upstream.pool as PoolId, Math.floor(count / upstreamsPerShard));
		const members = shards.get(shard) ?? [];
		members.push({
			upstream: name as UpstreamId,
			leaving: upstream.draining || leaving.has(name as UpstreamId),
			initialWindow: pool.initialWindow,
			maxWindow: pool.maxWindow,
		});
		shards.set(shard, members);
	}

	return shards;
}

/** Returns the shard of `dataCentre` that `upstream` belongs to, or undefined if the configuration does not contain the upstream. */
export function shardOf(site: DataCentreConfiguration, dataCentre: DataCentreId, upstream: UpstreamId): ShardId | undefined {
	for (const [shard, upstreams] of shardsOf(site, dataCentre, new Set())) {
		if (upstreams.some(member => member.upstream === upstream)) {
			return shard;
		}
	}

	return undefined;
}

/** Returns the weights of the members and the training floor of the shard's pool. */
export function shardPolicy(site: DataCentreConfiguration, shard: ShardId): Readonly<{weights: ReadonlyMap<MemberId, number>; trainingFloor?: number}> {
	const weights = new Map(Object.entries(site.members).map(([name, member]) => [name as MemberId, member.weight]));
	const trainingFloor = site.pools[shard.split('/')[1] ?? '']?.trainingFloor;
	return trainingFloor === undefined ? {weights} : {weights, trainingFloor};
}

export function shardOwner(membership: MembershipState, shard: ShardId): ReturnType<typeof ownerInDataCentre> {
	return ownerInDataCentre(membership, membership.dataCentre, shard);
}
