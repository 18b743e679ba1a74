import {describe, expect, it} from 'vitest';
import {baseSchema, overlaySchema} from './configuration-schema.js';
import {parseSettings, type SettingsError} from './parse.js';

function issuesOf(text: string, schema: typeof baseSchema | typeof overlaySchema) {
	return (parseSettings(text, 'base.jsonc', schema).extract() as SettingsError).issues;
}

describe('parseSettings', () => {
	describe('with an unknown field', () => {
		it('reports line, field and remedy, so that a misspelt setting is not ignored', () => {
			const text = '{\n  // comment\n  "members": {"clerks": {"wieght": 2}},\n  "pools": {}, "dataCentres": {}\n}';
			expect(issuesOf(text, baseSchema)).toMatchObject([{
				line: 3, field: 'members.clerks.wieght', remedy: 'remove "wieght" or correct the spelling',
			}]);
		});
	});

	describe('with a value of the wrong type', () => {
		it('reports the position and the expected type', () => {
			const text = '{"members": {"clerks": {"weight": "2"}}, "pools": {}, "dataCentres": {}}';
			expect(issuesOf(text, baseSchema)).toMatchObject([{
				line: 1, column: 35, field: 'members.clerks.weight', remedy: 'give a value of type number',
			}]);
		});
	});

	describe('with an overlay that sets a field that only the base may set', () => {
		it('rejects members, so that a data centre can\'t raise a cap', () => {
			expect(issuesOf('{"members": {}}', overlaySchema)).toMatchObject([{field: 'members'}]);
		});
	});

	describe('with a syntax error', () => {
		it('reports its line', () => {
			expect(issuesOf('{\n"members": {,}\n}', baseSchema)[0]).toMatchObject({line: 2, remedy: 'correct the JSON syntax'});
		});
	});
});
