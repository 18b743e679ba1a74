import {request} from 'node:http';

export const host = 'rota.example';
export const model = 'draft-model';

export type Result = Readonly<{id: string; state: string; output: string; versions?: readonly number[]; score?: string}>;
export type Answer = Readonly<{status: number; body: string}>;

/** Sends one call on a new connection. Resolves to undefined if no whole answer comes. */
export async function call(address: string, options: Readonly<{method: string; path: string; headers?: Record<string, string>; body?: string; timeoutMs?: number}>): Promise<Answer | undefined> {
	return new Promise(resolve => {
		const req = request(`http://${address}${options.path}`, {
			method: options.method, agent: false, headers: {Host: host, ...options.headers}, timeout: options.timeoutMs ?? 5000,
		}, res => {
			let body = '';
			res.setEncoding('utf8');
			res.on('data', chunk => {
				body += String(chunk);
			});
			res.on('end', () => {
				resolve(res.complete ? {status: res.statusCode ?? 0, body} : undefined);
			});
			res.on('error', () => {
				resolve(undefined);
			});
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(undefined);
		});
		req.end(options.body);
	});
}

export type BatchShape = Readonly<{groups: number; size: number; prefix: string; step?: number}>;

export function submissionBody({groups, size, prefix, step = 0}: BatchShape): string {
	return JSON.stringify({
		step,
		model,
		min_version: 1,
		target_groups: groups,
		requests: Array.from({length: groups * size}, (_, index) => ({
			id: `${prefix}-${index}`,
			path: `/draft/${index}`,
			headers: {'X-Model': model, 'X-Token-Counts': '40,60', 'X-Prompt-Prefix': `${(4096 + Math.floor(index / size)).toString(16)}:40`},
			body: Buffer.from(`prompt ${index}`).toString('base64'),
			tokens: 100,
			group: `${prefix}-g${Math.floor(index / size)}`,
		})),
	});
}

/** Submits a batch as a trainer does: after anything but a 202, again at the next daemon. */
export async function submit(addresses: readonly string[], batch: string, shape: BatchShape): Promise<string> {
	const answers: string[] = [];
	for (let attempt = 0; attempt < 10; attempt++) {
		const answer = await call(addresses[attempt % addresses.length] ?? '', {
			method: 'POST', path: `/draft/${batch}`, headers: {'X-Attempt-Id': batch, 'Content-Type': 'application/json'}, body: submissionBody(shape),
		});
		answers.push(String(answer?.status ?? 'none'));
		if (answer?.status === 202) {
			break;
		}
	}

	return answers.join(', ');
}

export type ReadOptions = Readonly<{untilMs: number; onResult: (result: Result) => void}>;

/** Reads results as a trainer does, twice a second, until all are listed or the time is over. */
export async function readResults(addresses: readonly string[], batch: string, options: ReadOptions): Promise<Readonly<{total: number; results: Result[]}>> {
	const results: Result[] = [];
	let total = Number.POSITIVE_INFINITY;
	for (let attempt = 0; performance.now() < options.untilMs && results.length < total; attempt++) {
		const answer = await call(addresses[attempt % addresses.length] ?? '', {method: 'GET', path: `/cicadapost/lots/${batch}?after=${results.length}`, headers: {'X-Wait-Ms': '500'}});
		if (answer?.status === 200) {
			const page = JSON.parse(answer.body) as {total: number; results: Result[]};
			total = page.total;
			for (const result of page.results) {
				results.push(result);
				options.onResult(result);
			}
		}
	}

	return {total, results};
}

/** A configuration with one rollout route, as the operator writes it. */
export function configuration(options: Readonly<{maxAttempts?: number; deadlineMs?: number; maxQueueSeconds?: number}> = {}): Record<string, unknown> {
	return {
		version: 3,
		routes: [{
			name: 'draft', host, prefix: '/draft/', kind: 'rollout', timeout_ms: 10_000, target_latency_ms: 400, service: 'lm', max_attempts: options.maxAttempts ?? 3,
			deadline_ms: options.deadlineMs ?? 20_000, max_queue_s: options.maxQueueSeconds ?? 40, single_version: false,
		}],
		services: [{
			name: 'lm', health_path: '/health', max_conns: 180, engine: {models: [{name: model}]},
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};
}
