import {describe, expect, it} from 'vitest';
import {runHistories} from './run-histories.js';

const seed = 20_261_204;

/** Each control takes away what a mechanism needs and expects that the oracle sees the broken promise. */
describe('negative controls of the fuzzer', () => {
	it('find a second run when the daemons are not told which requests must run at most once', () => {
		const result = runHistories({
			seed, runs: 40, faults: ['engine-crash'], promises: ['at most once'], hidesNonIdempotent: true, endsOnFailure: true,
		});
		expect(result.counterexample).toContain('at most once');
	});

	it('find a fourth lost engine when each repeat of a request looks like another one', () => {
		const result = runHistories({
			seed, runs: 60, faults: ['messages'], promises: ['at most 3 engines lost to one request'], hidesResends: true, endsOnFailure: true,
		});
		expect(result.counterexample).toContain('at most 3 engines lost to one request');
	});
});

describe('histories without faults', () => {
	it('break no promise, so that a finding is due to a fault and not to the fakes', () => {
		expect(runHistories({
			seed, runs: 10, faults: [], endsOnFailure: true,
		})).toEqual({runs: 10});
	});
});
