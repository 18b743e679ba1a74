import {createLogger as createBunyan, type LogLevelString} from 'bunyan';
import type Logger from 'bunyan';

export type LoggerOptions = Readonly<{
	daemon: string;
	dataCentre: string;
	level?: LogLevelString;
}>;

/** A logger that writes JSON lines to standard output. */
export function createLogger(options: LoggerOptions): Logger {
	return createBunyan({
		name: 'cicadapost', daemon: options.daemon, dataCentre: options.dataCentre, level: options.level ?? 'info', stream: process.stdout,
	});
}

export {default as Logger} from 'bunyan';
