/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return -- Names are those of the wire, and what comes over it has no types. */
/**
One machine of three gets SIGTERM while requesters go on using the channels that they have open there. Each sends its next request
on its channel after a while, as it does all day. With TROUBLE=0 no machine is stopped.
*/
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	call, configuration, Daemon, hasTrouble, host, runCase, Store,
} from '../harness-2/platform.js';
import {Service} from '../harness-2/service.js';

const graceMs = 8000;
const graceSlackMs = 1000;
/** Requests that were sent no later than this after SIGTERM are not counted if their worker was still at work near the end. */
const excusedMs = 3000;
const workMs = 1000;
const timeoutMs = 5000;
/** Channels that are open at the machine, and the time between the requests on them. */
const channels = 24;
const gapMs = 330;

await runCase(process.argv[2], async ({journal, onEnd}) => {
	const store = new Store();
	await store.listen();
	onEnd(() => {
		store.close();
	});
	store.put('op', 'config', configuration(3, {
		routes: [{
			name: 'desk', host, prefix: '/desk/', kind: 'idempotent', timeout_ms: timeoutMs, target_latency_ms: 2000, service: 'desk', max_attempts: 2,
		}],
		services: [{name: 'desk', health_path: '/health', max_conns: 96}],
	}));
	const services = [];
	for (const id of ['desk-1', 'desk-2', 'desk-3']) {
		const service = new Service({id, workMs});
		await service.listen();
		services.push(service);
		store.put('servers', id, service.entry());
		onEnd(() => {
			service.close();
		});
	}

	const daemons = await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(async vm => Daemon.start({vm, store: store.address, graceSeconds: graceMs / 1000})));
	onEnd(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
	});
	await Promise.all(daemons.map(async daemon => daemon.ready()));
	const [stopped] = daemons;
	const agents = Array.from({length: channels}, () => new Agent({keepAlive: true, maxSockets: 1}));
	const send = async (channel, id) => call({
		port: stopped.callers, path: `/desk/${channel}`, agent: agents[channel], headers: {Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(timeoutMs)}, body: 'query',
	});
	const first = await Promise.all(agents.map(async (_, channel) => send(channel, `first-${channel}`)));
	journal.add(`${first.filter(({status}) => status === 200).length} channels opened`);
	// Longer than `contact_ms`, so that the machine and the store count as calm.
	await sleep(4500);

	const startedAt = performance.now();
	if (hasTrouble) {
		journal.add('entry-1 gets SIGTERM');
		stopped.kill('SIGTERM');
		setTimeout(() => {
			if (stopped.ended === undefined) {
				stopped.kill('SIGKILL');
			}
		}, graceMs).unref();
	}

	const broken = [];
	await Promise.all(agents.map(async (_, channel) => {
		const id = `next-${channel}`;
		await sleep((channel + 0.5) * gapMs);
		const sentAt = performance.now() - startedAt;
		let answer;
		try {
			const {status, headers} = await send(channel, id);
			answer = `status ${status}, connection ${headers.connection}`;
		} catch (err) {
			answer = `no answer: ${err.code ?? err.message}`;
		}

		const endedAt = performance.now() - startedAt;
		const ranAt = services.map(service => service.runs.get(id)).find(at => at !== undefined);
		const run = ranAt === undefined ? 'reached no worker' : `begun by a worker at ${Math.round(ranAt - startedAt)} ms`;
		journal.add(`${id}: sent ${Math.round(sentAt)} ms after the signal, ${run}, ended at ${Math.round(endedAt)} ms: ${answer}`);
		if (answer.startsWith('no answer') && ranAt !== undefined && sentAt > excusedMs && endedAt < graceMs + graceSlackMs && endedAt - sentAt < timeoutMs) {
			broken.push(id);
		}
	}));
	if (stopped.ended !== undefined) {
		journal.add(`entry-1 ended with ${stopped.ended.signal ?? stopped.ended.code} ${Math.round(stopped.ended.at - startedAt)} ms after the signal`);
	}

	return broken.length === 0 ? [] : [`${broken.length} requests were passed on to a worker, and their channels ended without an answer (${broken.join(', ')})`];
});
process.exit(2);
