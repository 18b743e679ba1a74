import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Daemon} from '../stand-ins/daemon.js';
import {endWith, isCalm} from '../stand-ins/end.js';
import {Engine} from '../stand-ins/engine.js';
import {Recorder} from '../stand-ins/recorder.js';
import {Store} from '../stand-ins/store.js';
import {configuration, readResults, submit} from '../stand-ins/trainer.js';

const heartbeatMs = 1200;
const contactMs = 4000;
const deadlineMs = 20_000;
/** LOST: an item may be at no worker for this long in steady state. */
const maxAbsenceMs = 5000;
const shape = {groups: 200, size: 1, prefix: 'item'};
const events = 30;
const slots = 16;
/** Places of the worker that comes with the release. */
const newSlots = 64;

const recorder = new Recorder(path.join('review', '5', 'record.txt'));
const store = new Store();
const daemons: Daemon[] = [];
let engines: Engine[] = [];
let heartbeats: NodeJS.Timeout | undefined;
let areRejectedCounted = false;

function createEngine(id: string, places: number): Engine {
	return new Engine({
		id, zone: 'west-a', slots: places, eventMs: 100, events,
		onRun(item, what) {
			recorder.add(id, `${item}: ${what}`);
		},
	});
}

async function writeEntries(): Promise<void> {
	for (const engine of engines) {
		await store.write('servers', engine.options.id, engine.entry());
	}
}

/** Planned work: one of the two workers is replaced. The new one starts first, the old one drains. */
async function release(): Promise<void> {
	const [, old] = engines as [Engine, Engine];
	const next = createEngine('worker-3', newSlots);
	await next.listen();
	engines.push(next);
	await writeEntries();
	recorder.add('platform', `worker-3 starts with ${newSlots} places`);
	await sleep(1000);
	old.state = 'draining';
	await writeEntries();
	recorder.add('platform', 'worker-2 reports draining');
	await sleep(4000);
	engines = engines.filter(engine => engine !== old);
	await store.remove('servers', old.options.id);
	old.close();
	recorder.add('platform', 'worker-2 has left');
}

async function run(): Promise<readonly string[]> {
	const address = await store.listen();
	store.onRejected = entries => {
		if (!areRejectedCounted) {
			recorder.add('store', `rejects a transaction with ${entries} entries; a call holds at most 100 (written once)`);
			areRejectedCounted = true;
		}
	};

	await store.write('op', 'config', configuration({deadlineMs}));
	engines = [createEngine('worker-1', slots), createEngine('worker-2', slots)];
	for (const engine of engines) {
		await engine.listen();
	}

	await writeEntries();
	heartbeats = setInterval(() => {
		void writeEntries();
	}, heartbeatMs);
	for (const vm of ['edge-1', 'edge-2', 'edge-3']) {
		daemons.push(await Daemon.start({
			vm, zone: 'west-a', zones: {'west-a': 'west'}, store: address,
		}));
	}

	const areReady = await Promise.all(daemons.map(async daemon => daemon.becomesReady()));
	if (areReady.includes(false)) {
		throw new Error('a daemon does not become ready');
	}

	await (isCalm ? sleep(5000) : release());
	await sleep(contactMs);
	const addresses = daemons.map(({callers}) => callers);
	const submittedAt = performance.now();
	recorder.add('trainer', `submits step-1: ${await submit(addresses, 'step-1', shape)}`);
	const places = engines.reduce((sum, {options}) => sum + options.slots, 0);
	const samples: Array<Readonly<{at: number; running: number}>> = [];
	const sampler = setInterval(() => {
		samples.push({at: performance.now(), running: engines.reduce((sum, engine) => sum + engine.running, 0)});
	}, 100);
	const {results} = await readResults(addresses, 'step-1', {
		untilMs: submittedAt + deadlineMs + 1500,
		onResult({id, state}) {
			recorder.add('trainer', `reads ${id} ${state}`);
		},
	});
	clearInterval(sampler);
	const endAt = performance.now();
	const most = Math.max(...samples.filter(({at}) => at > endAt - maxAbsenceMs).map(({running}) => running));
	recorder.add('trainer', `the step is over: ${results.length} of ${shape.groups} items are listed; in its last 5 s at most ${most} of ${places} places were taken`);
	const listed = new Set(results.map(({id}) => id));
	const idle = Array.from({length: shape.groups}, (_, index) => `${shape.prefix}-${index}`)
		.filter(id => !listed.has(id) && engines.every(engine => !engine.begun.has(id)));
	const hasBegun = engines.some(engine => engine.begun.size > 0);
	return hasBegun && most < places / 2 && idle.length > 0
		? [`LOST: ${idle.length} items were at no worker in the ${Math.round((endAt - submittedAt) / 1000)} s of their step, at most ${most} of ${places} places were taken in its last 5 s`]
		: [];
}

void endWith(recorder, run, async () => {
	clearInterval(heartbeats);
	await Promise.all(daemons.map(async daemon => daemon.close()));
	store.close();
});
