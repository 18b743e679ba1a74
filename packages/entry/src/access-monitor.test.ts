import type {RoutingConfiguration} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import {KeyIndex} from '@cicadapost/teams';
import {Clock, type ClockReadings} from '@cicadapost/types';
import {
	describe, expect, it, vi,
} from 'vitest';
import {AccessMonitor} from './access-monitor.js';

class SetClock extends Clock {
	readings: ClockReadings = {steady: 0, wall: 0};

	override now(): number {
		return this.readings.steady;
	}

	override wallTime(): number {
		return this.readings.wall;
	}
}

describe('AccessMonitor', () => {
	it('says once when calls with keys are refused and served again, and asks the store only now and then', () => {
		const clock = new SetClock();
		const events: string[] = [];
		const log = ({event}: Readonly<{event: string}>) => {
			events.push(event);
		};

		const follower = {confirmedAt: {steady: 0, wall: 0}, confirm: vi.fn(async () => undefined)};
		let teams: KeyIndex | undefined = new KeyIndex();
		const monitor = new AccessMonitor({
			clock, follower, logger: {info: log, warn: log} as unknown as Logger, configuration: () => ({teams}) as unknown as RoutingConfiguration, revocationMs: 5000,
		});
		for (let ms = 0; ms < 7000; ms += 10) {
			clock.readings = {steady: ms, wall: ms};
			expect(monitor.servesKeys).toBe(ms < 5000);
		}

		expect(events).toEqual(['keys-refused']);
		// From the age at which it no longer rejects keys.
		expect(follower.confirm.mock.calls.length).toBe(23);
		follower.confirmedAt = clock.readings;
		expect([monitor.servesKeys, events]).toEqual([true, ['keys-refused', 'keys-accepted']]);

		// A deployment without teams is as ready as before, whatever its clocks do.
		teams = undefined;
		clock.readings = {steady: 90_000, wall: 0};
		expect([monitor.servesKeys, events.length]).toEqual([true, 2]);
	});
});
