import type {Fingerprint, Millis, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {CrashRegistry} from './crash-registry.js';
import {decideBlock, type CrashHistory} from './decide-block.js';

const crash = (at: Millis, isShared = false) => ({at, isShared});
const history = (fields: Partial<CrashHistory> = {}): CrashHistory => ({
	crashes: [crash(1000), crash(2000), crash(3000)], respondedAt: undefined, probedAt: [], ...fields,
});
const shared = [crash(1000, true), crash(2000, true), crash(3000, true)];
const blocked = {kind: 'block', probe: undefined};

describe('decideBlock', () => {
	it('blocks a request at its third crash, so that a crashing one reaches no fourth upstream', () => {
		expect(decideBlock(history({crashes: [crash(1000), crash(2000)]}), 2000)).toEqual({kind: 'send'});
		expect(decideBlock(history(), 3000)).toEqual(blocked);
		expect(decideBlock(history({crashes: [...shared.slice(1), crash(1000)]}), 3000)).toEqual(blocked);
	});

	it('counts only crashes after the last response, so that a request that is served is not blocked by chance', () => {
		expect(decideBlock(history({respondedAt: 1000}), 3000)).toEqual({kind: 'send'});
		expect(decideBlock(history({respondedAt: 999}), 3000)).toEqual(blocked);
	});

	it('waits for responses that are on their way if each crash is shared, so that crashes at the same time block nothing that runs often', () => {
		expect(decideBlock(history({crashes: shared}), 3499)).toEqual({kind: 'send'});
		expect(decideBlock(history({crashes: shared}), 3500)).toEqual(blocked);
	});

	it('lets at most three probes through, one at a time, so that a request that was blocked by chance recovers within the bound', () => {
		const probesOf = (crashes: CrashHistory['crashes']) => {
			const probedAt: Millis[] = [];
			for (let now = 3500; now < 14 * 60_000; now += 100) {
				const decision = decideBlock(history({crashes, probedAt}), now);
				if (decision.kind === 'block' && decision.probe !== undefined) {
					expect(decision.probe).toBe(probedAt.length);
					probedAt.push(now);
				}
			}

			return probedAt;
		};

		expect(probesOf(history().crashes)).toEqual([9000, 63_000]);
		expect(probesOf(shared)).toEqual([4000, 9000, 63_000]);
	});

	it('forgets crashes after 15 minutes, also those without a row', () => {
		expect(decideBlock(history(), 1000 + (15 * 60_000))).toEqual({kind: 'send'});
	});
});

type Daemon = Readonly<{registry: CrashRegistry}>;

/** Plays one request at several daemons that learn of each other's reports after a delay. */
class Fleet {
	readonly daemons: Daemon[] = Array.from({length: 3}, () => ({registry: new CrashRegistry()}));
	private reports: Array<Readonly<{at: Millis; apply: (registry: CrashRegistry) => void}>> = [];
	private readonly fingerprint = 'f' as Fingerprint;
	private crashes = 0;

	constructor(private readonly delayMs: Millis) {}

	deliver(now: Millis): void {
		for (const {apply} of this.reports.filter(({at}) => at <= now)) {
			for (const {registry} of this.daemons) {
				apply(registry);
			}
		}

		this.reports = this.reports.filter(({at}) => at > now);
	}

	/** Decides on a request that a daemon has received; a probe is known to all daemons at once, by a conditional write. */
	sends({registry}: Daemon, now: Millis): boolean {
		const decision = registry.decide(this.fingerprint, now);
		if (decision.kind === 'block' && decision.probe !== undefined) {
			for (const other of this.daemons) {
				other.registry.recordProbe(this.fingerprint, decision.probe, now);
			}

			return true;
		}

		return decision.kind === 'send';
	}

	crash({registry}: Daemon, now: Millis, isShared: boolean): void {
		this.crashes += 1;
		const incarnation = {upstream: `u${this.crashes}` as UpstreamId, bornAt: 1};
		registry.record(this.fingerprint, incarnation, {at: now, isShared});
		this.report(now, other => other.record(this.fingerprint, incarnation, {at: now, isShared}));
	}

	respond({registry}: Daemon, now: Millis): void {
		if (registry.isSuspect(this.fingerprint)) {
			registry.recordResponse(this.fingerprint, now);
			this.report(now, other => {
				other.recordResponse(this.fingerprint, now);
			});
		}
	}

	private report(now: Millis, apply: (registry: CrashRegistry) => void): void {
		this.reports.push({at: now + this.delayMs, apply});
	}
}

describe.each([50, 500, 2000])('a request at daemons that learn of reports after %i ms', delayMs => {
	it('is served throughout if upstreams crash by chance while it runs often, one at a time or several together', () => {
		const fleet = new Fleet(delayMs);
		let rejected = 0;
		for (let now = 0; now < 120_000; now += 10) {
			fleet.deliver(now);
			const daemon = fleet.daemons[(now / 10) % 3]!;
			if (!fleet.sends(daemon, now)) {
				rejected += 1;
			}

			if (now % 2500 === 0) {
				fleet.crash(daemon, now, true);
			}

			if (now % 20_000 === 0) {
				for (const other of fleet.daemons) {
					fleet.crash(other, now, true);
					fleet.crash(other, now, true);
				}
			}

			// The response to a request of 150 ms before, at an upstream that is up.
			fleet.respond(fleet.daemons[((now - 150) / 10) % 3] ?? daemon, now);
		}

		expect(rejected).toBe(0);
	});

	it.each([true, false])('is sent at most three times later than 4 s after the third crash if it crashes each upstream (shared: %s)', isShared => {
		const fleet = new Fleet(delayMs);
		const crashedAt: Millis[] = [];
		for (let now = 0; now < 14 * 60_000; now += 50) {
			fleet.deliver(now);
			const daemon = fleet.daemons[(now / 50) % 3]!;
			if (fleet.sends(daemon, now)) {
				fleet.crash(daemon, now, isShared);
				crashedAt.push(now);
			}
		}

		const thirdAt = crashedAt[2]!;
		expect(crashedAt.filter(at => at > thirdAt + 4000).length).toBeLessThanOrEqual(3);
		expect(crashedAt.filter(at => at > thirdAt + 4000).length).toBeGreaterThan(0);
	});
});
