import type {Observation} from '@cicadapost/fakes';
import type {Deployment, SentJob} from './deployment.js';

/**
A guarantee that a history violated. The oracle checks what callers, upstreams and the store observed.
It shares no code with the daemons: each check is a predicate over the list of observations.
*/
export type Violation = Readonly<{promise: string; detail: string}>;

type Events = readonly Observation[];
type Check = (events: Events, deployment: Deployment) => Violation[];

/** Grace period in which a leaving upstream may still receive new work. */
const leavingGraceMs = 3000;
const maxEnginesLostToOneRequest = 3;

function finalObservations(events: Events, requestId: string): Observation[] {
	return events.filter(event => (event.kind === 'caller-completed' || event.kind === 'caller-failed' || event.kind === 'caller-cut') && event.requestId === requestId);
}

function deliveredText(events: Events, requestId: string): string {
	return events.flatMap(event => (event.kind === 'caller-chunk' && event.requestId === requestId ? [event.chunk.text] : [])).join('');
}

function expectedText(job: SentJob): string {
	return Array.from({length: job.tokens}, (_, offset) => `${job.key}#${offset} `).join('');
}

function sentRequests(deployment: Deployment): Array<Readonly<{job: SentJob; requestId: string}>> {
	return [...deployment.jobs.values()].flatMap(job => job.requestIds.map(requestId => ({job, requestId})));
}

const completeAnswers: Check = (events, deployment) => sentRequests(deployment).flatMap(({job, requestId}) => {
	const text = deliveredText(events, requestId);
	const isCompleted = finalObservations(events, requestId).some(event => event.kind === 'caller-completed');
	const isCorrect = isCompleted && !job.isNonIdempotent ? text === expectedText(job) : expectedText(job).startsWith(text);
	return isCorrect ? [] : [{promise: 'whole answers', detail: `${requestId} (${job.key}) received "${text.slice(0, 200)}"${isCompleted ? ' and completed' : ''}`}];
});

const singleFinalAnswer: Check = (events, deployment) => sentRequests(deployment).flatMap(({requestId}) => {
	const count = finalObservations(events, requestId).length;
	return count === 1 ? [] : [{promise: 'one final answer', detail: `${requestId} received ${count} final answers`}];
});

const accurateNotRun: Check = (events, deployment) => sentRequests(deployment).flatMap(({requestId}) => {
	const isRefused = finalObservations(events, requestId).some(event => event.kind === 'caller-failed' && event.outcome === 'not-run');
	// The id of each attempt, relayed or not, contains the id of its request.
	const receptions = events.filter(event => event.kind === 'upstream-received' && event.attempt.includes(`${requestId}.`)).length;
	return isRefused && receptions > 0 ? [{promise: 'true "not run"', detail: `${requestId} was rejected as not run, but upstreams received it ${receptions} times`}] : [];
});

const atMostOnce: Check = (events, deployment) => [...deployment.jobs.values()].filter(job => job.isNonIdempotent).flatMap(job => {
	const receptions = events.filter(event => event.kind === 'upstream-received' && event.job === job.key).length;
	return receptions > 1 ? [{promise: 'at most once', detail: `${job.key} was received ${receptions} times by upstreams`}] : [];
});

const leavingUpstreams: Check = events => {
	const leavingSince = new Map<string, number>();
	const violations: Violation[] = [];
	for (const event of events) {
		if (event.kind === 'upstream-leaving') {
			leavingSince.set(event.upstream, leavingSince.get(event.upstream) ?? event.at);
		}

		// A restarted engine is in service again, as its state and the VM list show.
		if (event.kind === 'upstream-started') {
			leavingSince.delete(event.upstream);
		}

		if (event.kind === 'upstream-received') {
			const since = leavingSince.get(event.upstream);
			if (since !== undefined && event.at > since + leavingGraceMs) {
				violations.push({promise: 'no work for a leaving upstream', detail: `${event.upstream} received ${event.job} ${event.at - since} ms after it started to leave`});
			}
		}
	}

	return violations;
};

const configurationNeverReverts: Check = events => {
	const inEffect = new Map<string, number>();
	const violations: Violation[] = [];
	for (const event of events) {
		if (event.kind === 'daemon-started') {
			inEffect.delete(event.daemon);
		}

		if (event.kind === 'configuration-in-effect') {
			const before = inEffect.get(event.daemon) ?? 0;
			if (event.version <= before) {
				violations.push({promise: 'configuration never reverts', detail: `${event.daemon} went from version ${before} to ${event.version}`});
			}

			inEffect.set(event.daemon, event.version);
		}
	}

	return violations;
};

const configurationReachesAllDaemons: Check = (events, deployment) => {
	const accepted = Math.max(0, ...events.map(event => (event.kind === 'apply-accepted' ? event.version : 0)));
	return deployment.daemons.filter(daemon => daemon.status === 'running' && daemon.state.configuration.version < accepted).map(daemon => ({
		promise: 'accepted configuration in effect everywhere', detail: `${daemon.daemon} has version ${daemon.state.configuration.version} instead of ${accepted} after all faults ended`,
	}));
};

const versionAcceptedOnce: Check = events => {
	const calls = new Map<number, string>();
	const violations: Violation[] = [];
	for (const event of events) {
		if (event.kind === 'apply-accepted') {
			const other = calls.get(event.version);
			if (other !== undefined) {
				violations.push({promise: 'one operator wins a race', detail: `version ${event.version} was accepted for both ${other} and ${event.call}`});
			}

			calls.set(event.version, event.call);
		}
	}

	return violations;
};

const gracefulShutdown: Check = (events, deployment) => {
	const killed = new Set(events.flatMap(event => (event.kind === 'daemon-killed' ? [event.daemon] : [])));
	const disconnected = events.filter(event => event.kind === 'caller-cut' && [...deployment.shutDownDaemons].some(daemon => !killed.has(daemon) && event.requestId.startsWith(`${daemon}-`)));
	const sentIndex = (requestId: string): number => events.findIndex(event => event.kind === 'caller-sent' && event.requestId === requestId);
	const stopped = (daemon: string): number => events.findIndex(event => event.kind === 'daemon-stopped' && event.daemon === daemon);
	// Requests that were sent after the process had stopped were not in flight.
	return disconnected.filter(event => event.kind === 'caller-cut' && sentIndex(event.requestId) < stopped(event.requestId.slice(0, 'entry-1'.length))).map(event => ({
		promise: 'graceful shutdown', detail: JSON.stringify(event),
	}));
};

const poisonRequests: Check = (events, deployment) => [...deployment.jobs.values()].filter(job => job.isPoison).flatMap(job => {
	// Two attempts of a job on the same engine that end in the same crash count once.
	const deaths = new Map<string, string>();
	for (const event of events) {
		if (event.kind === 'upstream-ended' && event.job === job.key && event.result === 'died') {
			deaths.set(`${event.upstream} at ${event.at}`, deployment.engines.find(engine => engine.upstream === event.upstream)?.dataCentre ?? '');
		}
	}

	const dataCentres = [...new Set(deaths.values())];
	return dataCentres.map(dataCentre => ({dataCentre, count: [...deaths.values()].filter(otherDataCentre => otherDataCentre === dataCentre).length}))
		.filter(({count}) => count > maxEnginesLostToOneRequest)
		.map(({dataCentre, count}) => ({promise: 'at most 3 engines lost to one request', detail: `${job.key} crashed ${count} engines in ${dataCentre}`}));
});

/** All checks, keyed by the promise (guarantee of the service) that they verify. */
export const checks: Readonly<Record<string, Check>> = {
	'whole answers': completeAnswers,
	'one final answer': singleFinalAnswer,
	'true "not run"': accurateNotRun,
	'at most once': atMostOnce,
	'no work for a leaving upstream': leavingUpstreams,
	'configuration never reverts': configurationNeverReverts,
	'accepted configuration in effect everywhere': configurationReachesAllDaemons,
	'one operator wins a race': versionAcceptedOnce,
	'graceful shutdown': gracefulShutdown,
	'at most 3 engines lost to one request': poisonRequests,
};

/** Returns the violations of `promises` in the history of a deployment. */
export function findViolations(deployment: Deployment, promises: readonly string[] = Object.keys(checks)): Violation[] {
	return promises.flatMap(promise => checks[promise]!(deployment.simulation.recorder.events, deployment));
}
