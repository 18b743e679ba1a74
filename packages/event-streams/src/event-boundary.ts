const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;

/** Follows the bytes of one stream of server-sent events. Lines may end with LF, CR or CRLF. */
export class EventBoundary {
	/** Whether the current line has any bytes. */
	private isInLine = false;
	/** Whether the current line is a comment, which belongs to no event. */
	private isComment = false;
	/** Whether a field has been received since the last blank line. */
	private hasField = false;
	/** Whether the last byte was CR; an LF after it belongs to the same line end. */
	private isAfterReturn = false;

	/** Takes the next bytes of the stream, in pieces of any size. */
	feed(chunk: Uint8Array): void {
		for (const byte of chunk) {
			if (byte === lineFeed && this.isAfterReturn) {
				this.isAfterReturn = false;
				continue;
			}

			this.isAfterReturn = byte === carriageReturn;
			if (byte === lineFeed || byte === carriageReturn) {
				this.endLine();
			} else if (!this.isInLine) {
				this.isInLine = true;
				this.isComment = byte === colon;
			}
		}
	}

	/** Whether a stream that ended here would lack the end of an event or of a line. */
	get isWithinEvent(): boolean {
		return this.isInLine || this.hasField;
	}

	private endLine(): void {
		this.hasField = this.isInLine && (this.hasField || !this.isComment);
		this.isInLine = false;
	}
}
