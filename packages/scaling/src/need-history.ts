import type {Millis} from '@cicadapost/types';

/** Upstreams are given back only if they were not needed for this long. Much longer than a training step, so that no step's rhythm moves the number. */
export const calmMs = 180_000;
const bucketMs = 5000;

/** Remembers the highest need of the last minutes. */
export class NeedHistory {
	private readonly highest = new Map<number, number>();
	private startedAt: Millis | undefined;

	/** `needed` is undefined if it can't be told; then nothing may be given back for a while. */
	record(needed: number | undefined, now: Millis): void {
		if (needed === undefined) {
			this.startedAt = undefined;
			this.highest.clear();
			return;
		}

		this.startedAt ??= now;
		const bucket = Math.floor(now / bucketMs);
		this.highest.set(bucket, Math.max(needed, this.highest.get(bucket) ?? 0));
		for (const known of this.highest.keys()) {
			if (known < Math.floor((now - calmMs) / bucketMs)) {
				this.highest.delete(known);
			}
		}
	}

	/** The highest need of the whole calm period, or undefined if it was not observed for so long. */
	held(now: Millis): number | undefined {
		return this.startedAt === undefined || now - this.startedAt < calmMs ? undefined : Math.max(...this.highest.values());
	}
}
