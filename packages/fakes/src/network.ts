import type {Millis} from '@cicadapost/types';
import type {EventQueue} from './event-queue.js';
import type {Random} from './random.js';

/** Where a process is. `node` is a daemon id, an upstream id or the name of a client. */
export type Place = Readonly<{node: string; dataCentre: string; region: string}>;

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
	loss: number;
	/** Share of messages that arrive twice. */
	duplication: number;
	/** Each message is delayed by up to this much more, so that a later one may overtake it. */
	reorderMs: Millis;
};

/** Messages between daemons: latency by data centre, faults, cuts, and the bytes on the links between regions. */
export class FakeNetwork {
	readonly faults: NetworkFaults = {loss: 0, duplication: 0, reorderMs: 0};
	/** Bytes sent so far from one region to another, by `from>to`. */
	readonly linkBytes = new Map<string, number>();
	messages = 0;
	private readonly cuts = new Set<string>();
	private readonly linkFreeAt = new Map<string, Millis>();

	constructor(private readonly queue: EventQueue, private readonly random: Random, private readonly options: NetworkOptions = {}) {}

	latencyMs(from: Place, to: Place): Millis {
		if (from.region !== to.region) {
			return this.options.crossRegionMs ?? 12;
		}

		return from.dataCentre === to.dataCentre ? this.options.localMs ?? 0.2 : this.options.regionMs ?? 1.5;
	}

	/** Cuts one direction; `from` and `to` are names of nodes or of data centres. */
	cut(from: string, to: string): void {
		this.cuts.add(`${from}>${to}`);
	}

	cutBoth(a: string, b: string): void {
		this.cut(a, b);
		this.cut(b, a);
	}

	heal(from: string, to: string): void {
		this.cuts.delete(`${from}>${to}`);
	}

	healAll(): void {
		this.cuts.clear();
	}

	isCut(from: Place, to: Place): boolean {
		return this.cuts.size > 0 && [from.node, from.dataCentre].some(a => [to.node, to.dataCentre].some(b => this.cuts.has(`${a}>${b}`)));
	}

	/** Sends a message of `size()` bytes. A message on its way when a cut begins still arrives. */
	send(from: Place, to: Place, size: () => number, deliver: () => void): void {
		this.messages++;
		const waitMs = from.region === to.region ? 0 : this.useLink(from, to, size());
		if (this.isCut(from, to) || this.random.isChance(this.faults.loss)) {
			return;
		}

		const copies = this.random.isChance(this.faults.duplication) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const extraMs = this.faults.reorderMs === 0 ? 0 : this.random.next() * this.faults.reorderMs;
			this.queue.schedule(waitMs + this.latencyMs(from, to) + extraMs, deliver);
		}
	}

	/** Counts the bytes and returns how long the message waits for the link and is transmitted. */
	private useLink(from: Place, to: Place, bytes: number): Millis {
		const name = `${from.region}>${to.region}`;
		this.linkBytes.set(name, (this.linkBytes.get(name) ?? 0) + bytes);
		const transmitMs = 1000 * 8 * bytes / (this.options.linkBitsPerSecond ?? 300e6);
		const freeAt = Math.max(this.queue.now, this.linkFreeAt.get(name) ?? 0) + transmitMs;
		this.linkFreeAt.set(name, freeAt);
		return freeAt - this.queue.now;
	}
}
