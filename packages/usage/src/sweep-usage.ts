import {readAll, type RowStore} from '@cicadapost/store';
import type {DaemonId} from '@cicadapost/types';
import {isDisposable} from './plan-reports.js';
import {
	clockPart, reportPart, usageTable, windowOfPart, windowOfReport,
} from './usage-rows.js';

/** Entries of one transaction of the store. */
const maxDeletes = 100;

/** Deletes the rows of windows that were reported a while ago, and the clocks of daemons that are gone. Run by the holder of the duty. */
export async function sweepUsage(store: RowStore, next: number, members: readonly DaemonId[]): Promise<void> {
	const parts = await store.parts(usageTable) ?? [];
	for (const part of parts) {
		const window = windowOfPart(part);
		if (window !== undefined && isDisposable(window, next)) {
			await deleteKeys(store, part, () => true);
		}
	}

	await deleteKeys(store, reportPart, key => isDisposable(windowOfReport(key), next));
	await deleteKeys(store, clockPart, key => !members.includes(key as DaemonId));
}

async function deleteKeys(store: RowStore, part: string, isOld: (key: string) => boolean): Promise<void> {
	const rows = await readAll(store, {table: usageTable, part}) ?? [];
	const keys = rows.map(({key}) => key).filter(key => isOld(key));
	for (let index = 0; index < keys.length; index += maxDeletes) {
		await store.transact({
			part, writes: [], deletes: keys.slice(index, index + maxDeletes).map(key => ({table: usageTable, key})),
		});
	}
}
