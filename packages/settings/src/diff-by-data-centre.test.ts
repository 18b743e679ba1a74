import {describe, expect, it} from 'vitest';
import {checkDocument} from './check-document.js';
import {documentSchema} from './configuration-schema.js';
import {diffByDataCentre} from './diff-by-data-centre.js';

const hash = 'a'.repeat(64);

function createDocument(change: {weight?: number; maxWindow?: number; pool?: string; draining?: boolean} = {}) {
	return documentSchema.parse({
		base: {
			members: {clerks: {weight: change.weight ?? 1, keys: [{sha256: hash, role: 'caller'}]}},
			pools: {netmodel: {kind: 'engine'}},
			dataCentres: {north: {region: 'alps'}, south: {region: 'alps'}},
		},
		overlays: {
			north: {
				upstreams: {'north-1': {pool: change.pool ?? 'netmodel', url: 'http://127.0.0.1:1', draining: change.draining ?? false}},
				pools: change.maxWindow === undefined ? {} : {netmodel: {maxWindow: change.maxWindow}},
			},
		},
	});
}

describe('diffByDataCentre', () => {
	describe('with a change of the base', () => {
		it('lists each data centre, so that an operator sees the whole effect', () => {
			expect(diffByDataCentre(createDocument(), createDocument({weight: 2}))).toEqual(['north', 'south'].map(dataCentre => ({
				dataCentre, changes: [{field: 'members.clerks.weight', before: 1, after: 2}],
			})));
		});
	});

	describe('with a change of an overlay', () => {
		it('lists only that data centre', () => {
			expect(diffByDataCentre(createDocument(), createDocument({maxWindow: 3}))).toEqual([
				{dataCentre: 'north', changes: [{field: 'pools.netmodel.maxWindow', before: 64, after: 3}]},
			]);
		});
	});

	describe('without a previous document', () => {
		it('never contains a full key hash', () => {
			expect(JSON.stringify(diffByDataCentre(undefined, createDocument()))).not.toContain(hash);
		});
	});
});

describe('checkDocument', () => {
	it('accepts a document whose referenced names are all defined', () => {
		expect(checkDocument(createDocument())).toEqual([]);
	});

	it('reports a reference to an undefined pool, which would leave an upstream without work', () => {
		expect(checkDocument(createDocument({pool: 'netmodle'}))).toMatchObject([{part: 'north', field: 'upstreams.north-1.pool', remedy: 'use one of netmodel'}]);
	});

	it('reports a key that two members share, which would let one act as the other', () => {
		const shared = createDocument();
		shared.base.members.others = shared.base.members.clerks!;
		expect(checkDocument(shared)).toMatchObject([{field: 'members.others.keys.0'}]);
	});
});
