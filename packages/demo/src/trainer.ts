/** Trainer of the demo: submits the groups of one step, fetches results until it has all groups, and prints a report of what it received. */

import {setTimeout as delay} from 'node:timers/promises';
import {pathToFileURL} from 'node:url';
import {request} from 'undici';

export type TrainerOptions = Readonly<{
	/** Addresses of the daemons; the trainer switches to the next one after a failure. */
	urls: readonly string[];
	key: string;
	step: number;
	groups: number;
	samples: number;
	maxTokens: number;
	stalenessBound: number;
	/** Time limit of the step in milliseconds; samples not received by then count as lost. */
	limitMs: number;
}>;

export type StepReport = Readonly<{
	step: number;
	groups: number;
	samples: number;
	/** Largest staleness of a sample, in weight versions. */
	staleness: number;
	versions: readonly number[];
	duplicates: number;
	lost: number;
	tooOld: number;
	/** Number of times that a call was repeated. */
	repeats: number;
}>;

type Sample = Readonly<{index: number; tokens: number; versions: ReadonlyArray<Readonly<{from: number; to: number; version: number}>>}>;
type FetchResponse = Readonly<{groups: ReadonlyArray<Readonly<{group: number; samples: readonly Sample[]}>>; missing: readonly number[]; durable: boolean}>;

const pollMs = 100;
const callTimeoutMs = 10_000;

class Trainer {
	private readonly receivedGroups = new Set<number>();
	private readonly receivedSamples = new Set<string>();
	private readonly versions = new Set<number>();
	private readonly startedAt = performance.now();
	private currentVersion = 0;
	private duplicates = 0;
	private staleness = 0;
	private tooOld = 0;
	private repeats = 0;
	private urlIndex = 0;
	/** Whether fetches list the received groups. The service relies on this list after a fetch that the store has not recorded (`durable: false`). */
	private sendsReceivedGroups = false;

	constructor(private readonly options: TrainerOptions) {}

	async run(): Promise<StepReport> {
		const {step, groups, samples} = this.options;
		await Promise.all(Array.from({length: groups}, async (_, group) => this.submit(group)));
		for (let fetch = 1; this.receivedGroups.size < groups && !this.isPastLimit(); fetch++) {
			const fetchId = `fetch-${fetch}`;
			await this.fetch(fetchId);
			await this.call('ack', {step, fetchId});
		}

		return {
			step,
			groups: this.receivedGroups.size,
			samples: this.receivedSamples.size,
			staleness: this.staleness,
			versions: [...this.versions].sort((a, b) => a - b),
			duplicates: this.duplicates,
			lost: (groups * samples) - this.receivedSamples.size,
			tooOld: this.tooOld,
			repeats: this.repeats,
		};
	}

	private async submit(group: number): Promise<void> {
		const {step, samples, maxTokens, stalenessBound} = this.options;
		await this.call('groups', {
			step, group, model: 'netmodel', prompt: `judge net ${group} of the slope`, samples, maxTokens, stalenessBound,
		});
	}

	/** Repeats one fetch until it returns groups or the time limit has passed. */
	private async fetch(fetchId: string): Promise<void> {
		const {step, groups} = this.options;
		for (;;) {
			const response = await this.call('fetch', {
				step, fetchId, max: 4, currentVersion: this.currentVersion, submitted: groups, ...(this.sendsReceivedGroups ? {received: [...this.receivedGroups]} : {}),
			});
			if (response === undefined) {
				return;
			}

			const fetched = response as FetchResponse;
			this.sendsReceivedGroups ||= !fetched.durable;
			for (const {group, samples} of fetched.groups) {
				this.recordGroup(group, samples);
			}

			for (const group of fetched.missing) {
				await this.submit(group);
			}

			if (fetched.groups.length > 0) {
				return;
			}

			await delay(pollMs);
		}
	}

	private recordGroup(group: number, samples: readonly Sample[]): void {
		this.receivedGroups.add(group);
		for (const sample of samples) {
			const sampleId = `${group}/${sample.index}`;
			this.duplicates += Number(this.receivedSamples.has(sampleId));
			this.receivedSamples.add(sampleId);
			const versions = sample.versions.map(span => span.version);
			for (const version of versions) {
				this.versions.add(version);
			}

			const age = this.currentVersion - Math.min(...versions);
			this.staleness = Math.max(this.staleness, age);
			this.tooOld += Number(age > this.options.stalenessBound);
		}

		// Takes a weight version as current as soon as a sample was generated with it.
		this.currentVersion = Math.max(this.currentVersion, ...this.versions);
	}

	private isPastLimit(): boolean {
		return performance.now() - this.startedAt > this.options.limitMs;
	}

	/** Repeats a call until a daemon accepts it. Returns undefined once the time limit has passed, and throws if the call is rejected with a status below 500. */
	private async call(path: 'groups' | 'fetch' | 'ack', body: unknown): Promise<unknown> {
		while (!this.isPastLimit()) {
			try {
				const res = await request(`${this.options.urls[this.urlIndex % this.options.urls.length]!}/v1/rollouts/${path}`, {
					method: 'POST',
					headers: {'content-type': 'application/json', authorization: `Bearer ${this.options.key}`},
					body: JSON.stringify(body),
					signal: AbortSignal.timeout(callTimeoutMs),
				});
				const response = await res.body.json() as Readonly<{field?: string; detail?: string}>;
				if (res.statusCode === 200) {
					return response;
				}

				this.sendsReceivedGroups ||= response.field === 'received';
				if (res.statusCode < 500) {
					throw new TypeError(`the service responded with status ${res.statusCode}: ${response.detail ?? ''}`);
				}
			} catch (err) {
				if (err instanceof TypeError) {
					throw err;
				}
				// The daemon was killed; the next one gets the same call.
			}

			this.urlIndex++;
			this.repeats++;
			await delay(pollMs);
		}

		return undefined;
	}
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
	const report = await new Trainer(JSON.parse(process.argv[2] ?? '{}') as TrainerOptions).run();
	process.stdout.write(`${JSON.stringify(report)}\n`);
}
