import type {DataCentreId} from '@cicadapost/types';
import type {ConfigurationDocument} from './configuration-schema.js';
import {mergeDataCentreConfiguration} from './data-centre-configuration.js';

/** A field whose value differs at a data centre. `undefined` stands for an absent field. */
export type FieldChange = Readonly<{
	/** Path of the field, such as `members.clerks.weight`. */
	field: string;
	before: unknown;
	after: unknown;
}>;

export type DataCentreDiff = Readonly<{
	dataCentre: string;
	changes: readonly FieldChange[];
}>;

type FlattenedFields = Map<string, unknown>;

function isNestedObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function flattenFields(value: unknown, path: string, fields: FlattenedFields): FlattenedFields {
	if (!isNestedObject(value)) {
		fields.set(path, value);
		return fields;
	}

	for (const [name, nested] of Object.entries(value)) {
		flattenFields(nested, path === '' ? name : `${path}.${name}`, fields);
	}

	return fields;
}

/** Shortens the hashes of keys, so that a diff can be shown to anyone. */
function shortenKeyHashes(field: string, value: unknown): unknown {
	return field.endsWith('.keys') && Array.isArray(value) ? value.map((key: {sha256: string; role: string}) => `${key.role} ${key.sha256.slice(0, 8)}`) : value;
}

function compareFields(before: FlattenedFields, after: FlattenedFields): FieldChange[] {
	const fields = [...new Set([...before.keys(), ...after.keys()])].sort();
	return fields
		.filter(field => JSON.stringify(before.get(field)) !== JSON.stringify(after.get(field)))
		.map(field => ({field, before: shortenKeyHashes(field, before.get(field)), after: shortenKeyHashes(field, after.get(field))}));
}

function flattenConfiguration(document: ConfigurationDocument | undefined, dataCentre: string): FlattenedFields {
	if (document === undefined) {
		return new Map();
	}

	const {poolsByDataCentre, ...configuration} = mergeDataCentreConfiguration(document, dataCentre as DataCentreId);
	return flattenFields(configuration, '', new Map());
}

/** Compares two documents at each data centre, with the overlays applied. Data centres without a difference are omitted. */
export function diffByDataCentre(before: ConfigurationDocument | undefined, after: ConfigurationDocument): DataCentreDiff[] {
	const dataCentres = new Set([...Object.keys(before?.base.dataCentres ?? {}), ...Object.keys(after.base.dataCentres)]);
	return [...dataCentres].sort()
		.map(dataCentre => ({dataCentre, changes: compareFields(flattenConfiguration(before, dataCentre), flattenConfiguration(after, dataCentre))}))
		.filter(({changes}) => changes.length > 0);
}
