import type {Clock, Millis} from '@cicadapost/types';
import type {Attempt} from './attempt.js';
import type {
	PlainRequest, RequestEnd, RequestReport, RequestRun,
} from './plain-request.js';

export type RequestReporterOptions = Readonly<{
	clock: Clock;
	onRequestReport: (report: RequestReport) => void;
	/** Called once for each request, when it is over. Defaults to nothing. */
	onRequestEnd?: (end: RequestEnd) => void;
	/**
	Called once for each request that an upstream has begun to run: when the head of the response arrives, since a stream may go
	on for long, or at the end if the response of the last attempt was lost. Defaults to nothing.
	*/
	onRequestRun?: (run: RequestRun) => void;
}>;

/** With these status codes an upstream guarantees that it has not run the request. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What has happened to a request so far. */
export type RequestProgress = Readonly<{
	/** The attempt that the report is about. */
	attempt: Attempt | undefined;
	/** Attempts that are not over. */
	running: Iterable<Attempt>;
	/** Number of upstreams that may have received the request. */
	sent: number;
}>;

type Inputs = Readonly<Record<string, unknown>>;

/** Reports the steps and the end of one request. */
export class RequestReporter {
	private readonly startedAt: Millis;
	private hasReportedRun = false;

	constructor(private readonly options: RequestReporterOptions, private readonly req: PlainRequest) {
		this.startedAt = options.clock.now();
	}

	reportStep(outcome: string, progress: RequestProgress, inputs: Inputs = {}): void {
		this.report(outcome, progress, inputs, undefined);
	}

	/** Call this for the head of each response. */
	reportHead({head, metadata, target, sentAt}: Attempt): void {
		if (head !== undefined && metadata?.didNotRun !== true && !notRunStatuses.has(head.status)) {
			this.reportRun({
				upstream: target.upstream, sentAt, answeredAt: this.options.clock.now(), load: metadata?.load,
			});
		}
	}

	reportEnd(outcome: string, progress: RequestProgress, inputs: Inputs = {}): void {
		const {options: {clock, onRequestEnd}, req} = this;
		const tookMs = clock.now() - this.startedAt;
		this.report(outcome, progress, inputs, Math.round(tookMs));
		const {attempt} = progress;
		if (attempt !== undefined && attempt.head === undefined && attempt.exchange?.connection() !== 'connecting') {
			this.reportRun({
				upstream: attempt.target.upstream, sentAt: attempt.sentAt, answeredAt: undefined, load: undefined,
			});
		}

		onRequestEnd?.({
			requestId: req.requestId,
			team: req.team,
			route: req.route.name,
			outcome,
			tookMs,
			ran: attempt?.head === undefined || attempt.metadata?.didNotRun === true ? undefined : {sentAt: attempt.sentAt, upstream: attempt.target.upstream},
		});
	}

	private reportRun(run: Pick<RequestRun, 'upstream' | 'sentAt' | 'answeredAt' | 'load'>): void {
		if (!this.hasReportedRun) {
			this.hasReportedRun = true;
			const {requestId, team, route} = this.req;
			this.options.onRequestRun?.({
				requestId, team, route: route.name, ...run,
			});
		}
	}

	private report(outcome: string, {attempt, running, sent}: RequestProgress, inputs: Inputs, tookMs: Millis | undefined): void {
		const {options: {clock, onRequestReport}, req} = this;
		const unanswered = [...running].filter(({head}) => head === undefined).map(candidate => candidate.describe());
		onRequestReport({
			requestId: req.requestId,
			upstream: attempt?.target.upstream,
			outcome,
			tookMs,
			inputs: {
				...inputs,
				...(req.route.kind === 'stream' ? {softwareVersion: attempt?.target.softwareVersion, continues: req.continues?.stream} : {}),
				route: req.route.name,
				...(attempt?.target.relay === undefined ? {} : {relay: attempt.target.relay}),
				...(unanswered.length === 0 ? {} : {unanswered}),
				sent,
				remainingMs: Math.round(req.deadlineAt - clock.now()),
			},
		});
	}
}
