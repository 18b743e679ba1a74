import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Daemon} from '../stand-ins/daemon.js';
import {endWith, isCalm} from '../stand-ins/end.js';
import {Engine, wholeOutput} from '../stand-ins/engine.js';
import {Recorder} from '../stand-ins/recorder.js';
import {Store, type WireTransaction} from '../stand-ins/store.js';
import {configuration, readResults, submit} from '../stand-ins/trainer.js';

const heartbeatMs = 1200;
const contactMs = 4000;
/** The dose of `platform_lost` in the site file: 0.35 of the writes for 4.5 s. Here only writes to the table of the batches lose their answers. */
const lostShare = 0.35;
const lostForMs = 4500;
const lostFromMs = 500;
/** The worker reports that it drains this long after an answer to a claim for it was lost, and at the latest `latestLeaveMs` after the loss began. */
const leavesAfterClaimMs = 300;
const latestLeaveMs = 3000;
/** Time of the step, from its submission. */
const deadlineMs = 20_000;
/** LOST: an item may be at no worker for this long in steady state. */
const maxAbsenceMs = 5000;
const events = 20;
const shape = {groups: 20, size: 8, prefix: 'item'};
/** One of seven workers is taken away, which is a share of 0.143. */
const workerCount = 7;
const daemonCount = 8;

const recorder = new Recorder(path.join('review', '1', 'record.txt'));
const store = new Store();
const zones = {'west-a': 'west'};
const daemons: Daemon[] = [];
const engines = Array.from({length: workerCount}, (_, index) => `worker-${index + 1}`).map(id => new Engine({
	id, zone: 'west-a', slots: 4, eventMs: 50, events,
	onRun(item, what) {
		recorder.add(id, `${item}: ${what}`);
	},
}));
const leaving = engines.at(-1)!;
const remaining = engines.filter(engine => engine !== leaving);
let areAnswersLost = false;
let hasLeft = false;
let heartbeats: NodeJS.Timeout | undefined;

/** The worker whose claim a transaction makes, if it makes one. */
function claimedWorker({set_keys: writes}: WireTransaction): string | undefined {
	const claims = writes.filter(({table, key}) => table === 'batches' && key.startsWith('claim/')).map(({value}) => Buffer.from(value ?? '', 'base64').toString('latin1'));
	return engines.find(({options: {id}}) => writes.length === claims.length && claims.some(claim => claim.includes(id)))?.options.id;
}

async function writeEntries(): Promise<void> {
	for (const engine of engines.filter(candidate => candidate !== leaving || !hasLeft)) {
		await store.write('servers', engine.options.id, engine.entry());
	}
}

/** Planned work: a worker reports that it drains, serves on, and exits. */
async function scaleIn(): Promise<void> {
	leaving.state = 'draining';
	await writeEntries();
	recorder.add('platform', `${leaving.options.id} reports draining`);
	await sleep(4000);
	hasLeft = true;
	await store.remove('servers', leaving.options.id);
	leaving.close();
	recorder.add('platform', `${leaving.options.id} has left`);
}

async function run(): Promise<readonly string[]> {
	const address = await store.listen();
	await store.write('op', 'config', configuration({deadlineMs}));
	for (const engine of engines) {
		await engine.listen();
	}

	await writeEntries();
	heartbeats = setInterval(() => {
		void writeEntries();
	}, heartbeatMs);
	for (let index = 1; index <= daemonCount; index++) {
		daemons.push(await Daemon.start({
			vm: `edge-${index}`, zone: 'west-a', zones, store: address,
		}));
	}

	const areReady = await Promise.all(daemons.map(async daemon => daemon.becomesReady()));
	if (areReady.includes(false)) {
		throw new Error('a daemon does not become ready');
	}

	await sleep(3000);
	let onClaimLost: () => void = () => undefined;
	const claimLost = new Promise<void>(resolve => {
		onClaimLost = resolve;
	});
	store.losesAnswer = ({set_keys: writes}) => areAnswersLost && writes.some(({table}) => table === 'batches') && Math.random() < lostShare;
	store.onCommitted = (transaction, isLost) => {
		if (isLost) {
			const worker = claimedWorker(transaction);
			if (worker === leaving.options.id) {
				onClaimLost();
			}

			recorder.add('store', `answer lost: ${transaction.set_keys.map(({table, key}) => `${table}/${key}`).join(' ')}${worker === undefined ? '' : `, a claim for ${worker}`}`);
		}
	};

	const addresses = daemons.map(({callers}) => callers);
	const submittedAt = performance.now();
	recorder.add('trainer', `submits step-1: ${await submit(addresses, 'step-1', shape)}`);
	await sleep(lostFromMs);
	areAnswersLost = !isCalm;
	recorder.add('store', isCalm ? 'no answers are lost' : 'answers are lost from now on');
	setTimeout(() => {
		areAnswersLost = false;
		recorder.add('store', 'no more answers are lost');
	}, lostForMs);
	const leaves = (async () => {
		await Promise.race([claimLost, sleep(latestLeaveMs)]);
		await sleep(leavesAfterClaimMs);
		await scaleIn();
	})();
	const {results} = await readResults(addresses, 'step-1', {
		untilMs: submittedAt + deadlineMs + 1500,
		onResult({id, state}) {
			recorder.add('trainer', `reads ${id} ${state}`);
		},
	});
	await leaves;
	return judge(results.map(({id, output}) => ({id, output})), submittedAt);
}

/** LOST as RULES.md has it, for the end of the step. */
function judge(results: ReadonlyArray<Readonly<{id: string; output: string}>>, submittedAt: number): string[] {
	const endAt = performance.now();
	const steadyFrom = submittedAt + lostFromMs + lostForMs + contactMs;
	const listed = new Map(results.map(({id, output}) => [id, output]));
	const running = remaining.reduce((sum, engine) => sum + engine.running, 0);
	const isHalfFull = running >= remaining.reduce((sum, engine) => sum + engine.options.slots, 0) / 2;
	const faults: string[] = [];
	for (let index = 0; index < shape.groups * shape.size; index++) {
		const id = `${shape.prefix}-${index}`;
		const output = listed.get(id);
		const wasFinished = engines.some(engine => engine.finished.has(id));
		const absentSince = Math.max(steadyFrom, ...engines.map(engine => engine.lastSeen.get(id) ?? 0));
		if (output !== undefined && output !== wholeOutput(id, events)) {
			throw new Error(`${id} has another output than its worker made`);
		}

		if (output === undefined && !wasFinished && !isHalfFull && endAt - absentSince > maxAbsenceMs) {
			faults.push(`LOST: ${id}, which no worker has finished, was at no worker for ${Math.round(endAt - absentSince)} ms of steady state`);
		}
	}

	recorder.add('trainer', `the step is over: ${listed.size} of ${shape.groups * shape.size} items are listed, ${running} run`);
	return faults;
}

void endWith(recorder, run, async () => {
	clearInterval(heartbeats);
	await Promise.all(daemons.map(async daemon => daemon.close()));
	store.close();
});
