import type {DataCentreDiff} from '@cicadapost/settings';
import {printLine} from '../../print.js';

function formatValue(value: unknown): string {
	return value === undefined ? '(absent)' : JSON.stringify(value);
}

export function printDiff(diff: readonly DataCentreDiff[]): void {
	if (diff.length === 0) {
		printLine('no difference at any data centre');
	}

	for (const {dataCentre, changes} of diff) {
		printLine(`${dataCentre}:`);
		for (const {field, before, after} of changes) {
			printLine(`  ${field}: ${formatValue(before)} -> ${formatValue(after)}`);
		}
	}
}
