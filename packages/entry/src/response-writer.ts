import type {ServerResponse} from 'node:http';
import type {Millis} from '@cicadapost/types';
import type {CallerProtocol} from './caller-protocol.js';
import {breakOff} from './caller-response.js';

/** Writes the daemon's own responses to callers. */
export class ResponseWriter {
	constructor(private readonly protocol: Pick<CallerProtocol, 'encodeError'>) {}

	/** Answers that the request has not run and when to send it again. */
	refuse(res: ServerResponse, retryAfterMs: Millis, detail: string): void {
		if (!res.headersSent) {
			res.setHeader('Retry-After', String(retryAfterMs / 1000));
		}

		this.fail(res, 503, detail);
	}

	fail(res: ServerResponse, status: number, detail: string): void {
		if (res.writableEnded) {
			return;
		}

		if (res.headersSent) {
			breakOff(res);
			return;
		}

		this.send(res, status, this.protocol.encodeError(detail));
	}

	send(res: ServerResponse, status: number, body: string): void {
		// At the end of the grace period a call is answered before its outcome is known.
		if (res.headersSent) {
			return;
		}

		const bytes = Buffer.from(body);
		res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': bytes.length});
		res.end(bytes);
	}
}
