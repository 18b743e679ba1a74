/** Counts bytes that are held for one purpose. */
export class ByteMeter {
	private total = 0;

	/** `limit` is in bytes. */
	constructor(private readonly limit: number = Number.POSITIVE_INFINITY) {}

	get bytes(): number {
		return this.total;
	}

	get isOver(): boolean {
		return this.total > this.limit;
	}

	/** Counts further bytes if they fit. */
	tryAdd(bytes: number): boolean {
		if (this.total + bytes > this.limit) {
			return false;
		}

		this.total += bytes;
		return true;
	}

	/** Counts bytes that are there in any case. */
	add(bytes: number): void {
		this.total += bytes;
	}

	remove(bytes: number): void {
		this.total -= bytes;
	}
}
