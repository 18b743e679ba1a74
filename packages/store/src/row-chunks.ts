/** A piece of a value that is stored in several rows. The key is the name of the value, a slash, and the number of the piece. */
export type ValueChunk = Readonly<{key: string; value: Uint8Array}>;

/** Maximum size of a chunk, which fits into a row. */
const maxChunkBytes = 60 * 1024;

/** Splits a value into chunks that fit into a row. The keys sort in the order of the chunks. */
export function splitValue(name: string, value: Uint8Array): ValueChunk[] {
	const count = Math.max(1, Math.ceil(value.length / maxChunkBytes));
	return Array.from({length: count}, (_, index) => ({
		key: `${name}/${padNumber(index)}-${padNumber(count)}`,
		value: value.subarray(index * maxChunkBytes, (index + 1) * maxChunkBytes),
	}));
}

/** Reassembles values from their chunks. Values with missing chunks are skipped. */
export function joinChunks(rows: readonly ValueChunk[]): Array<Readonly<{name: string; value: Uint8Array}>> {
	const byName = new Map<string, ValueChunk[]>();
	for (const row of rows) {
		const name = row.key.slice(0, row.key.lastIndexOf('/'));
		const parts = byName.get(name) ?? [];
		parts.push(row);
		byName.set(name, parts);
	}

	return [...byName.entries()]
		.filter(([, parts]) => parts.length === Number(parts[0]?.key.split('-').at(-1)))
		.map(([name, parts]) => ({name, value: Buffer.concat(parts.map(part => part.value))}));
}

/** Pads a number with zeros, so that keys sort in numerical order. */
function padNumber(number: number): string {
	return String(number).padStart(6, '0');
}
