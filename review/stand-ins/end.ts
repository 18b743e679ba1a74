import type {Recorder} from './recorder.js';

/** Whether the disruption of the case is left out. */
export const isCalm = process.env.TROUBLE === '0';

/** Time limit of a script, in milliseconds. */
const limitMs = 110_000;

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function endWith(recorder: Recorder, run: () => Promise<readonly string[]>, cleanUp: () => Promise<void>): Promise<void> {
	const timer = setTimeout(() => {
		void finish(2, 'the case took too long');
	}, limitMs);
	const finish = async (code: number, line: string) => {
		clearTimeout(timer);
		recorder.add('verdict', line);
		recorder.save();
		console.log(line);
		await cleanUp();
		process.exit(code);
	};

	try {
		const faults = await run();
		await (faults.length > 0 ? finish(1, `broken: ${faults.join('; ')}`) : finish(0, 'held'));
	} catch (err) {
		await finish(2, `could not run: ${err instanceof Error ? err.message : String(err)}`);
	}
}
