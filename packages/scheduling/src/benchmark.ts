/**
Measures the time per scheduling decision with 16 upstreams and 1,000 waiting requests.
Run it with `node --import tsx packages/scheduling/src/benchmark.ts`.
*/

import process from 'node:process';
import {
	id, type AttemptId, type DaemonId, type Fingerprint, type MemberId, type PoolId, type RequestId, type ShardId, type UpstreamId,
} from '@cicadapost/types';
import type {SchedulerEvent} from './events.js';
import {decideScheduling} from './scheduler.js';
import {createScheduler, waitingCount} from './scheduler-state.js';

const upstreams = 16;
const window = 32;
const waitingRequests = 1000;
const members = 20;
const warmUpDecisions = 20_000;
const measuredDecisions = 200_000;
/** A shard of this size serves about 200 requests per second, so one tick every 50 ms is one tick per 20 decisions. */
const decisionsPerTick = 20;

const state = createScheduler();
const running: Array<Readonly<{attempt: AttemptId; startedAt: number}>> = [];
const times: number[] = [];
let now = 0;
let count = 0;
let isMeasuring = false;
const entry = id<DaemonId>('entry');
const shard = id<ShardId>('dc/pool/0');

function send(event: SchedulerEvent): void {
	const startedAt = process.hrtime.bigint();
	const {actions} = decideScheduling(state, event, now);
	const micros = Number(process.hrtime.bigint() - startedAt) / 1000;
	if (isMeasuring) {
		times.push(micros);
	}

	for (const action of actions) {
		if (action.kind === 'grant') {
			running.push({attempt: action.attempt, startedAt: now});
		}
	}
}

function ask(): void {
	count++;
	const name = `attempt-${count}`;
	send({
		kind: 'acquire', from: entry, acquire: {
			kind: 'acquire',
			attempt: id<AttemptId>(name),
			shard,
			remainingMs: 3_600_000,
			avoid: [],
			request: {
				requestId: id<RequestId>(name),
				member: id<MemberId>(`member-${count % members}`),
				requestClass: count % 3 === 0 ? 'training' : 'live',
				pool: id<PoolId>('pool'),
				promptTokens: 100,
				maxTokens: 100,
				idempotent: true,
				fingerprint: id<Fingerprint>(`fingerprint-${Math.floor(count / 4)}`),
				prefixKey: `prefix-${count % 97}`,
			},
		},
	});
}

/** Finishes the attempt that has been running the longest. */
function endOne(): void {
	const {attempt, startedAt} = running.shift()!;
	const firstTokenMs = Math.min(20, now - startedAt);
	send({
		kind: 'release', release: {
			kind: 'release', attempt, shard, result: 'finished', tokens: 50 + (count % 50), firstTokenMs, generationMs: now - startedAt - firstTokenMs,
		},
	});
}

send({
	kind: 'upstreams-changed',
	upstreams: Array.from({length: upstreams}, (_, index) => ({
		upstream: id<UpstreamId>(`upstream-${index}`), leaving: false, initialWindow: window, maxWindow: window,
	})),
});
while (waitingCount(state) < waitingRequests) {
	ask();
}

for (let decisions = 0; decisions < warmUpDecisions + measuredDecisions; decisions += 2) {
	isMeasuring = decisions >= warmUpDecisions;
	now += 5;
	endOne();
	while (waitingCount(state) < waitingRequests) {
		ask();
	}

	if (decisions % decisionsPerTick === 0) {
		send({kind: 'tick'});
	}
}

const sorted = times.toSorted((a, b) => a - b);
const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
process.stdout.write(`${JSON.stringify({
	upstreams,
	waiting: waitingCount(state),
	running: state.running.size,
	decisions: times.length,
	meanMicros: Number(mean.toFixed(2)),
	p50Micros: Number(sorted[Math.floor(times.length * 0.5)]!.toFixed(2)),
	p99Micros: Number(sorted[Math.floor(times.length * 0.99)]!.toFixed(2)),
})}\n`);
