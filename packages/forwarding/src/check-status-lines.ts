/** Longer lines are not valid. The reason phrases of upstreams have some words. */
const maxLineBytes = 1024;
/** Interim responses before the final one, which need not be read for ever. */
const maxInterimResponses = 16;
const lineFeed = 0x0A;
const validLine = /^HTTP\/1\.[01] (?<status>[1-5]\d\d)(?: [\t\u0020-\u007E\u0080-\u00FF]*)?\r?$/v;

/** Whether a number is the status of a final response. */
export function isFinalStatus(status: number): boolean {
	return Number.isInteger(status) && status >= 200 && status <= 599;
}

/**
Checks the status lines of the responses on a connection, since the parser of Node.js accepts statuses up to 999, other protocols
and versions, and control characters.
*/
export class StatusLineChecker {
	/** `line` within a status line, `interim` within the headers of an interim response. */
	private state: 'idle' | 'line' | 'interim' = 'idle';
	private line = '';
	private interimResponses = 0;
	/** Whether the current line of an interim response is empty so far. */
	private isEmptyLine = true;

	/** Expects the response to the next request. */
	expectResponse(): void {
		this.state = 'line';
		this.line = '';
		this.interimResponses = 0;
	}

	/** Takes the next bytes of the connection. Returns false if they are no valid status line. */
	feed(bytes: Uint8Array): boolean {
		let from = 0;
		while (this.state !== 'idle' && from < bytes.length) {
			const found = bytes.indexOf(lineFeed, from);
			const end = found === -1 ? bytes.length : found;
			if (!this.takePart(bytes.subarray(from, end), found !== -1)) {
				return false;
			}

			from = end + 1;
		}

		return true;
	}

	private takePart(part: Uint8Array, isEndOfLine: boolean): boolean {
		if (this.state === 'interim') {
			this.isEmptyLine &&= part.every(byte => byte === 0x0D);
			if (isEndOfLine) {
				this.state = this.isEmptyLine ? 'line' : 'interim';
				this.isEmptyLine = true;
			}

			return true;
		}

		this.line += Buffer.from(part).toString('latin1', 0, maxLineBytes + 1);
		if (this.line.length > maxLineBytes) {
			return false;
		}

		return !isEndOfLine || this.takeLine();
	}

	private takeLine(): boolean {
		const status = Number(validLine.exec(this.line)?.groups?.status);
		this.line = '';
		if (Number.isNaN(status)) {
			return false;
		}

		if (isFinalStatus(status)) {
			this.state = 'idle';
			return true;
		}

		this.state = 'interim';
		this.isEmptyLine = true;
		this.interimResponses += 1;
		return this.interimResponses <= maxInterimResponses;
	}
}
