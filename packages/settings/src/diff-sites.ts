import type {DataCentreId} from '@cicadapost/types';
import type {ConfigurationDocument} from './configuration-schema.js';
import {siteConfiguration} from './site-configuration.js';

/** One value that a change gives another value at a site. `undefined` stands for an absent field. */
export type FieldChange = Readonly<{
	/** Path of the field, such as `members.clerks.weight`. */
	field: string;
	before: unknown;
	after: unknown;
}>;

export type SiteDiff = Readonly<{
	dataCentre: string;
	changes: readonly FieldChange[];
}>;

type Leaves = Map<string, unknown>;

function isBranch(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function collectLeaves(value: unknown, path: string, leaves: Leaves): Leaves {
	if (!isBranch(value)) {
		leaves.set(path, value);
		return leaves;
	}

	for (const [name, part] of Object.entries(value)) {
		collectLeaves(part, path === '' ? name : `${path}.${name}`, leaves);
	}

	return leaves;
}

/** Hashes of keys are shortened, so that a diff can be shown to anyone. */
function shorten(field: string, value: unknown): unknown {
	return field.endsWith('.keys') && Array.isArray(value) ? value.map((key: {sha256: string; role: string}) => `${key.role} ${key.sha256.slice(0, 8)}`) : value;
}

function changesBetween(before: Leaves, after: Leaves): FieldChange[] {
	const fields = [...new Set([...before.keys(), ...after.keys()])].sort();
	return fields
		.filter(field => JSON.stringify(before.get(field)) !== JSON.stringify(after.get(field)))
		.map(field => ({field, before: shorten(field, before.get(field)), after: shorten(field, after.get(field))}));
}

function leavesOf(document: ConfigurationDocument | undefined, dataCentre: string): Leaves {
	if (document === undefined) {
		return new Map();
	}

	const {poolsByDataCentre, ...site} = siteConfiguration(document, dataCentre as DataCentreId);
	return collectLeaves(site, '', new Map());
}

/** What a change means at each data centre that it affects, with the overlays applied. */
export function diffSites(before: ConfigurationDocument | undefined, after: ConfigurationDocument): SiteDiff[] {
	const dataCentres = new Set([...Object.keys(before?.base.dataCentres ?? {}), ...Object.keys(after.base.dataCentres)]);
	return [...dataCentres].sort()
		.map(dataCentre => ({dataCentre, changes: changesBetween(leavesOf(before, dataCentre), leavesOf(after, dataCentre))}))
		.filter(({changes}) => changes.length > 0);
}
