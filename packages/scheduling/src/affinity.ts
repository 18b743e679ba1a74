/** Tracks which upstreams recently served a prompt prefix, so that requests can reuse their prefix caches. */

import type {Millis, UpstreamId} from '@cicadapost/types';

/** A prefix that has not been used for this long has probably been evicted from the engine's cache. */
const prefixLifeMs = 120_000;
const upstreamsPerPrefix = 2;
const maxPrefixes = 4096;

type PrefixUse = Readonly<{upstream: UpstreamId; at: Millis}>;

export type PrefixTable = {
	/** Upstreams per prefix, most recent first. The most recently used prefix is the last entry of the map. */
	served: Map<string, readonly PrefixUse[]>;
};

export function createPrefixTable(): PrefixTable {
	return {served: new Map()};
}

export function recordPrefix(table: PrefixTable, prefixKey: string, upstream: UpstreamId, now: Millis): void {
	if (prefixKey === '') {
		return;
	}

	const others = (table.served.get(prefixKey) ?? []).filter(served => served.upstream !== upstream);
	table.served.delete(prefixKey);
	table.served.set(prefixKey, [{upstream, at: now}, ...others.slice(0, upstreamsPerPrefix - 1)]);
	if (table.served.size > maxPrefixes) {
		const [oldest] = table.served.keys();
		table.served.delete(oldest!);
	}
}

/** Returns whether the upstream is likely to have the prefix in its cache. */
export function holdsPrefix(table: PrefixTable, prefixKey: string, upstream: UpstreamId, now: Millis): boolean {
	const served = table.served.get(prefixKey) ?? [];
	return served.some(entry => entry.upstream === upstream && now - entry.at < prefixLifeMs);
}
