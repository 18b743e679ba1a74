import type {SendReason} from '@cicadapost/rate-limits';
import type {StoreCallReport} from '@cicadapost/store';
import type {Millis, UpstreamId} from '@cicadapost/types';

/** What the daemon has done in one interval. */
export type LoadReport = Readonly<{
	intervalMs: Millis;
	/** Processor time of the whole process. */
	processorMs: Millis;
	/** Number of store calls by call, table and outcome, such as `changes batches changes`. */
	storeCalls: Readonly<Record<string, number>>;
	/** Number of rows that the store returned, by call and table. */
	storeRows: Readonly<Record<string, number>>;
	claimPlans: number;
	claimPlanMs: Millis;
	/** Number of requests to upstreams with a limit, by upstream and reason, such as `i-1 hedge`. */
	limitedRequests: Readonly<Record<string, number>>;
}>;

export type LoadReporterOptions = Readonly<{
	/** Returns the processor time that the process has used so far. */
	processorTime: () => Millis;
	onLoadReport: (report: LoadReport) => void;
}>;

/** Adds up the work of this daemon and reports it once per interval, so that logs show where its processor time goes. */
export class LoadReporter {
	private storeCalls = new Map<string, number>();
	private storeRows = new Map<string, number>();
	private limitedRequests = new Map<string, number>();
	private claimPlans = 0;
	private claimPlanMs = 0;
	private processorMs: Millis;

	constructor(private readonly options: LoadReporterOptions, private reportedAt: Millis) {
		this.processorMs = options.processorTime();
	}

	recordStoreCall({call, table, outcome, rows}: StoreCallReport): void {
		increase(this.storeCalls, `${call} ${table} ${outcome}`, 1);
		if (rows > 0) {
			increase(this.storeRows, `${call} ${table}`, rows);
		}
	}

	recordClaimPlan(tookMs: Millis): void {
		this.claimPlans += 1;
		this.claimPlanMs += tookMs;
	}

	recordLimitedRequest(upstream: UpstreamId, reason: SendReason): void {
		increase(this.limitedRequests, `${upstream} ${reason}`, 1);
	}

	/** Reports what was recorded since the last report, and starts over. */
	report(now: Millis): void {
		const {processorTime, onLoadReport} = this.options;
		const processorMs = processorTime();
		onLoadReport({
			intervalMs: Math.round(now - this.reportedAt),
			processorMs: Math.round(processorMs - this.processorMs),
			storeCalls: Object.fromEntries(this.storeCalls),
			storeRows: Object.fromEntries(this.storeRows),
			claimPlans: this.claimPlans,
			claimPlanMs: Math.round(this.claimPlanMs),
			limitedRequests: Object.fromEntries(this.limitedRequests),
		});
		this.reportedAt = now;
		this.processorMs = processorMs;
		this.storeCalls = new Map();
		this.storeRows = new Map();
		this.limitedRequests = new Map();
		this.claimPlans = 0;
		this.claimPlanMs = 0;
	}
}

function increase(counts: Map<string, number>, key: string, by: number): void {
	counts.set(key, (counts.get(key) ?? 0) + by);
}
