import {
	DutyClient, DutyRunner, type CallLimits, type DutyCall, type DutyKind, type DutyOutcome, type UsageReport,
} from '@cicadapost/duties';
import {TableCopy, type StoredRow} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type DaemonId, type Millis, type TeamId,
} from '@cicadapost/types';
import {CountWriter} from './count-writer.js';
import {FleetClock} from './fleet-clock.js';
import {UsageWork} from './usage-work.js';

export const windowMs = 5000;
export const lateMs = 10_000;
export const leaseMs = 3000;
const stepMs = 50;
/** A daemon is considered dead after this time. */
const memberTimeoutMs = 2600;
/** True time of the start: the middle of a window. */
const startTime = 1_767_225_602_500;
export const firstWindow = Math.floor(startTime / windowMs);

type Arrival = Readonly<{at: Millis; holder: string; token: number; window: number; body: string; counts: Readonly<Record<string, number>>}>;

/** What the receiver does with the next calls. `before` and `after` end the holder before or after the delivery. */
export type ReceiverFault = 'none' | 'down' | 'answer-lost' | 'killed-before' | 'killed-after' | 'suspended-before';

/** Clocks of one VM. The monotonic one stops during a suspension. */
class VmClock extends Clock {
	wallStepMs = 0;
	lostMs = 0;

	constructor(private readonly time: () => Millis) {
		super();
	}

	override now(): Millis {
		return this.time() - this.lostMs;
	}

	override wallTime(): Millis {
		return startTime + this.time() + this.wallStepMs;
	}
}

class Client extends DutyClient {
	constructor(private readonly fleet: UsageFleet, private readonly daemon: () => UsageDaemon) {
		super();
	}

	override dutyOf(): DutyKind {
		return 'usage';
	}

	override encodeUsage({window, counts}: UsageReport): Uint8Array {
		return Buffer.from(JSON.stringify({window, counts: Object.fromEntries(counts)}));
	}

	override encodeScale(): Uint8Array {
		throw new Error('not used here');
	}

	override async send(call: DutyCall, limits: CallLimits): Promise<DutyOutcome> {
		return this.fleet.deliver(this.daemon(), call, limits);
	}
}

export class UsageDaemon {
	state: 'running' | 'suspended' | 'dead' = 'running';
	/** When this daemon last ran. */
	seenAt: Millis;
	resume: () => void = () => undefined;
	readonly clock: VmClock;
	readonly runner: DutyRunner;
	readonly counts: CountWriter;
	private readonly fleetClock: FleetClock;
	private readonly copy = new TableCopy('fleet');

	constructor(private readonly fleet: UsageFleet, readonly name: DaemonId, incarnation: string) {
		this.seenAt = fleet.now;
		this.clock = new VmClock(() => fleet.now);
		const {clock} = this;
		const {store} = fleet;
		const client = new Client(fleet, () => this);
		const follower = {
			copy: this.copy,
			mergeRows: (rows: readonly StoredRow[]) => this.copy.apply(rows.map(row => ({kind: 'written', row})), clock.now()),
			storeTime: (now: Millis) => now + clock.lostMs,
			isLoaded: true,
			age: () => 0,
		};
		const shared = {
			clock, store, follower, client, self: name, leaseMs, windowMs, lateMs, random: () => 0.5, members: () => fleet.members(),
		};
		this.fleetClock = new FleetClock({...shared, onOffset: () => undefined});
		this.counts = new CountWriter({
			...shared, incarnation, fleetClock: this.fleetClock, daemons: () => 3,
		});
		this.runner = new DutyRunner({
			...shared,
			duty: 'usage',
			subject: '',
			minIntervalMs: () => 50,
			work: new UsageWork({
				...shared,
				fleetClock: this.fleetClock,
				connectedFor: () => fleet.now - fleet.storeBackAt,
				onWindowReport: () => undefined,
				onUnreadable: () => undefined,
			}),
			onDutyReport: () => undefined,
		});
	}

	step(now: Millis): void {
		this.seenAt = now;
		if (this.fleet.store.fault !== 'down') {
			this.copy.replace(this.fleet.store.all().filter(({table}) => table === 'fleet'), Number.MAX_SAFE_INTEGER, this.clock.now());
		}

		if (now % 400 === 0) {
			void this.fleetClock.update();
		}

		if (now % 250 === 0) {
			void this.counts.flush();
		}

		void this.runner.run();
	}
}

async function neverSettles(): Promise<never> {
	return new Promise<never>(() => {
		// The daemon is dead.
	});
}

/** Daemons with clocks of their own, a store and the receiver of reports, in virtual time. */
export class UsageFleet {
	now = 0;
	storeBackAt = -10_000;
	fault: ReceiverFault = 'none';
	readonly arrivals: Arrival[] = [];
	readonly store = new MemoryRowStore({now: () => this.now});
	/** Requests that began to run, by window and team. */
	readonly begun = new Map<string, number>();
	daemons: UsageDaemon[] = [];

	constructor(names: readonly string[], wallSteps: readonly Millis[] = []) {
		this.daemons = names.map((name, index) => this.start(name, wallSteps[index]));
	}

	start(name: string, wallStepMs = 0): UsageDaemon {
		const daemon = new UsageDaemon(this, name as DaemonId, `${name}#${this.now}`);
		daemon.clock.wallStepMs = wallStepMs;
		return daemon;
	}

	/** Daemons whose heartbeats are not missing for long. */
	members(): DaemonId[] {
		return this.daemons.filter(({seenAt}) => this.now - seenAt < memberTimeoutMs).map(({name}) => name);
	}

	get holder(): UsageDaemon {
		return this.daemons.find(({runner, state}) => runner.isHolder && state !== 'dead')!;
	}

	/** Lets time pass. Each running daemon gets one request of each of two teams in each step. */
	async advance(ms: Millis): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += stepMs;
			for (const daemon of this.daemons) {
				if (daemon.state === 'running') {
					this.request(daemon);
					daemon.step(this.now);
				} else if (daemon.state === 'suspended') {
					daemon.clock.lostMs += stepMs;
				}
			}

			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	async deliver(daemon: UsageDaemon, {holder, fencingToken, body}: DutyCall, limits: CallLimits): Promise<DutyOutcome> {
		const {fault} = this;
		if (fault === 'down') {
			return {kind: 'not-sent', cause: 'refused'};
		}

		this.fault = 'none';
		if (fault === 'killed-before') {
			daemon.state = 'dead';
			return neverSettles();
		}

		if (fault === 'suspended-before') {
			daemon.state = 'suspended';
			await new Promise<void>(resolve => {
				daemon.resume = resolve;
			});
			daemon.state = 'running';
			if (!limits.canSend()) {
				return {kind: 'not-sent', cause: 'the permit came too late'};
			}
		}

		const text = Buffer.from(body).toString();
		this.arrivals.push({
			at: this.now, holder, token: fencingToken, body: text, ...JSON.parse(text) as Pick<Arrival, 'window' | 'counts'>,
		});
		if (fault === 'killed-after') {
			daemon.state = 'dead';
			return neverSettles();
		}

		return fault === 'answer-lost' ? {kind: 'unknown', cause: 'no response in time'} : {kind: 'done'};
	}

	/** What callers of the receiver must not see: gaps, disorder, different contents, tokens that break the rules, wrong counts. */
	violations(maxErrorShare = 0.05): string[] {
		const found: string[] = [];
		for (const [index, {at, holder, token, window, body, counts}] of this.arrivals.entries()) {
			const before = this.arrivals.slice(0, index);
			const previous = before.at(-1);
			if (previous !== undefined && (token < previous.token || (holder === previous.holder ? false : token === previous.token))) {
				found.push(`token ${token} of ${holder} follows ${previous.token} of ${previous.holder}`);
			}

			const others = before.findLastIndex(call => call.holder !== holder);
			if (others !== -1 && before.slice(0, others).some(call => call.holder === holder && at - call.at < leaseMs)) {
				found.push(`${holder} acts again within the lease`);
			}

			if (window !== (previous?.window ?? firstWindow - 1) + 1 && !before.some(call => call.body === body)) {
				found.push(`window ${window} follows ${previous?.window}`);
			}

			for (const team of ['a', 'b']) {
				const expected = this.begun.get(`${window}/${team}`) ?? 0;
				if (Math.abs((counts[team] ?? 0) - expected) > expected * maxErrorShare) {
					found.push(`window ${window}: ${counts[team] ?? 0} instead of ${expected}`);
				}
			}
		}

		return found;
	}

	/** Windows whose first report arrived later than it was due. */
	late(): number[] {
		const first = new Map<number, Millis>();
		for (const {window, at} of this.arrivals) {
			first.set(window, first.get(window) ?? at);
		}

		return [...first].filter(([window, at]) => startTime + at > ((window + 1) * windowMs) + lateMs).map(([window]) => window - firstWindow);
	}

	private request({counts, clock}: UsageDaemon): void {
		const at = clock.now();
		for (const team of ['a', 'b'] as TeamId[]) {
			counts.record(team, {
				route: 'r', upstream: undefined, sentAt: at, answeredAt: at, load: undefined,
			});
			const key = `${Math.floor((startTime + this.now) / windowMs)}/${team}`;
			this.begun.set(key, (this.begun.get(key) ?? 0) + 1);
		}
	}
}
