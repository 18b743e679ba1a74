import {writeFileSync} from 'node:fs';

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Recorder {
	private readonly lines: string[] = [];
	private readonly startedAt = performance.now();

	constructor(private readonly file: string) {}

	/** Time since the start, in milliseconds. */
	get now(): number {
		return performance.now() - this.startedAt;
	}

	add(who: string, what: string): void {
		this.lines.push(`${(this.now / 1000).toFixed(3).padStart(8)} ${who.padEnd(10)} ${what}`);
	}

	save(): void {
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}
}
