/** Where lines go; `write` must not wait for a reader. */
export type LineSink = Readonly<{
	write: (text: string) => unknown;
	/** Bytes that wait to be read. */
	readonly writableLength: number;
}>;

export type BoundedStreamOptions = Readonly<{
	sink: LineSink;
	/** Milliseconds of a clock that never goes back. */
	now: () => number;
	/** Lines a second in the long run, and in a burst. */
	linesPerSecond?: number;
	burst?: number;
}>;

/** An on-call engineer can follow a request in this volume; a refused request takes one or two lines. */
const defaultLinesPerSecond = 300;
const defaultBurst = 1500;
/** Bytes that may wait for a reader of the log before lines are dropped. */
const maxBufferedBytes = 1024 * 1024;

/** Bounds the volume of a log and never waits for its reader. Lines that are dropped are counted in a line of their own. */
export class BoundedStream {
	private availableLines: number;
	private refilledAt: number;
	private droppedLines = 0;
	private readonly rate: number;
	private readonly burst: number;

	constructor(private readonly options: BoundedStreamOptions) {
		this.rate = options.linesPerSecond ?? defaultLinesPerSecond;
		this.burst = options.burst ?? defaultBurst;
		this.availableLines = this.burst;
		this.refilledAt = options.now();
	}

	write(line: string): void {
		const {sink, now} = this.options;
		const at = now();
		this.availableLines = Math.min(this.burst, this.availableLines + ((at - this.refilledAt) * this.rate / 1000));
		this.refilledAt = at;
		if (this.availableLines < 1 || sink.writableLength > maxBufferedBytes) {
			this.droppedLines += 1;
			return;
		}

		this.availableLines -= 1;
		if (this.droppedLines > 0) {
			sink.write(`${JSON.stringify({event: 'log-lines-dropped', count: this.droppedLines})}\n`);
			this.droppedLines = 0;
		}

		sink.write(line);
	}
}
