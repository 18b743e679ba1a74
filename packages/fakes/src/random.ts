import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudorandom number generator. The same seed gives the same sequence. */
export class Random {
	private readonly generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Returns a uniformly distributed number in [0, 1). */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** Returns a uniformly distributed integer between `from` and `to`, inclusive. */
	int(from: number, to: number): number {
		return uniformInt(this.generator, from, to);
	}

	/** Returns true with probability `share`. Draws no number if `share` is 0. */
	bernoulli(share: number): boolean {
		return share > 0 && this.next() < share;
	}

	/** Returns an exponentially distributed number, such as the time between two arrivals. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	pick<Item>(items: readonly Item[]): Item {
		return items[this.int(0, items.length - 1)]!;
	}

	/** Creates an independent generator, so that the numbers one component draws do not change the sequence of another. */
	fork(): Random {
		return new Random(this.int(0, 0x7F_FF_FF_FF));
	}
}
