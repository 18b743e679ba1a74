/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- Names are those of the wire, and what comes over it has no types. */
/**
A trainer submits a step of many small groups, and one of the two workers has many places. With TROUBLE=0 it has some fewer, so that
its claims fit into a call to the store.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../harness-2/engine.js';
import {
	call, configuration, Daemon, hasTrouble, host, runCase, Store,
} from '../harness-2/platform.js';

const places = {'engine-1': hasTrouble ? 64 : 40, 'engine-2': 16};
const events = 24;
const groups = 240;
/** The trainer gives up a step after this time. The results are due earlier. */
const giveUpMs = 12_000;
const dueMs = 7500;
const maxIdleMs = 5000;

await runCase(process.argv[2], async ({journal, onEnd}) => {
	const store = new Store();
	await store.listen();
	onEnd(() => {
		store.close();
	});
	let rejected = 0;
	store.onTooLarge = bytes => {
		rejected += 1;
		if (rejected <= 5) {
			journal.add(`the store rejects a call with too many entries (${bytes} bytes)`);
		}
	};

	store.put('op', 'config', configuration(3, {
		routes: [{
			name: 'draft', host, prefix: '/draft/', kind: 'rollout', timeout_ms: 10_000, target_latency_ms: 400, service: 'lm', max_attempts: 3, max_queue_s: 40, deadline_ms: dueMs,
		}],
		services: [{
			name: 'lm', health_path: '/health', max_conns: 160, engine: {models: [{name: 'm0'}]},
		}],
	}));
	/** When the runs of each item began and ended. */
	const runs = new Map();
	const engines = await Promise.all(Object.entries(places).map(async ([id, slots]) => {
		const engine = new Engine({
			id, slots, events: () => events, eventMs: () => 45,
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
	const daemons = await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(async vm => Daemon.start({vm, store: store.address})));
	onEnd(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
	});
	await Promise.all(daemons.map(async daemon => daemon.ready()));
	// Longer than `contact_ms`.
	await sleep(5000);

	const items = Array.from({length: groups}, (_, group) => `g${group}-i0`);
	const from = performance.now();
	const answer = await call({
		port: daemons[0].callers,
		path: '/draft/step',
		headers: {Host: host, 'X-Attempt-Id': 'step-0'},
		body: JSON.stringify({
			step: 0,
			model: 'm0',
			min_version: 1,
			target_groups: groups,
			requests: items.map(id => ({
				id,
				path: `/draft/0/${id}`,
				headers: {'X-Model': 'm0', 'X-Token-Counts': '1016,1056', 'X-Length-Hint': '1056'},
				body: Buffer.from(`prompt ${id}`).toString('base64'),
				tokens: 2072,
				group: id.split('-')[0],
			})),
		}),
	});
	journal.add(`step with ${items.length} items: ${answer.status}`);
	const listed = [];
	let mostRunning = 0;
	while (listed.length < items.length && performance.now() - from < giveUpMs) {
		const page = await call({
			port: daemons[1].callers, method: 'GET', path: `/cicadapost/lots/step-0?after=${listed.length}`, headers: {Host: host, 'X-Wait-Ms': '500'},
		});
		listed.push(...page.status === 200 ? JSON.parse(page.body.toString('utf8')).results.map(({id}) => id) : []);
		mostRunning = Math.max(mostRunning, engines.reduce((sum, {running}) => sum + running, 0));
		await sleep(200);
	}

	const until = performance.now();
	const idle = items.filter(id => !runs.has(id) && until - from > maxIdleMs);
	const begun = engines.map(({id}) => [...runs.values()].filter(all => all.some(run => run.engine === id)).length);
	const allPlaces = engines.reduce((sum, {slots}) => sum + slots, 0);
	journal.add(`${listed.length} of ${items.length} items listed after ${Math.round(until - from)} ms; items begun by each worker: ${begun.join(', ')}`);
	journal.add(`at most ${mostRunning} of ${allPlaces} places were taken`);
	journal.add(`the store has rejected ${rejected} calls`);
	return idle.length > 0 && mostRunning < allPlaces / 2 ? [`the step ran out of time with ${idle.length} items that had been at no worker for over ${maxIdleMs} ms`] : [];
});
process.exit(2);
