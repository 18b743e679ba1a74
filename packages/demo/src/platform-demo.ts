/** Runs `cicadapost entry` against stand-ins for the platform: four daemons, four engines, two plain services, callers and a trainer. Disrupts them with a killed daemon, a store outage and a new weight version. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	EntryProcess, findResultFaults, readAllResults, standInConfiguration, standInModel, StandInEngine, StandInService, StandInStore, submission, tryCall,
} from '@cicadapost/platform-adapter/testing';

const dataCentres = ['west-a', 'west-b'] as const;
const eventsPerSample = 40;
const groups = 4;
const samplesPerGroup = 4;
const steps = 4;
const callIntervalMs = 60;
/** Time limit of a call, including all its attempts. */
const callTimeoutMs = 4000;

type CallStatistics = {calls: number; lost: number; attempts: number; latencies: number[]};

class DemoDeployment {
	readonly store = new StandInStore();
	readonly engines: StandInEngine[] = [];
	readonly entries: EntryProcess[] = [];
	private readonly services: StandInService[] = [];

	async start(): Promise<void> {
		const storeAddress = await this.store.listen();
		await this.store.write('op', 'config', standInConfiguration(1));
		for (const dataCentre of dataCentres) {
			const service = new StandInService({
				id: `desk-${dataCentre}`, service: 'desk', dataCentre, workMs: 15,
			});
			this.services.push(service);
			await service.listen();
			await this.store.write('servers', service.options.id, service.entry());
			for (const index of [1, 2]) {
				const engine = new StandInEngine({
					id: `engine-${dataCentre}-${index}`, service: 'lm', model: standInModel, dataCentre, slots: 8, eventMs: 25, events: eventsPerSample,
				});
				this.engines.push(engine);
				await engine.listen();
				await this.store.write('servers', engine.options.id, engine.entry());
				this.entries.push(await EntryProcess.start({
					vm: `entry-${dataCentre}-${index}`, dataCentre, store: storeAddress, orderSilenceMs: 300,
				}));
			}
		}

		for (const entry of this.entries) {
			while (!await entry.isReady()) {
				await sleep(100);
			}
		}
	}

	/** Announces a weight version, waits up to 8 s until all engines have loaded it, and then writes the version of each engine to the server list. */
	async announceVersion(version: number): Promise<void> {
		await this.store.write('op', `version/${standInModel}`, {model: standInModel, version});
		const deadline = performance.now() + 8000;
		while (performance.now() < deadline && !this.engines.every(engine => engine.version === version)) {
			await sleep(50);
		}

		for (const engine of this.engines) {
			await this.store.write('servers', engine.options.id, engine.entry());
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.close()));
		for (const standIn of [this.store, ...this.services, ...this.engines]) {
			standIn.close();
		}
	}
}

function log(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Sends one call and retries it at the next daemon after a failure or rejection, as a load balancer in front of the daemons would. */
async function callService(entries: readonly EntryProcess[], index: number, statistics: CallStatistics): Promise<void> {
	const startedAt = performance.now();
	statistics.calls++;
	for (let attempt = 0; performance.now() - startedAt < callTimeoutMs; attempt++) {
		statistics.attempts++;
		const entry = entries[(index + attempt) % entries.length]!;
		const reply = await tryCall(entry.url, 'POST', `/desk/${index}`, {id: `call-${index}-${attempt}`, deadlineMs: 1500, body: 'x'});
		if (reply?.status === 200) {
			statistics.latencies.push(performance.now() - startedAt);
			return;
		}

		await sleep(Number(reply?.retryAfter ?? 0.05) * 1000);
	}

	statistics.lost++;
}

async function callContinuously(isDone: () => boolean, entries: readonly EntryProcess[]): Promise<CallStatistics> {
	const statistics: CallStatistics = {
		calls: 0, lost: 0, attempts: 0, latencies: [],
	};
	const calls: Array<Promise<void>> = [];
	for (let index = 0; !isDone(); index++) {
		calls.push(callService(entries, index, statistics));
		await sleep(callIntervalMs);
	}

	await Promise.all(calls);
	return statistics;
}

/** Submits a batch to the daemons in turn until one accepts it, then checks all results and returns their faults. */
async function runStep(entries: readonly EntryProcess[], step: number, minVersion: number): Promise<string[]> {
	const id = `step-${step}`;
	const body = submission(groups, samplesPerGroup, {step, minVersion, hasRewards: true});
	const startedAt = performance.now();
	for (let attempt = 0; ; attempt++) {
		const reply = await tryCall(entries[attempt % entries.length]!.url, 'POST', '/draft/', {id, body});
		if (reply?.status === 202) {
			break;
		}

		await sleep(Number(reply?.retryAfter ?? 0.1) * 1000);
	}

	const results = await readAllResults(entries.map(entry => entry.url), id);
	const faults = findResultFaults(results, {count: groups * samplesPerGroup, events: eventsPerSample, hasRewards: true});
	const versions = [...new Set(results.flatMap(result => result.versions))].sort((a, b) => a - b).join(',');
	log(`step ${step}: ${results.length} complete samples with scores in ${((performance.now() - startedAt) / 1000).toFixed(1)} s, versions ${versions}, ${faults.length} faults`);
	return faults;
}

/** Runs the whole demo. Rejects if a call was lost or a result is wrong. */
export async function runPlatformDemo(): Promise<void> {
	const deployment = new DemoDeployment();
	try {
		await deployment.start();
		const {entries, store} = deployment;
		log(`${entries.length} daemons and ${deployment.engines.length} engines in ${dataCentres.length} data centres are ready`);
		let isDone = false;
		const callStatistics = callContinuously(() => isDone, entries);
		const disruptions: ReadonlyArray<() => Promise<void>> = [
			async () => undefined,
			async () => {
				entries.find(entry => entry.logLines.some(line => line.event === 'claim'))?.signal('SIGKILL');
				log('killed a daemon that is running samples');
			},
			async () => {
				store.rows.fault = 'down';
				await sleep(1500);
				store.rows.fault = 'none';
				log('the store was unavailable for 1.5 s');
			},
			async () => {
				await deployment.announceVersion(2);
				log('announced version 2; all engines have loaded it');
			},
		];
		const faults: string[] = [];
		for (let step = 0; step < steps; step++) {
			const stepFaults = runStep(entries, step, 1);
			await sleep(400);
			await disruptions[step]?.();
			faults.push(...await stepFaults);
		}

		isDone = true;
		const {calls, lost, attempts, latencies} = await callStatistics;
		const sorted = latencies.toSorted((a, b) => a - b);
		const percentile = (share: number) => Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0);
		log(`${calls} calls in ${attempts} attempts: ${lost} lost, p50 ${percentile(0.5)} ms, p99 ${percentile(0.99)} ms, max ${percentile(1)} ms`);
		if (lost > 0 || faults.length > 0) {
			throw new Error([`${lost} calls received no successful response`, ...faults].join('\n'));
		}
	} finally {
		await deployment.close();
	}
}
