import type {Clock, Millis} from '@cicadapost/types';
import {
	chooseBodyToClose, recordArrival, retryAfterRefusal, startProgress, type BodyProgress,
} from './body-progress.js';
import {ByteMeter} from './byte-meter.js';
import {GrowingBuffer} from './growing-buffer.js';
import {RangeAllocator, type Range} from './range-allocator.js';
import {shareMemory, smallBodyBytes, type MemoryShares} from './share-memory.js';

export type BodyMemoryOptions = Readonly<{
	clock: Clock;
	shares: Pick<MemoryShares, 'region' | 'smallBodies'>;
	random: () => number;
	/** Whether the heap is nearly full, so that only small bodies are taken. */
	isHeapShort?: () => boolean;
}>;

export type BodyOptions = Readonly<{
	/** Undefined if the length is not declared. */
	declaredBytes: number | undefined;
	/** Called when the body is given up for others. Its memory is released before. */
	onClosed: () => void;
}>;

/** Range with which a body begins that has outgrown the share of small ones. */
const firstRangeBytes = 4 * smallBodyBytes;

/**
The memory for request bodies. Large ones share one region, whose size is fixed, so that neither their number nor the time at
which garbage is collected changes what the process holds.
*/
export class BodyMemory {
	private readonly ranges: RangeAllocator | undefined;
	private readonly smallBodies: ByteMeter;
	private readonly arriving = new Set<BodyBuffer>();
	private region: Uint8Array | undefined;

	constructor(private readonly options: BodyMemoryOptions) {
		const {region, smallBodies} = options.shares;
		this.ranges = Number.isFinite(region) ? new RangeAllocator(region) : undefined;
		this.smallBodies = new ByteMeter(smallBodies);
	}

	/** Whether bodies are limited at all. */
	get isLimited(): boolean {
		return this.ranges !== undefined;
	}

	/** Begins a body. Returns undefined if there is no memory for it. */
	open(options: BodyOptions): BodyBuffer | undefined {
		const body = new BodyBuffer(this, options, this.options.clock.now());
		if (!body.reserve(options.declaredBytes ?? 0)) {
			return undefined;
		}

		this.arriving.add(body);
		return body;
	}

	/** When a caller whose body was refused may send it again. */
	retryAfterMs(): Millis {
		return retryAfterRefusal(this.options.random());
	}

	now(): Millis {
		return this.options.clock.now();
	}

	/** Counts bytes of a small body, closing slow ones if necessary. */
	trySmall(body: BodyBuffer, bytes: number): boolean {
		while (!this.smallBodies.tryAdd(bytes)) {
			const closed = chooseBodyToClose([...this.arriving].filter(other => other !== body && !other.isInRegion), this.now());
			if (closed === undefined) {
				return false;
			}

			closed.close();
		}

		return true;
	}

	releaseSmall(bytes: number): void {
		this.smallBodies.remove(bytes);
	}

	/** Returns a range for a body, closing slow ones if necessary. Undefined if there is none. The data of `range` is moved to it. */
	takeRange(body: BodyBuffer, range: Range | undefined, bytes: number): Range | undefined {
		const {ranges} = this;
		if (ranges === undefined || this.options.isHeapShort?.() === true) {
			return undefined;
		}

		for (;;) {
			const taken = (range === undefined ? undefined : ranges.extend(range, bytes)) ?? this.move(range, ranges.allocate(bytes));
			if (taken !== undefined) {
				return taken;
			}

			const closed = chooseBodyToClose([...this.arriving].filter(other => other !== body && other.isInRegion), this.now());
			if (closed === undefined) {
				return undefined;
			}

			closed.close();
		}
	}

	releaseRange(range: Range): void {
		this.ranges?.release(range);
	}

	/** The body arrives no longer, so it can't be closed any more. */
	finish(body: BodyBuffer): void {
		this.arriving.delete(body);
	}

	view({offset, bytes}: Range): Uint8Array {
		// The operating system provides a page of it only when it is written for the first time.
		this.region ??= Buffer.allocUnsafeSlow(this.ranges?.bytes ?? 0);
		return this.region.subarray(offset, offset + bytes);
	}

	private move(from: Range | undefined, to: Range | undefined): Range | undefined {
		if (from !== undefined && to !== undefined) {
			this.view(to).set(this.view(from));
			this.releaseRange(from);
		}

		return to;
	}
}

/** Memory without limits. */
export function unlimitedBodies(clock: Clock): BodyMemory {
	return new BodyMemory({clock, shares: shareMemory(undefined), random: Math.random});
}

/** One body in the memory. */
export class BodyBuffer {
	progress: BodyProgress;
	private small: GrowingBuffer | undefined = new GrowingBuffer();
	/** Bytes counted as those of a small body. */
	private smallBytes = 0;
	private range: Range | undefined;
	private size = 0;
	private isReleased = false;

	constructor(private readonly memory: BodyMemory, private readonly options: BodyOptions, now: Millis) {
		this.progress = startProgress(0, now);
	}

	get isInRegion(): boolean {
		return this.range !== undefined;
	}

	get length(): number {
		return this.size;
	}

	/** Makes room for a body of this size. Returns false if there is none. */
	reserve(bytes: number): boolean {
		if (!this.memory.isLimited) {
			return true;
		}

		if (bytes <= smallBodyBytes) {
			return this.reserveSmall(bytes);
		}

		if (bytes <= (this.range?.bytes ?? 0)) {
			return true;
		}

		const range = this.memory.takeRange(this, this.range, bytes);
		if (range === undefined) {
			return false;
		}

		this.range = range;
		this.progress = {...this.progress, heldBytes: range.bytes};
		this.leaveSmall();
		return true;
	}

	/** Copies a piece of the body. Returns false if there is no memory for it. */
	append(piece: Uint8Array): boolean {
		const needed = this.size + piece.length;
		// The range of a body without a declared length doubles, so that it is rarely moved.
		if (needed > (this.range?.bytes ?? 0) && !this.reserve(needed <= smallBodyBytes ? needed : Math.max(needed, firstRangeBytes, 2 * (this.range?.bytes ?? 0))) && !this.reserve(needed)) {
			return false;
		}

		if (this.range === undefined) {
			this.small?.append(piece);
		} else {
			this.memory.view(this.range).set(piece, this.size);
		}

		this.size = needed;
		this.progress = recordArrival(this.progress, piece.length, this.memory.now());
		return true;
	}

	/** Returns the whole body. It is valid until `release` is called. */
	finish(): Uint8Array {
		this.memory.finish(this);
		return this.range === undefined ? (this.small?.bytes ?? new Uint8Array(0)) : this.memory.view(this.range).subarray(0, this.size);
	}

	/** Gives the memory back. The bytes that `finish` returned must not be used any more, also not by a pending write to a socket. */
	release(): void {
		if (this.isReleased) {
			return;
		}

		this.isReleased = true;
		this.memory.finish(this);
		this.leaveSmall();
		if (this.range !== undefined) {
			this.memory.releaseRange(this.range);
			this.range = undefined;
		}
	}

	/** Gives up a body that still arrives. */
	close(): void {
		this.release();
		this.options.onClosed();
	}

	private reserveSmall(bytes: number): boolean {
		if (this.range !== undefined || bytes <= this.smallBytes) {
			return true;
		}

		if (!this.memory.trySmall(this, bytes - this.smallBytes)) {
			return false;
		}

		this.smallBytes = bytes;
		this.progress = {...this.progress, heldBytes: bytes};
		return true;
	}

	/** Moves what has arrived of a small body into its range. */
	private leaveSmall(): void {
		if (this.range !== undefined && this.small !== undefined && !this.isReleased) {
			this.memory.view(this.range).set(this.small.bytes);
		}

		this.small = undefined;
		this.memory.releaseSmall(this.smallBytes);
		this.smallBytes = 0;
	}
}
