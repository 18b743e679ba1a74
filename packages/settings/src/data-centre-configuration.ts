import type {DataCentreId} from '@cicadapost/types';
import type {
	BaseConfiguration, ConfigurationDocument, MemberSettings, Overlay, PolicySettings, PoolSettings, UpstreamSettings,
} from './configuration-schema.js';

/** The configuration of one data centre: the base with the overlay of that data centre applied. */
export type DataCentreConfiguration = Readonly<{
	members: Readonly<Record<string, MemberSettings>>;
	pools: Readonly<Record<string, PoolSettings>>;
	dataCentres: BaseConfiguration['dataCentres'];
	upstreams: Readonly<Record<string, UpstreamSettings>>;
	policy: PolicySettings;
	/** Pools for which each data centre has upstreams. Requests for these pools can be relayed there. */
	poolsByDataCentre: Readonly<Record<string, readonly string[]>>;
}>;

function omitUndefined<Value extends Record<string, unknown>>(value: Value): Partial<Value> {
	return Object.fromEntries(Object.entries(value).filter(([, part]) => part !== undefined)) as Partial<Value>;
}

function mergePools(base: BaseConfiguration, overlay: Overlay | undefined): Record<string, PoolSettings> {
	return Object.fromEntries(Object.entries(base.pools).map(([name, pool]) => [
		name, {...pool, ...omitUndefined(overlay?.pools[name] ?? {})} as PoolSettings,
	]));
}

function poolsOf(overlay: Overlay): string[] {
	return [...new Set(Object.values(overlay.upstreams).map(upstream => upstream.pool))];
}

/** Merges the base and the overlay of `dataCentre`. */
export function mergeDataCentreConfiguration(document: ConfigurationDocument, dataCentre: DataCentreId): DataCentreConfiguration {
	const overlay = document.overlays[dataCentre];
	return {
		members: document.base.members,
		pools: mergePools(document.base, overlay),
		dataCentres: document.base.dataCentres,
		upstreams: overlay?.upstreams ?? {},
		policy: {...document.base.policy, ...omitUndefined(overlay?.policy ?? {})} as PolicySettings,
		poolsByDataCentre: Object.fromEntries(Object.entries(document.overlays).map(([name, value]) => [name, poolsOf(value)])),
	};
}
