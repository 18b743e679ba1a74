import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random source. Equal seeds give equal sequences. */
export class Random {
	private readonly generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Uniform in [0, 1). */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** Uniform integer from `from` to `to`, both included. */
	int(from: number, to: number): number {
		return uniformInt(this.generator, from, to);
	}

	bernoulli(share: number): boolean {
		return share > 0 && this.next() < share;
	}

	/** Exponentially distributed, such as the time between arrivals. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	pick<Item>(items: readonly Item[]): Item {
		return items[this.int(0, items.length - 1)]!;
	}

	/** A source of its own, so that one part's use doesn't shift the sequence of another. */
	fork(): Random {
		return new Random(this.int(0, 0x7F_FF_FF_FF));
	}
}
