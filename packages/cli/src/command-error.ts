import {exitCodes} from './exit-codes.js';

/** Thrown when a command fails. The message includes a remedy. */
export class CommandError extends Error {
	constructor(message: string, readonly exitCode: number = exitCodes.failure) {
		super(message);
		this.name = 'CommandError';
	}
}
