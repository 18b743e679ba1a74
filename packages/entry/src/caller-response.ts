import type {ServerResponse} from 'node:http';
import {UnreadOutput, type UnreadResponse} from '@cicadapost/byte-budget';
import {ResponseReceiver, type ForwardFailure} from '@cicadapost/forwarding';

/** Ends a response such that the caller can't take it for complete. One without a length or chunks, as in HTTP/1.0, would be if its connection were closed. */
export function breakOff(res: ServerResponse): void {
	if (res.chunkedEncoding || res.hasHeader('content-length')) {
		res.destroy();
	} else {
		res.socket?.resetAndDestroy();
	}
}

/** Writes an upstream's response to the caller. */
export class CallerResponseReceiver extends ResponseReceiver implements UnreadResponse {
	constructor(
		private readonly res: ServerResponse,
		private readonly onFail: (failure: ForwardFailure) => void,
		private readonly unread = new UnreadOutput(),
	) {
		super();
		res.on('drain', () => {
			unread.update(this);
		});
		res.once('close', () => {
			unread.remove(this);
		});
	}

	get writableLength(): number {
		return this.res.writableLength;
	}

	get peer(): string | undefined {
		return this.res.socket?.remoteAddress;
	}

	breakOff(): void {
		breakOff(this.res);
	}

	override head(status: number, headers: readonly string[]): void {
		const {res} = this;
		for (const name of res.getHeaderNames()) {
			// Send headers that were set earlier, such as Connection, in addition to those of the upstream.
			headers = [...headers, name, String(res.getHeader(name))];
		}

		res.writeHead(status, [...headers]);
	}

	override data(chunk: Uint8Array): void {
		if (!this.res.write(chunk)) {
			this.unread.update(this);
		}
	}

	override end(): void {
		this.res.end();
	}

	override truncate(): void {
		breakOff(this.res);
	}

	override fail(failure: ForwardFailure): void {
		this.onFail(failure);
	}
}
