import type {Millis} from '@cicadapost/types';

/** A scheduled callback. Set `isCancelled` to prevent it from running. */
export type Timer = {isCancelled: boolean};

type Entry = Readonly<{at: Millis; sequence: number; run: () => void; timer: Timer}>;

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}

/** Priority queue of timers with a virtual clock in milliseconds. Timers that are due at the same time run in the order in which they were scheduled. */
export class EventQueue {
	private readonly heap: Entry[] = [];
	private sequence = 0;
	private time: Millis = 0;

	get now(): Millis {
		return this.time;
	}

	schedule(delayMs: Millis, run: () => void): Timer {
		const timer = {isCancelled: false};
		this.push({
			at: this.time + Math.max(0, delayMs), sequence: this.sequence++, run, timer,
		});
		return timer;
	}

	/** Runs all timers that are due up to and including `time`, then advances the clock to `time`. */
	runUntil(time: Millis): void {
		for (let next = this.heap[0]; next !== undefined && next.at <= time; next = this.heap[0]) {
			this.pop();
			this.time = next.at;
			if (!next.timer.isCancelled) {
				next.run();
			}
		}

		this.time = Math.max(this.time, time);
	}

	private push(entry: Entry): void {
		const {heap} = this;
		let index = heap.length;
		heap.push(entry);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(entry, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = entry;
	}

	private pop(): void {
		const {heap} = this;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (child >= heap.length || !isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}
