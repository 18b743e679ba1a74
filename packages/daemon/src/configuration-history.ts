import type {ConfigurationHistoryEntry} from '@cicadapost/api';
import type {TableService} from '@cicadapost/platform';
import * as z from 'zod';

const historyTable = 'configuration-history';
const versionKeyLength = 10;

const historyEntrySchema = z.object({version: z.int(), acceptedAt: z.string(), daemon: z.string()});

/** Records an accepted version. A lost write leaves a gap in the history and has no other effect. */
export async function recordHistory(tableService: TableService, entry: ConfigurationHistoryEntry): Promise<void> {
	await tableService.compareAndSet(historyTable, String(entry.version).padStart(versionKeyLength, '0'), 0, JSON.stringify(entry));
}

/** Reads the accepted versions, oldest first. Returns undefined if the table service is unavailable. */
export async function readHistory(tableService: TableService): Promise<readonly ConfigurationHistoryEntry[] | undefined> {
	const rows = await tableService.list(historyTable, '');
	return rows?.map(row => historyEntrySchema.parse(JSON.parse(row.value))).toSorted((a, b) => a.version - b.version);
}
