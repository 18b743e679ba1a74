const firstBytes = 1024;

/** Collects pieces of data in one buffer, whatever their number. Memory is at most twice the size of the data, and for a moment three times while it grows. */
export class GrowingBuffer {
	private buffer = new Uint8Array(0);
	private size = 0;

	/** Number of bytes collected. */
	get length(): number {
		return this.size;
	}

	/** Number of bytes of memory that it holds. */
	get capacity(): number {
		return this.buffer.length;
	}

	append(piece: Uint8Array): void {
		const needed = this.size + piece.length;
		if (needed > this.buffer.length) {
			const grown = Buffer.allocUnsafeSlow(Math.max(firstBytes, needed, this.buffer.length * 2));
			grown.set(this.bytes);
			this.buffer = grown;
		}

		this.buffer.set(piece, this.size);
		this.size = needed;
	}

	/** What was collected. It shares memory with this object. */
	get bytes(): Uint8Array {
		return this.buffer.subarray(0, this.size);
	}
}
