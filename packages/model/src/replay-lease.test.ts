import {readFileSync} from 'node:fs';
import {
	createLease, decideLease, encodeLeaseRow, isHeld, canAcquire, type LeaseAction, type LeaseState,
} from '@cicadapost/leases';
import type {CallId, RowResponse} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {isExpected, parseVerdict} from './run-model.js';

const tickMs = 1000;
const noHolder = '255';
/** Values of LEASE and FLIGHT in lease.pml, converted from ticks to milliseconds. */
const leaseTimes = {leaseMs: 2 * tickMs, renewMs: 0, maxTransitMs: tickMs};
const call = 'call' as CallId;

type Step = Readonly<{now: number; daemon: string; verb: string; numbers: string[]}>;

function readTraces(): Array<Readonly<{seed: string; steps: Step[]}>> {
	const [, ...parts] = readFileSync('packages/model/models/lease.trace', 'utf8').split('SEED ');
	return parts.map(part => {
		const [seed, ...lines] = part.trim().split('\n');
		return {
			seed: seed!, steps: lines.map(text => {
				const [, now, daemon, verb, ...numbers] = text.trim().split(' ');
				return {
					now: Number(now) * tickMs, daemon: daemon!, verb: verb!, numbers,
				};
			}),
		};
	});
}

function rowAnswer(kind: 'row' | 'conflict', [version, holder, fence, nonce]: string[]): RowResponse {
	return version === '0'
		? {kind: 'absent'}
		: {kind, version: Number(version), value: encodeLeaseRow({holder: holder === noHolder ? '' : holder!, fence: Number(fence), nonce: nonce!})};
}

/** Replays the steps of one daemon of the model on the real lease functions. */
class ReplayedDaemon {
	private readonly lease: LeaseState;
	private expectedVersion = 0;

	constructor(daemon: string) {
		this.lease = createLease(daemon, leaseTimes);
	}

	step({now, verb, numbers}: Step): void {
		switch (verb) {
			case 'read': {
				expect(this.tick(now, 'watch')[0]?.kind).toBe('read-row');
				this.answer(now, rowAnswer('row', numbers));
				break;
			}

			case 'request': {
				const [version, fence, nonce] = numbers;
				this.expectedVersion = Number(version);
				expect(isHeld(this.lease, now) || canAcquire(this.lease, now)).toBe(true);
				const [action] = this.tick(now, 'hold', nonce);
				expect(action).toMatchObject({kind: 'write-row', expectedVersion: Number(version)});
				expect(JSON.parse((action as {value: string}).value)).toMatchObject({fence: Number(fence)});
				break;
			}

			case 'settled': {
				const [wrote, ...row] = numbers;
				this.answer(now, wrote === '1' ? {kind: 'written', version: this.expectedVersion + 1} : rowAnswer('conflict', row));
				break;
			}

			case 'order': {
				expect(isHeld(this.lease, now)).toBe(true);
				expect(this.lease.held?.fence).toBe(Number(numbers[0]));
				break;
			}

			default: {
				expect(verb).toBe('expired');
				expect(isHeld(this.lease, now)).toBe(false);
			}
		}
	}

	private tick(now: number, wants: 'hold' | 'watch', nonce = ''): readonly LeaseAction[] {
		// The model reads and writes at any time, so the minimum interval between calls is disabled.
		this.lease.nextAt = 0;
		return decideLease(this.lease, {
			kind: 'tick', call, nonce, wants,
		}, now).actions;
	}

	private answer(now: number, answer: RowResponse): void {
		decideLease(this.lease, {kind: 'answer', call, answer}, now);
	}
}

describe('traces of the lease model', () => {
	it.each(readTraces())('of seed $seed can be replayed on the real functions, so that the proofs of the model apply to them', ({steps}) => {
		const daemons = new Map(['0', '1'].map(daemon => [daemon, new ReplayedDaemon(daemon)]));
		for (const step of steps) {
			daemons.get(step.daemon)!.step(step);
		}
	});
});

describe('verdicts of the verifier', () => {
	const output = 'State-vector 76 byte, depth reached 70, errors: 0\n 2519484 states, stored\n';

	it('are parsed from the output, since the exit code is 0 with and without errors', () => {
		expect(parseVerdict(output)).toEqual({
			states: 2_519_484, depth: 70, errors: 0, isComplete: true,
		});
	});

	it('of a truncated search are not accepted as a proof', () => {
		const cut = parseVerdict(`error: max search depth too small\n${output}`);
		expect(isExpected({model: 'lease', defines: [], isNegativeControl: false}, cut)).toBe(false);
	});

	it('of a negative control without a violation are not accepted, since such a model proves nothing', () => {
		expect(isExpected({model: 'lease', defines: [], isNegativeControl: true}, parseVerdict(output))).toBe(false);
	});
});
