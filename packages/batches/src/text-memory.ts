import {ByteMeter} from '@cicadapost/byte-budget';
import type {ActiveRun} from './sample-run.js';

/** Maximum size of a text. Those of the largest models of today have a tenth of it. */
const maxTextBytes = 8 * 1024 * 1024;
/** Memory that an event takes beside its data. */
const eventOverheadBytes = 64;

export type TextMemoryOptions = Readonly<{
	/** Counts the texts of all running samples. Unlimited by default. */
	meter?: ByteMeter;
	/** Called when a run has to end because there is no memory for its text, or because the text is longer than any valid one. */
	onFull: (run: ActiveRun) => void;
}>;

/** Counts what this daemon keeps of the responses of engines for running samples. */
export class TextMemory {
	private readonly meter: ByteMeter;
	private readonly kept = new Map<ActiveRun, {text: number; pending: number}>();

	constructor(private readonly options: TextMemoryOptions) {
		this.meter = options.meter ?? new ByteMeter();
	}

	/** Counts a text that a run continues. */
	start(run: ActiveRun): void {
		for (const data of run.text.events) {
			this.addEvent(run, data);
		}
	}

	/** Counts a further event of a text. */
	addEvent(run: ActiveRun, data: string): void {
		this.set(run, {text: (this.kept.get(run)?.text ?? 0) + data.length + eventOverheadBytes, pending: 0});
	}

	/** Sets the number of bytes that have arrived since the last event. */
	setPending(run: ActiveRun, pending: number): void {
		this.set(run, {text: this.kept.get(run)?.text ?? 0, pending});
	}

	/** Counts the text of a run no longer. */
	release(run: ActiveRun): void {
		const kept = this.kept.get(run);
		if (kept !== undefined) {
			this.kept.delete(run);
			this.meter.remove(kept.text + kept.pending);
		}
	}

	private set(run: ActiveRun, next: Readonly<{text: number; pending: number}>): void {
		if (run.isOver) {
			return;
		}

		const kept = this.kept.get(run) ?? {text: 0, pending: 0};
		const more = next.text + next.pending - kept.text - kept.pending;
		if (next.text + next.pending > maxTextBytes) {
			this.options.onFull(run);
			return;
		}

		if (more > 0 && !this.makeRoom(run, more)) {
			return;
		}

		if (more < 0) {
			this.meter.remove(-more);
		}

		this.kept.set(run, {...next});
	}

	/** Counts further bytes of a run. The longest text makes room for them, so that a faulty engine does not end the runs of others. Returns false if the run itself has ended. */
	private makeRoom(run: ActiveRun, bytes: number): boolean {
		while (!this.meter.tryAdd(bytes)) {
			const longest = this.longest() ?? run;
			this.options.onFull(longest);
			if (longest === run || run.isOver || this.kept.has(longest)) {
				return false;
			}
		}

		return true;
	}

	private longest(): ActiveRun | undefined {
		let longest: ActiveRun | undefined;
		let bytes = 0;
		for (const [run, {text, pending}] of this.kept) {
			if (text + pending > bytes) {
				longest = run;
				bytes = text + pending;
			}
		}

		return longest;
	}
}
