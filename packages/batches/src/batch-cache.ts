import type {RowChange} from '@cicadapost/store';
import type {BatchId} from '@cicadapost/types';
import {
	itemCount, unclaimed, type BatchPlan, type ItemClaim,
} from './batch.js';
import {
	decodeClaims, decodePlan, endKey, groupOfKey, planKey, RowShapeError,
} from './encode-rows.js';

export type GroupClaims = Readonly<{
	/** Version of the claim row, 0 if no item of the group has been claimed. */
	version: number;
	items: readonly ItemClaim[];
}>;

/** A snapshot of a batch, as far as this daemon knows it. */
export type BatchView = Readonly<{
	id: BatchId;
	plan: BatchPlan;
	planVersion: number;
	/** Number of listed results, which are those with a position. */
	count: number;
	isEnded: boolean;
	claims: readonly GroupClaims[];
}>;

type BatchRows = {
	plan?: Readonly<{value: BatchPlan; version: number}>;
	/** Number of listed items in `claims`. */
	count: number;
	isEnded: boolean;
	claims: Map<number, GroupClaims>;
	view?: BatchView;
};

/** Whether items of the batch may still have to run. */
export function isOpen(view: BatchView): boolean {
	return !view.isEnded && view.count < itemCount(view.plan);
}

/** Caches the batches in the store. Each row is decoded once per change. */
export class BatchCache {
	private readonly batches = new Map<BatchId, BatchRows>();

	/** Applies changed rows. Returns an error for each row that could not be decoded. */
	apply(changes: readonly RowChange[]): RowShapeError[] {
		const errors: RowShapeError[] = [];
		for (const change of changes) {
			try {
				this.applyChange(change);
			} catch (err) {
				if (!(err instanceof RowShapeError)) {
					throw err;
				}

				errors.push(err);
			}
		}

		return errors;
	}

	get(id: BatchId): BatchView | undefined {
		const rows = this.batches.get(id);
		return rows === undefined ? undefined : buildView(id, rows);
	}

	all(): BatchView[] {
		return [...this.batches.keys()].map(id => this.get(id)).filter(view => view !== undefined);
	}

	/** Batches with items left to run, oldest first. */
	open(): BatchView[] {
		return this.all()
			.filter(view => isOpen(view))
			.sort((a, b) => a.plan.submittedAt - b.plan.submittedAt || (a.id < b.id ? -1 : 1));
	}

	private applyChange(change: RowChange): void {
		const {part, key} = change.kind === 'written' ? change.row : change.key;
		const id = part as BatchId;
		const rows: BatchRows = this.batches.get(id) ?? {count: 0, isEnded: false, claims: new Map<number, GroupClaims>()};
		delete rows.view;
		if (change.kind === 'deleted') {
			// The rows of a batch are deleted one by one, the plan last.
			if (key === planKey) {
				this.batches.delete(id);
			}

			return;
		}

		const {value, version} = change.row;
		const group = groupOfKey(key);
		switch (key) {
			case planKey: {
				rows.plan = {value: decodePlan(value), version};

				break;
			}

			case endKey: {
				rows.isEnded = true;

				break;
			}

			default: {
				if (group !== undefined) {
					const items = decodeClaims(value);
					rows.count += countListed(items) - countListed(rows.claims.get(group)?.items ?? []);
					rows.claims.set(group, {version, items});
				}
			}
		}

		this.batches.set(id, rows);
	}
}

function countListed(items: readonly ItemClaim[]): number {
	return items.filter(({kind}) => kind === 'listed').length;
}

function buildView(id: BatchId, rows: BatchRows): BatchView | undefined {
	if (rows.plan === undefined) {
		return undefined;
	}

	rows.view ??= {
		id,
		plan: rows.plan.value,
		planVersion: rows.plan.version,
		count: rows.count,
		isEnded: rows.isEnded,
		claims: rows.plan.value.groups.map((group, index) => rows.claims.get(index) ?? {version: 0, items: group.items.map(() => unclaimed)}),
	};
	return rows.view;
}
