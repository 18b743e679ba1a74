/** Prints `value` as indented JSON, for queries with `--json`. */
export function printJson(value: unknown): void {
	process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
}

export function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Prints rows under a header; each column is as wide as its widest cell. */
export function printTable(header: readonly string[], rows: ReadonlyArray<readonly unknown[]>): void {
	const cells = [header, ...rows.map(row => row.map(String))];
	const widths = header.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
	for (const row of cells) {
		printLine(row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
	}
}
