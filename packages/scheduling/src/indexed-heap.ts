/** An item of an `IndexedHeap`. The heap stores the item's position in `heapIndex`; it is -1 while the item is in no heap. */
export type HeapItem = {
	heapIndex: number;
	/** The item with the smallest key is on top. */
	key: number;
};

/** Binary min-heap. Each item stores its position, so that it can be moved or removed in O(log n). */
export class IndexedHeap<Item extends HeapItem> {
	private readonly items: Item[] = [];

	get size(): number {
		return this.items.length;
	}

	/** The item with the smallest key. */
	get top(): Item | undefined {
		return this.items[0];
	}

	/** Inserts the item, or restores the heap order after its key has changed. */
	set(item: Item): void {
		if (item.heapIndex < 0) {
			item.heapIndex = this.items.length;
			this.items.push(item);
		}

		this.siftUp(item);
		this.siftDown(item);
	}

	delete(item: Item): void {
		const index = item.heapIndex;
		if (index < 0) {
			return;
		}

		item.heapIndex = -1;
		const last = this.items.pop();
		if (last !== undefined && last !== item) {
			last.heapIndex = index;
			this.items[index] = last;
			this.siftUp(last);
			this.siftDown(last);
		}
	}

	private siftUp(item: Item): void {
		while (item.heapIndex > 0) {
			const parent = this.items[Math.floor((item.heapIndex - 1) / 2)]!;
			if (parent.key <= item.key) {
				return;
			}

			this.swap(item, parent);
		}
	}

	private siftDown(item: Item): void {
		for (;;) {
			const left = this.items[(2 * item.heapIndex) + 1];
			const right = this.items[(2 * item.heapIndex) + 2];
			const child = right !== undefined && right.key < left!.key ? right : left;
			if (child === undefined || child.key >= item.key) {
				return;
			}

			this.swap(item, child);
		}
	}

	private swap(a: Item, b: Item): void {
		const index = a.heapIndex;
		a.heapIndex = b.heapIndex;
		b.heapIndex = index;
		this.items[a.heapIndex] = a;
		this.items[b.heapIndex] = b;
	}
}
