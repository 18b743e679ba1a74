import type {BatchId, UpstreamId} from '@cicadapost/types';

/** Engines and the weight version under which each has read a prompt. */
type Readers = Map<UpstreamId, number>;

/** The groups whose shared prompt engines of this daemon have read, and under which weight version. */
export class PromptMemory {
	private readonly batches = new Map<BatchId, Map<number, Readers>>();

	/** Records that an engine runs an item of a group. */
	record({batch, group}: Readonly<{batch: BatchId; group: number}>, engine: UpstreamId, version: number): void {
		const groups = this.batches.get(batch) ?? new Map<number, Readers>();
		const readers: Readers = groups.get(group) ?? new Map<UpstreamId, number>();
		readers.set(engine, version);
		groups.set(group, readers);
		this.batches.set(batch, groups);
	}

	/** Whether an engine has read the prompt of a group under this weight version. Prompts read under others are of no use. */
	has({batch, group}: Readonly<{batch: BatchId; group: number}>, engine: UpstreamId, version: number): boolean {
		return this.batches.get(batch)?.get(group)?.get(engine) === version;
	}

	/** Forgets all batches but these. */
	retain(open: ReadonlySet<BatchId>): void {
		for (const batch of this.batches.keys()) {
			if (!open.has(batch)) {
				this.batches.delete(batch);
			}
		}
	}
}
