import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {type ChildProcesses, type StartedProcess} from './processes.js';
import type {StepReport, TrainerOptions} from './trainer.js';

export type TrainingOptions = Readonly<{daemons: readonly StartedProcess[]; key: string; step: number}>;

const groups = 16;
const samplesPerGroup = 4;
const statusPollIntervalMs = 20;
/** Token offset at which running samples switch to the new weights. */
const firstTokenWithNewWeights = 48;

/** Runs the trainer in a separate process and resolves with its report. */
export async function runTrainer(processes: ChildProcesses, {daemons, key, step}: TrainingOptions): Promise<StepReport> {
	const options: TrainerOptions = {
		urls: daemons.map(daemon => `http://127.0.0.1:${daemon.port}`),
		key,
		step,
		groups,
		samples: samplesPerGroup,
		maxTokens: 96,
		stalenessBound: 1,
		limitMs: 60_000,
	};
	const output = await processes.run(process.execPath, ['--import', 'tsx', 'packages/demo/src/trainer.ts', JSON.stringify(options)]);
	return JSON.parse(output) as StepReport;
}

type Status = Readonly<{steps?: readonly unknown[]}>;

/** Waits until a daemon owns the training step and resolves with the index of this daemon. */
export async function findStepOwner(daemons: readonly StartedProcess[], operatorKey: string): Promise<number> {
	for (;;) {
		for (const [index, daemon] of daemons.entries()) {
			const res = await request(`http://127.0.0.1:${daemon.port}/admin/status`, {headers: {authorization: `Bearer ${operatorKey}`}});
			const status = await res.body.json() as Status;
			if ((status.steps?.length ?? 0) > 0) {
				return index;
			}
		}

		await delay(statusPollIntervalMs);
	}
}

/** Changes the weights of all engines in the middle of running samples. The change fails on the last engine, which keeps the old weights. */
export async function changeWeights(engines: readonly StartedProcess[], version: number): Promise<void> {
	for (const [index, engine] of engines.entries()) {
		await request(`http://127.0.0.1:${engine.port}/control`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({version, fromToken: firstTokenWithNewWeights, failSwap: index === engines.length - 1}),
		});
	}
}

/** Prints the report of the step. Throws if a sample was lost, received twice or too old. */
export function printAndCheckStep(report: StepReport): void {
	process.stdout.write('training step  groups  samples  staleness  versions  duplicates  lost  repeated calls\n');
	process.stdout.write(`${[
		String(report.step).padEnd(13),
		String(report.groups).padStart(7),
		String(report.samples).padStart(8),
		String(report.staleness).padStart(10),
		report.versions.join(',').padStart(9),
		String(report.duplicates).padStart(11),
		String(report.lost).padStart(5),
		String(report.repeats).padStart(15),
	].join(' ')}\n`);
	if (report.duplicates > 0 || report.lost > 0 || report.tooOld > 0) {
		throw new Error(`the trainer received ${report.duplicates} duplicate samples and ${report.tooOld} that were too old; ${report.lost} were lost`);
	}
}
