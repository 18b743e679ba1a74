import {SettingsError} from '@cicadapost/settings';
import {CommandError} from './command-error.js';
import {exitCodes} from './exit-codes.js';

/** An invalid command line, as reported by yargs. */
export class UsageError extends Error {}

function exitCodeOf(err: unknown): number {
	if (err instanceof UsageError) {
		return exitCodes.usage;
	}

	if (err instanceof SettingsError) {
		return exitCodes.invalidSettings;
	}

	return err instanceof CommandError ? err.exitCode : exitCodes.failure;
}

/** Prints why the program ends, and sets its exit code. */
export function endProgram(err: unknown): void {
	process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
	process.exitCode = exitCodeOf(err);
}

/** Output to a pipe that its reader, such as "head", has closed must not make a daemon or a query fail. */
export function ignoreClosedOutput(): void {
	process.stdout.on('error', (err: NodeJS.ErrnoException) => {
		if (err.code !== 'EPIPE') {
			throw err;
		}
	});
}
