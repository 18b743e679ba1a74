import {SystemClock, type RequestId, type TeamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import type {AttemptTarget} from './attempt-target.js';
import {Attempt} from './attempt.js';
import type {ConnectionUse} from './connection-pool.js';
import type {PlainRequest, RequestRun} from './plain-request.js';
import {RequestReporter} from './request-reporter.js';

describe('RequestReporter', () => {
	const req = {
		requestId: 'r1' as RequestId, team: 'a' as TeamId, route: {name: 'desk', kind: 'idempotent'}, deadlineAt: 0,
	} as unknown as PlainRequest;
	const setUp = () => {
		const runs: RequestRun[] = [];
		const reporter = new RequestReporter({
			clock: new SystemClock(),
			onRequestReport: () => undefined,
			onRequestRun(run) {
				runs.push(run);
			},
		}, req);
		const attempt = (id: string, connection: ConnectionUse, status?: number, didNotRun = false) => {
			const made = new Attempt({upstream: id, describe: () => id} as unknown as AttemptTarget, 5);
			made.exchange = {abort: () => undefined, connection: () => connection};
			if (status !== undefined) {
				made.head = {status, headers: {}};
				made.metadata = {isSigned: true, didNotRun};
				reporter.reportHead(made);
			}

			return made;
		};

		const end = (last: Attempt | undefined) => {
			reporter.reportEnd('over', {attempt: last, running: [], sent: 1});
			return runs.map(({upstream, team, sentAt, answeredAt}) => ({
				upstream, team, sentAt, isAnswered: answeredAt !== undefined,
			}));
		};

		return {attempt, end};
	};

	it('reports a hedged request as run once, by the upstream that responded first', () => {
		const {attempt, end} = setUp();
		const first = attempt('u1', 'new', 200);
		attempt('u2', 'new', 500);
		expect(end(first)).toEqual([{
			upstream: 'u1', team: 'a', sentAt: 5, isAnswered: true,
		}]);
	});

	it('reports no run if upstreams state that they have not run the request, or none was reached', () => {
		const {attempt, end} = setUp();
		attempt('u1', 'new', 503);
		expect(end(attempt('u2', 'new', 500, true))).toEqual([]);
		expect(setUp().end(undefined)).toEqual([]);
		const other = setUp();
		expect(other.end(other.attempt('u3', 'connecting'))).toEqual([]);
	});

	it('reports a run whose response was lost', () => {
		const {attempt, end} = setUp();
		expect(end(attempt('u1', 'kept'))).toMatchObject([{upstream: 'u1', isAnswered: false}]);
	});
});
