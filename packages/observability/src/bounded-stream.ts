/** Destination of log lines. `write` must not block. */
export type LineSink = Readonly<{
	write: (text: string) => unknown;
	/** Bytes buffered for the reader. */
	readonly writableLength: number;
}>;

export type BoundedStreamOptions = Readonly<{
	sink: LineSink;
	/** Monotonic clock in milliseconds. */
	now: () => number;
	/** Sustained rate. */
	linesPerSecond?: number;
	/** Lines that may be written at once above the sustained rate. */
	burst?: number;
}>;

/** Low enough for an on-call engineer to follow a request in the log; a refused request logs one or two lines. */
const defaultLinesPerSecond = 300;
const defaultBurst = 1500;
/** Lines are dropped while more than this is buffered for the reader of the log. */
const maxBufferedBytes = 1024 * 1024;

/** Limits the rate of a log with a token bucket and never blocks on a slow reader. The number of dropped lines is logged in a separate line. */
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
