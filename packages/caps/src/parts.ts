/** Splits a member's cap across data centres. The parts always add up to the cap. */

import type {DataCentreId} from '@cicadapost/types';

/** The table row `caps/<member>`. */
export type CapRow = Readonly<{
	/** Tokens per second over all data centres. */
	cap: number;
	/** Tokens per second of each data centre. */
	parts: Readonly<Record<string, number>>;
	/** Version of the configuration that defined the cap and the data centres. An older configuration never replaces them. */
	configurationVersion: number;
}>;

/** A member's cap as configured. */
export type CapSettings = Readonly<{
	/** Tokens per second over all data centres. */
	cap: number;
	dataCentres: readonly DataCentreId[];
	configurationVersion: number;
}>;

/** Each data centre keeps at least this fraction of the cap, so that its first requests need not wait for a transfer. */
const minPartFraction = 0.02;
/** Transfers of a smaller fraction of the cap are not worth a write. */
const minMoveFraction = 0.02;

export function splitEqually(settings: CapSettings): CapRow {
	const {cap, dataCentres, configurationVersion} = settings;
	return {cap, parts: Object.fromEntries(dataCentres.map(dataCentre => [dataCentre, cap / dataCentres.length])), configurationVersion};
}

/** Returns the row adapted to a newer configuration of the cap or the data centres, or the row itself if nothing changes. */
export function rescale(row: CapRow, settings: CapSettings): CapRow {
	const {cap, dataCentres, configurationVersion} = settings;
	const kept = dataCentres.filter(dataCentre => row.parts[dataCentre] !== undefined);
	const keptSum = kept.reduce((sum, dataCentre) => sum + row.parts[dataCentre]!, 0);
	const isSame = row.cap === cap && kept.length === dataCentres.length && Object.keys(row.parts).length === kept.length;
	if (isSame || configurationVersion <= row.configurationVersion) {
		return row;
	}

	if (keptSum <= 0) {
		return splitEqually(settings);
	}

	return {cap, parts: Object.fromEntries(dataCentres.map(dataCentre => [dataCentre, (row.parts[dataCentre] ?? 0) * cap / keptSum])), configurationVersion};
}

/** Max-min fair shares of `total`: each data centre gets its demand or an equal share of the remainder. Any surplus is split equally. */
function maxMinFairTargets(demands: ReadonlyMap<DataCentreId, number>, total: number): Map<DataCentreId, number> {
	const targets = new Map<DataCentreId, number>();
	let left = total;
	const byDemand = [...demands].toSorted(([, a], [, b]) => a - b);
	for (const [index, [dataCentre, demand]] of byDemand.entries()) {
		const share = Math.min(demand, left / (byDemand.length - index));
		targets.set(dataCentre, share);
		left -= share;
	}

	for (const [dataCentre, target] of targets) {
		targets.set(dataCentre, target + (left / targets.size));
	}

	return targets;
}

/**
Returns the row after `own` has given up what it does not need, or undefined if it keeps its part. Only `own` gives up
tokens, and the part of a data centre whose demand is unknown does not change. `demands` are in tokens per second.
*/
export function giveUpSurplus(row: CapRow, own: DataCentreId, demands: ReadonlyMap<DataCentreId, number>): CapRow | undefined {
	const floor = row.cap * minPartFraction;
	const known = new Map([...demands].filter(([dataCentre]) => row.parts[dataCentre] !== undefined).map(([dataCentre, demand]) => [dataCentre, Math.max(floor, demand)]));
	const total = [...known.keys()].reduce((sum, dataCentre) => sum + row.parts[dataCentre]!, 0);
	const targets = maxMinFairTargets(known, total);
	const missing = new Map([...targets].map(([dataCentre, target]) => [dataCentre, Math.max(0, target - row.parts[dataCentre]!)]));
	const missingSum = [...missing.values()].reduce((sum, part) => sum + part, 0);
	const spare = Math.min(row.parts[own]! - (targets.get(own) ?? Number.POSITIVE_INFINITY), missingSum);
	if (!(spare > row.cap * minMoveFraction)) {
		return undefined;
	}

	const parts: Record<string, number> = {...row.parts};
	parts[own] = row.parts[own]! - spare;
	for (const [dataCentre, part] of missing) {
		parts[dataCentre] = parts[dataCentre]! + (spare * part / missingSum);
	}

	return {...row, parts};
}

export function parseRow(value: string): CapRow {
	return JSON.parse(value) as CapRow;
}
