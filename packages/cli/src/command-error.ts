import {exitCodes} from './exit-codes.js';

/** A command that could not be carried out. Its message names the remedy. */
export class CommandError extends Error {
	constructor(message: string, readonly exitCode: number = exitCodes.failure) {
		super(message);
		this.name = 'CommandError';
	}
}
