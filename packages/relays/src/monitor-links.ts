import type {ConnectionPool} from '@cicadapost/forwarding';
import type {Clock, Millis, UpstreamId} from '@cicadapost/types';
import {LinkStateTracker} from './link-state.js';

export type ProbedUpstream = Readonly<{id: UpstreamId; address: string}>;

export type LinkMonitorOptions = Readonly<{
	clock: Clock;
	pool: ConnectionPool;
	/** Returns the upstreams that accept work. */
	upstreams: () => readonly ProbedUpstream[];
	random: () => number;
	/** Called when this daemon has found that it reaches no upstream, or that it reaches them again. */
	onChanged: (isPartitioned: boolean) => void;
}>;

const checkIntervalMs = 250;
/** Upstreams with requests of this daemon that have sent nothing at all for this long are doubted. Events of samples are 40 ms apart. */
const maxSilenceMs = 800;

/** Number of other upstreams that are tried before a daemon takes its links for broken. */
const maxOthers = 3;

/** Finds out whether this daemon is partitioned from all upstreams, from failing connections and silence and from probes that follow them. */
export class LinkMonitor {
	private readonly state = new LinkStateTracker();
	private readonly timer: NodeJS.Timeout;
	private isPartitionedBefore = false;
	/** The next upstream to probe, counted in the list of upstreams. */
	private position: number;
	private readonly onFailed = () => {
		this.probe(this.state.recordFailure(this.options.clock.now()));
	};

	private readonly onConnected = () => {
		this.state.recordConnected(this.options.clock.now());
		this.reportChange();
	};

	constructor(private readonly options: LinkMonitorOptions) {
		const {pool, random} = options;
		// Daemons begin with different upstreams.
		this.position = Math.floor(random() * 1000);
		pool.on('failed', this.onFailed);
		pool.on('connected', this.onConnected);
		this.timer = setInterval(() => {
			this.check(options.clock.now());
		}, checkIntervalMs);
	}

	get isPartitioned(): boolean {
		return this.state.current === 'partitioned';
	}

	/** Whether an upstream other than `except` can be reached. True if none is listed. */
	async reachesAnother(except: UpstreamId): Promise<boolean> {
		const {upstreams, pool, random} = this.options;
		const others = upstreams().filter(({id}) => id !== except);
		const first = Math.floor(random() * others.length);
		const tried = [...others.slice(first), ...others.slice(0, first)].slice(0, maxOthers);
		for (const {address} of tried) {
			if (await pool.canConnect(address)) {
				return true;
			}
		}

		return tried.length === 0;
	}

	stop(): void {
		const {pool} = this.options;
		clearInterval(this.timer);
		pool.off('failed', this.onFailed);
		pool.off('connected', this.onConnected);
	}

	private check(now: Millis): void {
		if (this.options.pool.silentFor(now) > maxSilenceMs) {
			this.onFailed();
		}

		if (this.state.isRecoveryProbeDue(now)) {
			this.probe(1);
		}
	}

	private probe(count: number): void {
		const {upstreams} = this.options;
		const all = upstreams();
		for (let index = 0; index < count; index++) {
			const upstream = all[this.position % Math.max(1, all.length)];
			this.position += 1;
			void this.probeOne(upstream);
		}
	}

	/** Without any upstream in the list, the links can't be judged and count as fine. */
	private async probeOne(upstream: ProbedUpstream | undefined): Promise<void> {
		const {clock, pool} = this.options;
		const isReachable = upstream === undefined || await pool.canConnect(upstream.address);
		this.probe(this.state.recordProbe(isReachable, clock.now()));
		this.reportChange();
	}

	private reportChange(): void {
		if (this.isPartitioned !== this.isPartitionedBefore) {
			this.isPartitionedBefore = this.isPartitioned;
			this.options.onChanged(this.isPartitioned);
		}
	}
}
