import type {Clock, Millis} from '@cicadapost/types';
import type {Attempt} from './attempt.js';
import type {PlainRequest, RequestEnd, RequestReport} from './plain-request.js';

export type RequestReporterOptions = Readonly<{
	clock: Clock;
	onRequestReport: (report: RequestReport) => void;
	/** Called once for each request, when it is over. Defaults to nothing. */
	onRequestEnd?: (end: RequestEnd) => void;
}>;

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

	constructor(private readonly options: RequestReporterOptions, private readonly req: PlainRequest) {
		this.startedAt = options.clock.now();
	}

	reportStep(outcome: string, progress: RequestProgress, inputs: Inputs = {}): void {
		this.report(outcome, progress, inputs, undefined);
	}

	reportEnd(outcome: string, progress: RequestProgress, inputs: Inputs = {}): void {
		const {options: {clock, onRequestEnd}, req} = this;
		const tookMs = clock.now() - this.startedAt;
		this.report(outcome, progress, inputs, Math.round(tookMs));
		const {attempt} = progress;
		onRequestEnd?.({
			requestId: req.requestId,
			team: req.team,
			route: req.route.name,
			outcome,
			tookMs,
			ran: attempt?.head === undefined || attempt.metadata?.didNotRun === true ? undefined : {sentAt: attempt.sentAt, upstream: attempt.target.upstream},
		});
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
