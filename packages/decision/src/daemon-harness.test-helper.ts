/** Test harness for the decision logic of a single daemon, without sockets. */

import {documentSchema} from '@cicadapost/settings';
import type {
	AttemptFailure, DaemonId, DataCentreId, Fingerprint, MemberId, PeerMessage, PoolId, RegionId, Request, RequestId, RowResponse,
} from '@cicadapost/types';
import {createDaemonState, type DaemonState} from './daemon-state.js';
import {decide} from './decide.js';
import type {DaemonAction, DaemonEvent} from './events.js';

const home = 'home' as DataCentreId;
const away = 'away' as DataCentreId;
export const self = 'self' as DaemonId;
export const peer = 'peer' as DaemonId;

export function documentOf(upstreams: Readonly<Record<string, readonly string[]>>): string {
	return JSON.stringify(documentSchema.parse({
		base: {members: {}, pools: {model: {kind: 'engine'}}, dataCentres: {home: {region: 'r'}, away: {region: 'r'}}},
		overlays: Object.fromEntries(Object.entries(upstreams).map(([name, list]) => [name, {
			upstreams: Object.fromEntries(list.map(upstream => [upstream, {pool: 'model', url: 'http://127.0.0.1:1'}])),
		}])),
	}));
}

export function requestOf(options: Partial<Request> = {}): Request {
	return {
		requestId: 'r' as RequestId,
		member: 'm' as MemberId,
		requestClass: 'live',
		pool: 'model' as PoolId,
		promptTokens: 1,
		maxTokens: 4,
		idempotent: true,
		fingerprint: 'f' as Fingerprint,
		prefixKey: 'p',
		payload: {
			method: 'POST', path: '/', contentType: 'text/plain', body: '',
		},
		deadlineAt: 30_000,
		bodyHash: 'h',
		mixedVersions: false,
		...options,
	};
}

const twoLocalUpstreams = {home: ['u1', 'u2']};
export const nonIdempotent = {idempotent: false, idempotencyKey: 'k'} as const;

/** One daemon whose actions are collected. Store calls stay pending until the test answers them. */
export class DaemonHarness {
	readonly actions: DaemonAction[] = [];
	now = 1000;
	private state: DaemonState;

	constructor(upstreams: Readonly<Record<string, readonly string[]>> = twoLocalUpstreams) {
		this.state = createDaemonState({
			self, dataCentre: home, region: 'r' as RegionId, incarnation: 1,
		});
		this.message({kind: 'configuration', version: 1, document: documentOf(upstreams)});
		if (upstreams.away !== undefined) {
			this.message({
				kind: 'heartbeat', dataCentre: away, incarnation: 1, configurationVersion: 1, leaving: false, leavingUpstreams: [],
			});
		}
	}

	post(event: DaemonEvent): void {
		const outcome = decide(this.state, event, this.now);
		this.state = outcome.state;
		this.actions.push(...outcome.actions);
		for (const action of outcome.actions) {
			if (action.kind === 'read-state') {
				this.post({
					kind: 'upstream-state', upstream: action.upstream, status: {
						leaving: false, version: 1, swapping: false, fence: 0,
					},
				});
			}
		}
	}

	message(message: PeerMessage): void {
		this.post({kind: 'message', from: peer, message});
	}

	/** Makes a peer in the same data centre the owner of the shards, so that this daemon has to ask it for slots. */
	moveShardsToPeer(): void {
		this.receiveLocalHeartbeat();
		this.state.membership.leaving = true;
	}

	receiveLocalHeartbeat(): void {
		this.message({
			kind: 'heartbeat', dataCentre: home, incarnation: 1, configurationVersion: 1, leaving: false, leavingUpstreams: [],
		});
	}

	heartbeat(incarnation = 1): void {
		this.message({
			kind: 'heartbeat', dataCentre: away, incarnation, configurationVersion: 1, leaving: false, leavingUpstreams: [],
		});
	}

	failAttempt(failure: AttemptFailure, sent: boolean, attempt = this.attempt): void {
		this.post({
			kind: 'attempt-failed', attempt, failure, sent,
		});
	}

	finishAttempt(tokens: number, status = 200, contentType = 'text/event-stream'): void {
		this.post({
			kind: 'attempt-finished', attempt: this.attempt, tokens, status, contentType,
		});
	}

	of<Kind extends DaemonAction['kind']>(kind: Kind): Array<Extract<DaemonAction, {kind: Kind}>> {
		return this.actions.filter(action => action.kind === kind) as Array<Extract<DaemonAction, {kind: Kind}>>;
	}

	sent<Kind extends PeerMessage['kind']>(kind: Kind): Array<Extract<PeerMessage, {kind: Kind}>> {
		return this.of('send').map(({message}) => message).filter(message => message.kind === kind) as Array<Extract<PeerMessage, {kind: Kind}>>;
	}

	/** Answers the last call on the claims table. */
	store(answer: RowResponse): void {
		const call = this.actions.findLast(action => (action.kind === 'write-row' || action.kind === 'read-row') && action.table === 'claims');
		this.post({kind: 'row-answer', call: (call as Extract<DaemonAction, {kind: 'read-row'}>).call, answer});
	}

	get opened() {
		return this.of('open-attempt');
	}

	get attempt() {
		return this.opened.at(-1)!.attempt;
	}

	get failure() {
		const failures = this.of('fail');
		if (failures.length !== 1) {
			throw new Error(`expected one failure and got ${failures.length}`);
		}

		return failures[0]!.problem;
	}
}

