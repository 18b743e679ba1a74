/** Counts bytes that are held for one purpose. */
export class ByteMeter {
	private total = 0;

	/** `limit` is in bytes. `onFull` is called when bytes do not fit. */
	constructor(private readonly limit: number = Number.POSITIVE_INFINITY, private readonly onFull: () => void = () => undefined) {}

	/** Counts further bytes if they fit. */
	tryAdd(bytes: number): boolean {
		if (this.total + bytes > this.limit) {
			this.onFull();
			return false;
		}

		this.total += bytes;
		return true;
	}

	remove(bytes: number): void {
		this.total -= bytes;
	}
}
