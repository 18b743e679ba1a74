import {createServer, type Server} from 'node:http';
import {listenOn, type ListenerAddress} from '@cicadapost/listeners';
import type {SendReason} from '@cicadapost/rate-limits';
import type {StoreCallReport} from '@cicadapost/store';
import type {Millis} from '@cicadapost/types';
import {Counter, Histogram, Registry} from 'prom-client';
import {DutyMetrics} from './duty-metrics.js';

/** Upper bounds of the histogram buckets in milliseconds, from an immediate response to a whole training step. */
const latencyBuckets = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800];
/** Further routes share the label `other`, so that a large configuration does not exhaust memory. */
const maxRouteLabels = 200;

/** Counters and latency histograms, served in the Prometheus text format. */
export class EntryMetrics {
	private readonly registry = new Registry();
	private readonly routes = new Set<string>();
	private readonly requests = this.counter('requests_total', 'Plain requests by route and outcome', ['route', 'outcome']);
	private readonly calls = this.counter('calls_total', 'Calls on batches and refusals of the front by outcome', ['outcome']);
	private readonly samples = this.counter('samples_total', 'Runs of samples by outcome', ['outcome']);
	private readonly rewards = this.counter('reward_calls_total', 'Reward calls of samples by outcome', ['outcome']);
	private readonly orders = this.counter('orders_total', 'Orders to engines by outcome', ['outcome']);
	private readonly storeLosses = this.counter('store_lost_total', 'Times that the store stopped answering, by table', ['table']);
	private readonly storeCalls = this.counter('store_calls_total', 'Calls to the store by call, table and outcome', ['call', 'table', 'outcome']);
	private readonly storeRows = this.counter('store_rows_total', 'Rows that the store returned, by call and table', ['call', 'table']);
	private readonly limitedRequests = this.counter('limited_requests_total', 'Requests to upstreams that have named a limit, by reason', ['reason']);
	private readonly requestsOfOtherDaemons = this.counter('requests_of_other_daemons_total', 'Requests taken from daemons without links to upstreams', []);
	private readonly clientLimits = this.counter('client_limits_total', 'Bodies, connections and responses that were refused or closed because of a limit for clients, by reason', ['reason']);
	private readonly releasedClaims = this.counter('released_claims_total', 'Items released because their claim took effect although the store did not respond to it', []);
	private readonly closeDelimited = this.counter('close_delimited_responses_total', 'Responses of upstreams without a length, by whether the upstream closed their connection or it failed', ['end']);
	private readonly requestLatency = this.histogram('request_duration_ms', 'Time to the answer of plain requests', ['route']);
	private readonly sampleLatency = this.histogram('sample_duration_ms', 'Time of runs of samples', ['outcome']);
	private readonly rewardLatency = this.histogram('reward_call_duration_ms', 'Time of reward calls', []);
	readonly duties = new DutyMetrics(this.registry);
	private server: Server | undefined;

	recordRequest(route: string, outcome: string, tookMs: Millis): void {
		const label = this.routeLabel(route);
		this.requests.inc({route: label, outcome: outcomeCategory(outcome)});
		this.requestLatency.observe({route: label}, tookMs);
	}

	recordCall(outcome: string): void {
		this.calls.inc({outcome: outcomeCategory(outcome)});
	}

	recordSample(outcome: string, tookMs: Millis): void {
		this.samples.inc({outcome: outcomeCategory(outcome)});
		this.sampleLatency.observe({outcome: outcomeCategory(outcome)}, tookMs);
	}

	recordReward(outcome: string, tookMs: Millis): void {
		this.rewards.inc({outcome: outcomeCategory(outcome)});
		this.rewardLatency.observe(tookMs);
	}

	recordOrder(outcome: string): void {
		this.orders.inc({outcome: outcomeCategory(outcome)});
	}

	recordStoreLoss(table: string): void {
		this.storeLosses.inc({table});
	}

	recordStoreCall({call, table, outcome, rows}: StoreCallReport): void {
		this.storeCalls.inc({call, table, outcome});
		this.storeRows.inc({call, table}, rows);
	}

	recordLimitedRequest(reason: SendReason): void {
		this.limitedRequests.inc({reason});
	}

	recordRequestOfOtherDaemon(): void {
		this.requestsOfOtherDaemons.inc();
	}

	recordReleasedClaims(items: number): void {
		this.releasedClaims.inc(items);
	}

	recordCloseDelimited(end: 'closed' | 'failed'): void {
		this.closeDelimited.inc({end});
	}

	recordClientLimit(reason: string): void {
		this.clientLimits.inc({reason});
	}

	async text(): Promise<string> {
		return this.registry.metrics();
	}

	async listen(address: ListenerAddress, onError: (err: Error) => void): Promise<void> {
		const server = createServer((req, res) => {
			void this.serve(res);
		});
		this.server = server;
		await listenOn(server, address, onError);
	}

	close(): void {
		this.server?.close();
		this.server?.closeAllConnections();
	}

	private async serve(res: Readonly<{writeHead: (status: number, headers: Record<string, string>) => unknown; end: (text: string) => unknown}>): Promise<void> {
		const text = await this.text();
		res.writeHead(200, {'Content-Type': this.registry.contentType});
		res.end(text);
	}

	private counter(name: string, help: string, labelNames: string[]): Counter {
		return new Counter({
			name: `cicadapost_${name}`, help, labelNames, registers: [this.registry],
		});
	}

	private histogram(name: string, help: string, labelNames: string[]): Histogram {
		return new Histogram({
			name: `cicadapost_${name}`, help, labelNames, buckets: latencyBuckets, registers: [this.registry],
		});
	}

	private routeLabel(route: string): string {
		if (!this.routes.has(route) && this.routes.size >= maxRouteLabels) {
			return 'other';
		}

		this.routes.add(route);
		return route;
	}
}

/** The part of an outcome before its details, which limits the number of label values. */
function outcomeCategory(outcome: string): string {
	return outcome.split(/[:,]| with | for /v)[0] ?? outcome;
}
