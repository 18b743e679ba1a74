import type {SiteDiff} from '@cicadapost/settings';
import {printLine} from '../../print.js';

function show(value: unknown): string {
	return value === undefined ? '(absent)' : JSON.stringify(value);
}

export function printDiff(diff: readonly SiteDiff[]): void {
	if (diff.length === 0) {
		printLine('no difference at any data centre');
	}

	for (const {dataCentre, changes} of diff) {
		printLine(`${dataCentre}:`);
		for (const {field, before, after} of changes) {
			printLine(`  ${field}: ${show(before)} -> ${show(after)}`);
		}
	}
}
