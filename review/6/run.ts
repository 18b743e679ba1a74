/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- Names are those of the wire, and what comes over it has no types. */
/**
A machine is added and takes over a worker. Some steps later a trainer submits a step with one long item in each group, while
nothing is wrong and the workers are nearly empty. With TROUBLE=0 no machine is added.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../harness-2/engine.js';
import {
	call, configuration, Daemon, hasTrouble, host, runCase, Store,
} from '../harness-2/platform.js';

const slots = 16;
/** Workers differ in speed, and the more requests run, the more slowly each token is made. */
const eventMs = {'engine-1': 40, 'engine-2': 33};
const slowerPerRun = 0.03;
const tokensPerEvent = 44;
const shortEvents = 24;
/** The longest text of the deployment's sheet. */
const longEvents = 176;
/** The trainer gives up a step after this time. The results are due earlier. */
const giveUpMs = 12_000;
const dueMs = 7500;
/** An item must not be at no worker for longer while nothing is wrong. */
const maxIdleMs = 5000;
/** A run that its sender ends sooner does not count. */
const minRunMs = 1000;

/** A step with one group for each entry of `groups`, which lists the events of its items. */
function submission(step, groups) {
	return JSON.stringify({
		step,
		model: 'm0',
		min_version: 1,
		target_groups: groups.length,
		requests: groups.flatMap((items, group) => items.map((events, item) => ({
			id: `s${step}-g${group}-i${item}-${events}`,
			path: `/draft/${step}/${group}/${item}`,
			headers: {'X-Model': 'm0', 'X-Token-Counts': `1016,${events * tokensPerEvent}`, 'X-Length-Hint': String(events * tokensPerEvent)},
			body: Buffer.from(`prompt ${step} ${group} ${item}`).toString('base64'),
			tokens: 1016 + (events * tokensPerEvent),
			group: `s${step}-g${group}`,
		}))),
	});
}

await runCase(process.argv[2], async ({journal, onEnd}) => {
	const store = new Store();
	await store.listen();
	onEnd(() => {
		store.close();
	});
	store.put('op', 'config', configuration(3, {
		routes: [{
			name: 'draft', host, prefix: '/draft/', kind: 'rollout', timeout_ms: 10_000, target_latency_ms: 400, service: 'lm', max_attempts: 3, max_queue_s: 40, deadline_ms: dueMs,
		}],
		services: [{
			name: 'lm', health_path: '/health', max_conns: 160, engine: {models: [{name: 'm0'}]},
		}],
	}));
	/** Runs of each item: when they began and ended. */
	const runs = new Map();
	const engines = await Promise.all(Object.entries(eventMs).map(async ([id, ms]) => {
		const engine = new Engine({
			id, slots, events: item => Number(item.split('-').at(-1)), eventMs: running => ms * (1 + (slowerPerRun * (running - 1))),
		});
		await engine.listen();
		engine.onRun = ({id: item, ended}) => {
			const run = {engine: id, from: performance.now(), to: undefined};
			runs.set(item, [...runs.get(item) ?? [], run]);
			ended(() => {
				run.to = performance.now();
			});
		};

		store.put('servers', id, engine.entry());
		onEnd(() => {
			engine.close();
		});
		return engine;
	}));
	const daemons = [];
	onEnd(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
	});
	const add = async vm => {
		const daemon = await Daemon.start({vm, store: store.address});
		daemons.push(daemon);
		await daemon.ready();
		journal.add(`${vm} is ready`);
	};

	/** Submits a step and reads its results. Returns the ids of the listed items when all are there or the trainer gives up. */
	const play = async (step, groups) => {
		const from = performance.now();
		const total = groups.flat().length;
		const listed = [];
		const answer = await call({
			port: daemons[step % daemons.length].callers, path: `/draft/${step}`, headers: {Host: host, 'X-Attempt-Id': `step-${step}`}, body: submission(step, groups),
		});
		journal.add(`step ${step} with ${total} items: ${answer.status}`);
		while (listed.length < total && performance.now() - from < giveUpMs) {
			const page = await call({
				port: daemons[0].callers, method: 'GET', path: `/cicadapost/lots/step-${step}?after=${listed.length}`, headers: {Host: host, 'X-Wait-Ms': '500'},
			});
			if (page.status === 200) {
				listed.push(...JSON.parse(page.body.toString('utf8')).results.map(({id}) => id));
			}

			await sleep(300);
		}

		const ofStep = [...runs].filter(([item]) => item.startsWith(`s${step}-`));
		const byWorker = engines.map(({id}) => ofStep.filter(([, all]) => all.some(run => run.engine === id)).length);
		journal.add(`step ${step}: ${listed.length} of ${total} results after ${Math.round(performance.now() - from)} ms; items begun by each worker: ${byWorker.join(', ')}`);
		return listed;
	};

	await add('entry-1');
	await sleep(3000);
	let step = 0;
	for (; step < 9; step++) {
		await play(step, [[shortEvents]]);
	}

	if (hasTrouble) {
		await add('entry-2');
	}

	await sleep(4000);
	for (; step < 13; step++) {
		await play(step, Array.from({length: 4}, () => Array.from({length: 8}, () => shortEvents)));
	}

	// Longer than `contact_ms`: nothing has been wrong or changed for some seconds.
	await sleep(5000);
	const from = performance.now();
	const listed = await play(step, Array.from({length: 4}, () => [longEvents, shortEvents, shortEvents, shortEvents]));
	const until = performance.now();
	const idle = [];
	for (let group = 0; group < 4; group++) {
		const item = `s${step}-g${group}-i0-${longEvents}`;
		const counted = (runs.get(item) ?? []).find(run => (run.to ?? until) - run.from >= minRunMs);
		const first = counted?.from ?? until;
		journal.add(`${item}: ${listed.includes(item) ? 'listed' : 'not listed'}, ${runs.get(item)?.length ?? 0} runs, at no worker for ${Math.round(first - from)} ms`);
		if (!listed.includes(item) && first - from > maxIdleMs) {
			idle.push(item);
		}
	}

	journal.add(`short items listed: ${listed.filter(id => id.endsWith(`-${shortEvents}`)).length} of 12`);
	return idle.length === 0 ? [] : [`the step ran out of time with ${idle.length} items that had been at no worker for over ${maxIdleMs} ms (${idle.join(', ')})`];
});
process.exit(2);
