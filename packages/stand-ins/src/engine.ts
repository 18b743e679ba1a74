import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {JsonServer, readJson, sendJson} from './json-server.js';

export type EngineOptions = Readonly<{
	name: string;
	port?: number;
	/** Duration of a decoding step with an empty batch, in milliseconds. */
	stepMs?: number;
	/** Time that each sequence in the batch adds to a step, in milliseconds. */
	stepMsPerSequence?: number;
	version?: number;
}>;

/** A weight change that a running sequence has yet to apply. */
type PendingSwap = Readonly<{
	version: number;
	/** Offset from which tokens are generated with the new weights. */
	fromToken: number;
}>;

type Sequence = {
	readonly res: ServerResponse;
	readonly key: string;
	nextOffset: number;
	readonly endOffset: number;
	version: number;
	pendingSwap: PendingSwap | undefined;
};

/** Stand-in for a model engine with continuous batching: each decoding step generates one token for every sequence. */
export class EngineStandIn extends JsonServer {
	private readonly sequences = new Set<Sequence>();
	private isStepScheduled = false;
	private version: number;
	/** Faults that a test can set with `POST /control`. */
	private readonly faults = {
		slowness: 1,
		silent: false,
		poison: '',
		leaving: false,
		/** Whether weight changes fail, so that all sequences keep the old weights. */
		failSwap: false,
		/** Duration of the weight swap after an order, in milliseconds. */
		swapMs: 50,
		/** Number of upcoming swaps after orders that fail and keep the old version. */
		failSwaps: 0,
		/** Whether orders with a lower fencing token are rejected. */
		checksFencing: true,
	};

	private highestFence = 0;
	private isSwapping = false;
	/** Accepted orders, listed by `GET /state` for tests. The swap of an accepted order can still fail. */
	private readonly acceptedOrders: Array<{version: number; fence: number}> = [];

	constructor(private readonly options: EngineOptions) {
		super(options.port ?? 0);
		this.version = options.version ?? 1;
	}

	protected override async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await readJson(req);
		switch (`${req.method} ${req.url}`) {
			case 'POST /v1/completions': {
				this.startCompletion(req, res, body);
				break;
			}

			case 'POST /control': {
				const {version, fromToken, ...faults} = body;
				Object.assign(this.faults, faults);
				if (version !== undefined) {
					this.changeWeights(Number(version), Number(fromToken ?? 0));
				}

				sendJson(res, 200, {...this.faults, version: this.version});
				break;
			}

			case 'GET /state': {
				sendJson(res, 200, {
					name: this.options.name, version: this.version, running: this.sequences.size, leaving: this.faults.leaving, swapping: this.isSwapping, fence: this.highestFence, orders: this.acceptedOrders,
				});
				break;
			}

			case 'POST /orders': {
				this.handleOrder(res, Number(body.version), Number(body.fence));
				break;
			}

			case 'GET /load': {
				sendJson(res, 200, {running: this.sequences.size});
				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	/**
	Running sequences use the new weights from token `fromToken` on, later sequences from their first token.
	The fault `failSwap` simulates a change that fails partway: all sequences keep the old weights, and `GET /state` still reports the old version.
	*/
	private changeWeights(version: number, fromToken: number): void {
		if (this.faults.failSwap) {
			return;
		}

		this.version = version;
		for (const sequence of this.sequences) {
			sequence.pendingSwap = {version, fromToken};
		}
	}

	private handleOrder(res: ServerResponse, version: number, fence: number): void {
		if (this.faults.checksFencing && fence < this.highestFence) {
			sendJson(res, 409, {fence: this.highestFence});
			return;
		}

		this.highestFence = Math.max(this.highestFence, fence);
		this.acceptedOrders.push({version, fence});
		this.isSwapping = true;
		setTimeout(() => {
			this.isSwapping = false;
			if (this.faults.failSwaps > 0) {
				this.faults.failSwaps--;
				return;
			}

			this.changeWeights(version, 0);
		}, this.faults.swapMs);
		sendJson(res, 202, {});
	}

	private startCompletion(req: IncomingMessage, res: ServerResponse, body: Record<string, unknown>): void {
		const prompt = String(body.prompt);
		if (this.faults.poison !== '' && prompt.includes(this.faults.poison)) {
			// The exit status of a process that SIGABRT ended.
			process.exit(134);
		}

		const sequence: Sequence = {
			res, key: `${prompt}\n${String(Number(body.seed ?? 0))}`, nextOffset: Number(req.headers['x-resume-from'] ?? 0), endOffset: Number(body.max_tokens ?? 16),
			version: this.version, pendingSwap: undefined,
		};
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.on('close', () => {
			this.sequences.delete(sequence);
		});
		this.sequences.add(sequence);
		this.scheduleStep();
	}

	private scheduleStep(): void {
		if (this.isStepScheduled || this.sequences.size === 0) {
			return;
		}

		this.isStepScheduled = true;
		const stepMs = ((this.options.stepMs ?? 5) + (this.sequences.size * (this.options.stepMsPerSequence ?? 0.5))) * this.faults.slowness;
		setTimeout(() => {
			this.isStepScheduled = false;
			this.decodeStep();
			this.scheduleStep();
		}, stepMs);
	}

	private decodeStep(): void {
		if (this.faults.silent || this.isSwapping) {
			return;
		}

		for (const sequence of this.sequences) {
			if (sequence.nextOffset < sequence.endOffset) {
				const offset = sequence.nextOffset++;
				if (sequence.pendingSwap !== undefined && offset >= sequence.pendingSwap.fromToken) {
					sequence.version = sequence.pendingSwap.version;
					sequence.pendingSwap = undefined;
				}

				sequence.res.write(`data: ${JSON.stringify({
					text: tokenText(sequence.key, offset), tokens: 1, version: sequence.version, offset,
				})}\n\n`);
			}

			if (sequence.nextOffset >= sequence.endOffset) {
				sequence.res.end('data: [DONE]\n\n');
				this.sequences.delete(sequence);
			}
		}
	}
}

/** Returns the token at `offset`. It depends only on prompt, seed and offset, so that a resumed stream continues the same text. */
export function tokenText(key: string, offset: number): string {
	return `${createHash('sha1').update(`${key}\n${offset}`).digest('hex').slice(0, 4)} `;
}
