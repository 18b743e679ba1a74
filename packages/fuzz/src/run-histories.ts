import fc from 'fast-check';
import {histories, type HistoryOptions} from './commands.js';
import {Deployment, type DeploymentOptions} from './deployment.js';
import {findViolations} from './oracle.js';

export type FuzzOptions = HistoryOptions & Omit<DeploymentOptions, 'seed'> & Readonly<{
	seed: number;
	runs: number;
	/** Promises to check (default: all). */
	promises?: readonly string[];
	/** Stops at the first counterexample without shrinking it. */
	endsOnFailure?: boolean;
}>;

export type FuzzResult = Readonly<{
	runs: number;
	/** The shrunk history and its violations; undefined if no history violated a promise. */
	counterexample?: string;
	/** Value for `--path` that replays the counterexample. */
	path?: string;
}>;

/** Thrown when a history violates a promise. */
class PromiseViolationError extends Error {}

/** Runs the decision code through random histories and checks each of them. The same seed gives the same result. */
export function runHistories(options: FuzzOptions, path?: string): FuzzResult {
	const property = fc.property(histories(options), fc.nat({max: 1_000_000}), (commands, seed) => {
		const deployment = new Deployment({...options, seed});
		fc.modelRun(() => ({model: {}, real: deployment}), commands);
		deployment.endFaultsAndSettle();
		const violations = findViolations(deployment, options.promises);
		if (violations.length > 0) {
			throw new PromiseViolationError(violations.map(({promise, detail}) => `${promise}: ${detail}`).join('\n'));
		}
	});
	const details = fc.check(property, {
		seed: options.seed, numRuns: options.runs, endOnFailure: options.endsOnFailure ?? false, ...(path === undefined ? {} : {path}),
	});
	if (!details.failed) {
		return {runs: details.numRuns};
	}

	const history = details.counterexample === null ? '' : details.counterexample.map(String).join('\nsimulation seed: ');
	return {
		runs: details.numRuns,
		counterexample: `${history}\n${details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance)}`,
		path: details.counterexamplePath ?? '',
	};
}
