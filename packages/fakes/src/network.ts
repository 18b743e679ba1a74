import type {Millis} from '@cicadapost/types';
import type {EventQueue} from './event-queue.js';
import type {Random} from './random.js';

/** Location of a process. `node` is a daemon id, an upstream id or the name of a client. */
export type ProcessLocation = Readonly<{node: string; dataCentre: string; region: string}>;

export type NetworkOptions = Readonly<{
	/** One-way latency within a data centre. */
	localMs?: Millis;
	/** One-way latency between data centres of a region. */
	regionMs?: Millis;
	/** One-way latency between regions. */
	crossRegionMs?: Millis;
	/** Bandwidth of the link between two regions, in each direction. */
	linkBitsPerSecond?: number;
}>;

export type NetworkFaults = {
	/** Fraction of messages that are lost, such as when a connection breaks. */
	lossRate: number;
	/** Fraction of messages that are delivered twice. */
	duplicationRate: number;
	/** Upper bound of a random extra delay of each message, which reorders messages. */
	maxReorderDelayMs: Millis;
};

/** Network between daemons: simulates latency, link bandwidth, message faults and partitions, and counts the bytes sent between regions. */
export class FakeNetwork {
	readonly faults: NetworkFaults = {lossRate: 0, duplicationRate: 0, maxReorderDelayMs: 0};
	/** Bytes sent so far from one region to another, keyed by `from>to`. */
	readonly linkBytes = new Map<string, number>();
	messages = 0;
	private readonly blockedPaths = new Set<string>();
	private readonly linkFreeAt = new Map<string, Millis>();

	constructor(private readonly queue: EventQueue, private readonly random: Random, private readonly options: NetworkOptions = {}) {}

	latencyMs(from: ProcessLocation, to: ProcessLocation): Millis {
		if (from.region !== to.region) {
			return this.options.crossRegionMs ?? 12;
		}

		return from.dataCentre === to.dataCentre ? this.options.localMs ?? 0.2 : this.options.regionMs ?? 1.5;
	}

	/** Blocks messages in one direction. `from` and `to` are names of nodes or of data centres. */
	block(from: string, to: string): void {
		this.blockedPaths.add(`${from}>${to}`);
	}

	blockBoth(a: string, b: string): void {
		this.block(a, b);
		this.block(b, a);
	}

	unblock(from: string, to: string): void {
		this.blockedPaths.delete(`${from}>${to}`);
	}

	unblockAll(): void {
		this.blockedPaths.clear();
	}

	isBlocked(from: ProcessLocation, to: ProcessLocation): boolean {
		return this.blockedPaths.size > 0 && [from.node, from.dataCentre].some(a => [to.node, to.dataCentre].some(b => this.blockedPaths.has(`${a}>${b}`)));
	}

	/** Sends a message of `size()` bytes. Messages that are in flight when a path is blocked still arrive. */
	send(from: ProcessLocation, to: ProcessLocation, size: () => number, deliver: () => void): void {
		this.messages++;
		const waitMs = from.region === to.region ? 0 : this.transmitOverLink(from, to, size());
		if (this.isBlocked(from, to) || this.random.bernoulli(this.faults.lossRate)) {
			return;
		}

		const copies = this.random.bernoulli(this.faults.duplicationRate) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const extraMs = this.faults.maxReorderDelayMs === 0 ? 0 : this.random.next() * this.faults.maxReorderDelayMs;
			this.queue.schedule(waitMs + this.latencyMs(from, to) + extraMs, deliver);
		}
	}

	/** Adds a message to the link between two regions and returns its queueing and transmission time. */
	private transmitOverLink(from: ProcessLocation, to: ProcessLocation, bytes: number): Millis {
		const name = `${from.region}>${to.region}`;
		this.linkBytes.set(name, (this.linkBytes.get(name) ?? 0) + bytes);
		const transmitMs = 1000 * 8 * bytes / (this.options.linkBitsPerSecond ?? 300e6);
		const freeAt = Math.max(this.queue.now, this.linkFreeAt.get(name) ?? 0) + transmitMs;
		this.linkFreeAt.set(name, freeAt);
		return freeAt - this.queue.now;
	}
}
