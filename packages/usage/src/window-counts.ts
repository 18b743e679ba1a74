import type {Millis, TeamId} from '@cicadapost/types';
import {windowAt} from './fleet-time.js';

/** Resolution of the times of requests that wait for the first estimate of true time. */
const pendingStepMs = 10;
/** Windows are forgotten after this number of later ones; none is written that late. */
const keptWindows = 60;

/** Counts of this daemon by window and team. Times are on the store's clock, which is not stepped. */
export class WindowCounts {
	private readonly windows = new Map<number, Map<TeamId, number>>();
	private readonly changed = new Set<number>();
	/** Requests that began before true time was known, by time and team. */
	private readonly pending = new Map<number, Map<TeamId, number>>();

	constructor(private readonly windowMs: Millis) {}

	/** `offsetMs` is that between true time and the store's clock, undefined while it is not known. */
	record(team: TeamId, storeTime: Millis, offsetMs: Millis | undefined): void {
		if (offsetMs === undefined) {
			increment(this.pending, Math.floor(storeTime / pendingStepMs), team, 1);
			return;
		}

		this.assignPending(offsetMs);
		this.add(team, storeTime + offsetMs, 1);
	}

	/** Assigns requests to windows that began before true time was known. */
	assignPending(offsetMs: Millis): void {
		for (const [step, teams] of this.pending) {
			for (const [team, count] of teams) {
				this.add(team, ((step + 0.5) * pendingStepMs) + offsetMs, count);
			}
		}

		this.pending.clear();
	}

	/** Returns the windows whose counts have changed since the last call. */
	takeChanged(): number[] {
		const changed = [...this.changed];
		this.changed.clear();
		return changed;
	}

	/** The counts of a window have not reached the store. */
	markChanged(window: number): void {
		if (this.windows.has(window)) {
			this.changed.add(window);
		}
	}

	countsOf(window: number): ReadonlyMap<TeamId, number> {
		return this.windows.get(window) ?? new Map<TeamId, number>();
	}

	private add(team: TeamId, trueTime: Millis, count: number): void {
		const window = windowAt(trueTime, this.windowMs);
		increment(this.windows, window, team, count);
		this.changed.add(window);
		for (const known of this.windows.keys()) {
			if (known < window - keptWindows) {
				this.windows.delete(known);
				this.changed.delete(known);
			}
		}
	}
}

function increment(counts: Map<number, Map<TeamId, number>>, slot: number, team: TeamId, by: number): void {
	const teams = counts.get(slot) ?? new Map<TeamId, number>();
	teams.set(team, (teams.get(team) ?? 0) + by);
	counts.set(slot, teams);
}
