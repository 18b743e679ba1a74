import {describe, expect, it} from 'vitest';
import {runHistories} from './run-histories.js';

const seed = 20_261_204;

/** Each negative control disables the input of a mechanism and expects the oracle to report the violated promise. */
describe('negative controls of the fuzzer', () => {
	it('detect a second run when daemons are not told which requests are non-idempotent', () => {
		const result = runHistories({
			seed, runs: 40, faults: ['engine-crash'], promises: ['at most once'], hidesNonIdempotent: true, endsOnFailure: true,
		});
		expect(result.counterexample).toContain('at most once');
	});

	it('detect a fourth crashed engine when daemons cannot recognize resent requests', () => {
		const result = runHistories({
			seed, runs: 60, faults: ['messages'], promises: ['at most 3 engines lost to one request'], hidesResends: true, endsOnFailure: true,
		});
		expect(result.counterexample).toContain('at most 3 engines lost to one request');
	});
});

describe('histories without faults', () => {
	it('violate no promise, so that violations are due to injected faults and not to the fakes', () => {
		expect(runHistories({
			seed, runs: 10, faults: [], endsOnFailure: true,
		})).toEqual({runs: 10});
	});
});
