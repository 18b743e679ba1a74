import {describe, expect, it} from 'vitest';
import {LinkStateTracker} from './link-state.js';

/** Answers all probes that a failure leads to. Returns how many upstreams were probed. */
const fail = (links: LinkStateTracker, now: number, isReachable: (probe: number) => boolean): number => {
	let probes = 0;
	for (let due = links.recordFailure(now); due > 0;) {
		let next = 0;
		for (let index = 0; index < due; index++) {
			next += links.recordProbe(isReachable(probes), now);
			probes += 1;
		}

		due = next;
	}

	return probes;
};

describe('LinkStateTracker', () => {
	it('finds a partition if no upstream can be reached', () => {
		const links = new LinkStateTracker();
		expect(fail(links, 0, () => false)).toBe(3);
		expect(links.current).toBe('partitioned');
	});

	it('does not take the crash of an upstream for a partition', () => {
		const links = new LinkStateTracker();
		expect(fail(links, 0, probe => probe > 0)).toBe(3);
		expect(links.current).toBe('linked');
	});

	it('ends a suspicion without a partition once a connection is established', () => {
		const links = new LinkStateTracker();
		links.recordFailure(0);
		links.recordConnected(10);
		expect(links.recordProbe(false, 300)).toBe(0);
		expect(links.current).toBe('linked');
	});

	it('sends few probes while upstreams crash one after the other', () => {
		const links = new LinkStateTracker();
		let probes = 0;
		for (let now = 0; now < 60_000; now += 100) {
			probes += fail(links, now, () => true);
		}

		expect(probes).toBeLessThanOrEqual(40);
	});

	it('finds a partition within two seconds, also right after a suspicion that was wrong', () => {
		const links = new LinkStateTracker();
		fail(links, 0, () => true);
		let foundAt = Number.POSITIVE_INFINITY;
		for (let now = 10; now < 4000; now += 10) {
			fail(links, now, () => false);
			foundAt = links.current === 'partitioned' ? Math.min(foundAt, now) : foundAt;
		}

		expect(foundAt).toBeLessThan(2000);
	});

	describe('a partitioned daemon', () => {
		const partitioned = () => {
			const links = new LinkStateTracker();
			fail(links, 0, () => false);
			return links;
		};

		it('probes twice a second', () => {
			const links = partitioned();
			let probes = 0;
			for (let now = 0; now < 10_000; now += 50) {
				if (links.isRecoveryProbeDue(now)) {
					probes += 1;
					links.recordProbe(false, now);
				}
			}

			expect(probes).toBeLessThanOrEqual(20);
			expect(probes).toBeGreaterThan(15);
		});

		it('uses its links again only after two successive probes have reached an upstream', () => {
			const links = partitioned();
			for (const isReachable of [true, false, true]) {
				links.recordProbe(isReachable, 1000);
				expect(links.current).toBe('partitioned');
			}

			links.recordProbe(true, 2000);
			expect(links.current).toBe('linked');
		});
	});

	it('sends no probes while nothing fails', () => {
		const links = new LinkStateTracker();
		for (let now = 0; now < 60_000; now += 250) {
			expect(links.isRecoveryProbeDue(now)).toBe(false);
		}
	});
});
