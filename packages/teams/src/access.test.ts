import {inspect} from 'node:util';
import type {TeamId} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {isConfigurationFresh} from './configuration-freshness.js';
import {decideAccess} from './decide-access.js';
import {KeyIndex, type TeamEntry} from './key-index.js';
import {fingerprintOfKey, PresentedKey} from './presented-key.js';

const entry = (name: string, ...keys: string[]): TeamEntry => ({name: name as TeamId, keys});
const teams = KeyIndex.build([entry('red', 'r1', 'r2'), entry('blue', 'b'), entry('none')]).unsafeCoerce();

const listedKeys = ['k1', 'k2', 'k3', 'k4', 'k5'];
const ownersIn = (index: KeyIndex) => listedKeys.map(key => index.teamOf(fingerprintOfKey(key))?.name);

describe('KeyIndex', () => {
	it.each([
		['a team', [entry('red', 'r1'), entry('red', 'r2')], /"red"/v],
		['a key of two teams', [entry('red', 'secret'), entry('blue', 'b', 'secret')], /"blue".*"red"/v],
		['a key of one team', [entry('red', 'secret', 'secret')], /"red"/v],
	])('rejects %s listed twice by name, and never shows the key', (_, entries, names) => {
		const err = KeyIndex.build(entries).swap().unsafeCoerce();
		expect(err.message).toMatch(names);
		expect(err.message).not.toContain('secret');
	});

	it('follows a key that moves to another team, also with fingerprints of the index before', () => {
		const {fingerprint} = new PresentedKey('r1');
		const moved = KeyIndex.build([entry('red'), entry('blue', 'b', 'r1')], teams).unsafeCoerce();
		expect([teams, moved, KeyIndex.build([], moved).unsafeCoerce()].map(index => index.teamOf(fingerprint)?.name)).toEqual(['red', 'blue', undefined]);
	});

	it('built from the one before is the same as one built anew, whatever has changed', () => {
		const keys = fc.array(fc.constantFrom(...listedKeys), {maxLength: 3});
		const lists = fc.uniqueArray(fc.tuple(fc.constantFrom('red', 'blue', 'green'), keys), {selector: ([name]) => name});
		fc.assert(fc.property(fc.array(lists, {maxLength: 6}), versions => {
			let index = new KeyIndex();
			for (const entries of versions.map(list => list.map(([name, listed]) => entry(name, ...listed)))) {
				const outcomes = [KeyIndex.build(entries, index), KeyIndex.build(entries)];
				const seen = outcomes.map(outcome => outcome.mapLeft(err => err.name).map(built => ownersIn(built)).extract());
				expect(seen[0]).toEqual(seen[1]);
				index = outcomes[0]!.orDefault(index);
			}
		}), {seed: 20_261_206, numRuns: 300});
	});

	it('and a presented key show no key in a log or an error', () => {
		const key = new PresentedKey('r1-secret');
		const index = KeyIndex.build([entry('red', 'r1-secret')]).unsafeCoerce();
		expect([inspect({key, index}, {depth: 9, showHidden: true}), JSON.stringify({key, index}), `${key.shortFingerprint}`].join(' ')).not.toContain('secret');
	});
});

describe('isConfigurationFresh', () => {
	const confirmedAt = {steady: 1000, wall: 50_000};
	const after = (steadyMs: number, wallMs: number) => isConfigurationFresh({confirmedAt, now: {steady: 1000 + steadyMs, wall: 50_000 + wallMs}, maxAgeMs: 5000});

	it('relies on a copy up to its age on both clocks', () => {
		expect([after(4999, 4999), after(5000, 5000), after(4999, 5000)]).toEqual([true, false, false]);
		expect(isConfigurationFresh({confirmedAt: undefined, now: confirmedAt, maxAgeMs: 5000})).toBe(false);
	});

	it.each([
		['a suspension with a monotonic clock that stands still', 300, 60_000],
		['a wall clock that was set back', 4000, 1000],
		['a suspension of 10 s hidden by a step back of 8 s', 300, 2300],
	])('is over after %s', (_, steadyMs, wallMs) => {
		expect(after(steadyMs, wallMs)).toBe(false);
	});

	it('bears a wall clock that is slewed by a time service, so that it costs no calls', () => {
		expect([after(4000, 4300), after(4000, 3700), after(0, -1)]).toEqual([true, true, true]);
	});
});

describe('decideAccess', () => {
	const current = {allowsKeys: true, allowsRejection: true};
	const aged = {allowsKeys: true, allowsRejection: false};
	const stale = {allowsKeys: false, allowsRejection: false};
	const [red, unknown] = [new PresentedKey('r2'), new PresentedKey('x')];
	const decide = (credential: PresentedKey | 'malformed' | undefined, freshness = current, isPublic = false) => {
		const decision = decideAccess({
			teams, isPublic, credential, freshness,
		});
		return decision.kind === 'checked' ? decision.team?.name ?? 'no team' : decision.kind;
	};

	it('never rejects a key that a newer configuration may have, and never accepts one that it may have revoked', () => {
		expect([red, unknown, 'malformed' as const, undefined].map(key => [decide(key), decide(key, aged), decide(key, stale)])).toEqual([
			['red', 'red', 'not-current'],
			['denied', 'not-current', 'not-current'],
			['denied', 'not-current', 'not-current'],
			['denied', 'not-current', 'not-current'],
		]);
	});

	it('serves public calls always, and names a team to them only while its key is known to be valid', () => {
		expect([red, unknown, undefined].map(key => [decide(key, current, true), decide(key, stale, true)])).toEqual([['red', 'no team'], ['no team', 'no team'], ['no team', 'no team']]);
	});

	it('keeps the keys of earlier teams from upstreams while there are no teams, and refuses a stale copy without teams only for calls with keys', () => {
		const query = {
			teams: undefined, formerTeams: teams, isPublic: false, freshness: current,
		};
		expect([red, unknown].map(credential => decideAccess({...query, credential}))).toEqual([{kind: 'open', hasFormerKey: true}, {kind: 'open', hasFormerKey: false}]);
		expect(decideAccess({...query, credential: red, freshness: stale})).toEqual({kind: 'not-current'});
		expect(decideAccess({...query, credential: undefined, freshness: stale})).toMatchObject({kind: 'open'});
	});
});
