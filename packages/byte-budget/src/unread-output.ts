/** A response whose bytes wait for their reader. */
export type UnreadResponse = {
	/** Bytes that the reader has not taken yet. */
	readonly writableLength: number;
	/** IP address of the reader, if known. */
	readonly peer: string | undefined;
	/** Ends the response as broken. */
	breakOff: () => void;
};

/** Bytes that wait for one reader of a stream. A reader that keeps up with an engine leaves some kilobytes. */
export const maxUnreadStreamBytes = 4 * 1024 * 1024;

/** Chooses the response to break off when too much output waits for its readers: the one with the most. */
export function chooseResponseToBreak<Response extends Readonly<{bytes: number}>>(responses: Iterable<Response>): Response | undefined {
	let chosen: Response | undefined;
	for (const response of responses) {
		if (response.bytes > (chosen?.bytes ?? 0)) {
			chosen = response;
		}
	}

	return chosen;
}

/** Counts the output that waits for its readers, and breaks off what exceeds the limits. */
export class UnreadOutput {
	private readonly waiting = new Map<UnreadResponse, number>();
	private total = 0;

	/** `limit` is in bytes, for all responses together. */
	constructor(private readonly limit: number = Number.POSITIVE_INFINITY, private readonly onBroken: (peer: string | undefined) => void = () => undefined) {}

	get bytes(): number {
		return this.total;
	}

	/** Called after a response was written to or its reader has taken bytes. */
	update(response: UnreadResponse): void {
		this.set(response, response.writableLength);
		if (response.writableLength > maxUnreadStreamBytes && Number.isFinite(this.limit)) {
			this.break(response);
		}

		while (this.total > this.limit) {
			// Readers may have taken bytes since the last call.
			for (const waiting of this.waiting.keys()) {
				this.set(waiting, waiting.writableLength);
			}

			const chosen = this.total > this.limit ? chooseResponseToBreak([...this.waiting].map(([waiting, bytes]) => ({waiting, bytes}))) : undefined;
			if (chosen === undefined) {
				return;
			}

			this.break(chosen.waiting);
		}
	}

	/** Called when a response is over. */
	remove(response: UnreadResponse): void {
		this.set(response, 0);
	}

	private break(response: UnreadResponse): void {
		this.remove(response);
		this.onBroken(response.peer);
		response.breakOff();
	}

	private set(response: UnreadResponse, bytes: number): void {
		this.total += bytes - (this.waiting.get(response) ?? 0);
		if (bytes === 0) {
			this.waiting.delete(response);
		} else {
			this.waiting.set(response, bytes);
		}
	}
}
