import type {HistoryEntry} from '@cicadapost/api';
import type {TableService} from '@cicadapost/platform';
import {z} from 'zod';

const historyTable = 'configuration-history';
const versionDigits = 10;

const entrySchema = z.object({version: z.int(), acceptedAt: z.string(), daemon: z.string()});

/** Notes an accepted version. A note that is lost leaves a gap in the history and harms nothing else. */
export async function recordHistory(tableService: TableService, entry: HistoryEntry): Promise<void> {
	await tableService.compareAndSet(historyTable, String(entry.version).padStart(versionDigits, '0'), 0, JSON.stringify(entry));
}

/** Accepted versions, oldest first; undefined while the table service can't be reached. */
export async function readHistory(tableService: TableService): Promise<readonly HistoryEntry[] | undefined> {
	const rows = await tableService.list(historyTable, '');
	return rows?.map(row => entrySchema.parse(JSON.parse(row.value))).toSorted((a, b) => a.version - b.version);
}
