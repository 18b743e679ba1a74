import type {Millis} from '@cicadapost/types';
import type {EventQueue} from './event-queue.js';
import type {Random} from './random.js';

/** Where a process is. `node` is a daemon id, an upstream id or the name of a client. */
export type ProcessLocation = Readonly<{node: string; dataCentre: string; region: string}>;

export type NetworkOptions = Readonly<{
	/** One-way latencies. */
	localMs?: Millis;
	regionMs?: Millis;
	crossRegionMs?: Millis;
	/** Capacity of the link between two regions in each direction. */
	linkBitsPerSecond?: number;
}>;

export type NetworkFaults = {
	/** Share of messages that are lost, such as when a connection breaks. */
	lossRate: number;
	/** Share of messages that arrive twice. */
	duplicationRate: number;
	/** Each message is delayed by up to this much more, so that a later one may overtake it. */
	maxReorderDelayMs: Millis;
};

/** Messages between daemons: latency by data centre, faults, cuts, and the bytes on the links between regions. */
export class FakeNetwork {
	readonly faults: NetworkFaults = {lossRate: 0, duplicationRate: 0, maxReorderDelayMs: 0};
	/** Bytes sent so far from one region to another, by `from>to`. */
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

	/** Cuts one direction; `from` and `to` are names of nodes or of data centres. */
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

	/** Sends a message of `size()` bytes. A message on its way when a cut begins still arrives. */
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

	/** Counts the bytes and returns how long the message waits for the link and is transmitted. */
	private transmitOverLink(from: ProcessLocation, to: ProcessLocation, bytes: number): Millis {
		const name = `${from.region}>${to.region}`;
		this.linkBytes.set(name, (this.linkBytes.get(name) ?? 0) + bytes);
		const transmitMs = 1000 * 8 * bytes / (this.options.linkBitsPerSecond ?? 300e6);
		const freeAt = Math.max(this.queue.now, this.linkFreeAt.get(name) ?? 0) + transmitMs;
		this.linkFreeAt.set(name, freeAt);
		return freeAt - this.queue.now;
	}
}
