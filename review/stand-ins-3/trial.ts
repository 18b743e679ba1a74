import {writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {StandInStore} from '../../platform/src/testing/stand-in-store.js';
import type {Daemon} from './daemon.js';

/** Rows of one read, which the pages limit to 500 rows or 1 MB. */
const maxReadBytes = 1_000_000;
const rowOverheadBytes = 200;
const maxTrialMs = 110_000;

/** What the script of a case needs: the store, a record of what happens, and the end of all processes. */
export class Trial {
	/** Whether the disruption takes place. */
	readonly hasTrouble = process.env.TROUBLE !== '0';
	readonly store = new StandInStore();
	/** What broke the rule. */
	readonly faults: string[] = [];
	private readonly startedAt = performance.now();
	private readonly lines: string[] = [];
	private readonly cleanups: Array<() => Promise<void> | void> = [];

	constructor(private readonly file: string) {
		const {rows} = this.store;
		const read = rows.read.bind(rows);
		rows.read = async range => {
			const outcome = await read(range);
			if (outcome.kind !== 'rows') {
				return outcome;
			}

			let bytes = 0;
			const count = outcome.rows.findIndex((row, index) => {
				bytes += (row.value.length * 4 / 3) + rowOverheadBytes;
				return bytes > maxReadBytes && index > 0;
			});
			return count === -1 ? outcome : {...outcome, rows: outcome.rows.slice(0, count), hasMore: true};
		};
	}

	/** Milliseconds since the start of the script. */
	now(): number {
		return Math.round(performance.now() - this.startedAt);
	}

	/** Adds a line to the record. */
	note(text: string): void {
		this.lines.push(`${String(this.now()).padStart(6)} ms  ${text}`);
	}

	/** Records that the rule was broken. */
	fault(text: string): void {
		this.faults.push(text);
		this.note(`BROKEN: ${text}`);
	}

	/** Ends something when the script ends. */
	atEnd(cleanup: () => Promise<void> | void): void {
		this.cleanups.push(cleanup);
	}

	async startAll(daemons: ReadonlyArray<Promise<Daemon>>): Promise<Daemon[]> {
		const started = await Promise.all(daemons);
		for (const daemon of started) {
			this.atEnd(async () => daemon.close());
		}

		await Promise.all(started.map(async daemon => daemon.waitUntilReady()));
		return started;
	}

	/** Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
	async play(script: () => Promise<void>): Promise<never> {
		let code = 2;
		try {
			await Promise.race([script(), this.timeOut()]);
			code = this.faults.length > 0 ? 1 : 0;
		} catch (err) {
			this.note(`the case could not run: ${err instanceof Error ? err.stack : String(err)}`);
		}

		for (const cleanup of this.cleanups.toReversed()) {
			await cleanup();
		}

		this.note(code === 1 ? `the rule was broken ${this.faults.length} times` : (code === 0 ? 'the rule held' : 'no result'));
		writeFileSync(this.file, `trouble: ${this.hasTrouble ? 'yes' : 'no'}\n${this.lines.join('\n')}\n`);
		process.exit(code);
	}

	private async timeOut(): Promise<never> {
		await sleep(maxTrialMs, undefined, {ref: false});
		throw new Error('the time is up');
	}
}
