/** A part of the region. */
export type Range = Readonly<{offset: number; bytes: number}>;

/** Ranges are multiples of this size, so that few small gaps remain. */
const granuleBytes = 64 * 1024;
/** Ranges from this size on are taken from the end, so that small ones at the start do not divide the space for them. */
const largeBytes = 4 * 1024 * 1024;

/** Decides which part of a region belongs to whom. */
export class RangeAllocator {
	/** Free ranges in order. No two of them touch. */
	private free: Range[];

	constructor(readonly bytes: number) {
		this.free = [{offset: 0, bytes}];
	}

	get freeBytes(): number {
		return this.free.reduce((sum, range) => sum + range.bytes, 0);
	}

	/** Takes a range of at least `bytes`. Undefined if there is none. */
	allocate(bytes: number): Range | undefined {
		const size = roundUp(bytes);
		const fits = (range: Range) => range.bytes >= size;
		const isLarge = size >= largeBytes;
		const found = isLarge ? this.free.findLast(range => fits(range)) : this.free.find(range => fits(range));
		if (found === undefined) {
			return undefined;
		}

		const taken = {offset: isLarge ? found.offset + found.bytes - size : found.offset, bytes: size};
		this.replace(found, isLarge ? {offset: found.offset, bytes: found.bytes - size} : {offset: found.offset + size, bytes: found.bytes - size});
		return taken;
	}

	/** Enlarges a range at its end. Returns undefined if what follows is not free. */
	extend(range: Range, bytes: number): Range | undefined {
		const more = roundUp(bytes) - range.bytes;
		const next = this.free.find(({offset}) => offset === range.offset + range.bytes);
		if (next === undefined || next.bytes < more) {
			return undefined;
		}

		this.replace(next, {offset: next.offset + more, bytes: next.bytes - more});
		return {offset: range.offset, bytes: range.bytes + more};
	}

	release(range: Range): void {
		const merged: Range[] = [];
		for (const next of [...this.free, range].toSorted((a, b) => a.offset - b.offset)) {
			const last = merged.at(-1);
			if (last !== undefined && last.offset + last.bytes === next.offset) {
				merged[merged.length - 1] = {offset: last.offset, bytes: last.bytes + next.bytes};
			} else {
				merged.push(next);
			}
		}

		this.free = merged;
	}

	private replace(range: Range, rest: Range): void {
		this.free = this.free.flatMap(candidate => (candidate === range ? (rest.bytes === 0 ? [] : [rest]) : [candidate]));
	}
}

function roundUp(bytes: number): number {
	return Math.max(1, Math.ceil(bytes / granuleBytes)) * granuleBytes;
}
