import {createLogger as createBunyan, type LogLevelString} from 'bunyan';
import type Logger from 'bunyan';
import {BoundedStream} from './bounded-stream.js';

export type LoggerOptions = Readonly<{
	daemon: string;
	dataCentre: string;
	level?: LogLevelString;
}>;

/** Creates a logger that writes JSON lines to standard output, rate-limited and without blocking on a slow reader. */
export function createLogger(options: LoggerOptions): Logger {
	const stream = new BoundedStream({sink: process.stdout, now: () => performance.now()});
	return createBunyan({
		name: 'cicadapost', daemon: options.daemon, dataCentre: options.dataCentre, level: options.level ?? 'info', streams: [{type: 'stream', stream: stream as unknown as NodeJS.WritableStream}],
	});
}

export {default as Logger} from 'bunyan';
