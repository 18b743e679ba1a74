import {Random} from '@cicadapost/fakes';
import {
	decidePrefills, PrefillQueue, type PrefillTargets, type WaitingPrompt,
} from '@cicadapost/prefill';
import type {Millis, UpstreamId} from '@cicadapost/types';

/** Prompt tokens of half of the requests. The others have 10 and 100 times as many. */
const medianTokens = 600;
const shareOfTenfold = 0.1;
const shareOfHundredfold = 0.04;
const outputSteps = 40;
const slots = 8;
/** Time for a prompt token without running requests, and for an engine step with one run and with each further one. */
const prefillMs = 1 / 600;
const stepMs = 0.65;
const furtherRunMs = 0.03;
const chunkTokens = 512;
const arrivalsMs = 4000;
/** Weight of a new gap between two events in the mean of an engine. */
const newGapWeight = 0.1;

export const targets: PrefillTargets = {
	firstEventMs: 75, gapMs: 40, stepsPerEvent: 10,
};
/** Delay of the first event that a long prompt may have in addition to the target of a short one, relative to its own prefill. */
const longWaitFactor = 5;

type Request = {
	prompt: WaitingPrompt;
	isLong: boolean;
	arrivedAt: Millis;
	leftTokens: number;
	leftSteps: number;
	lastEventAt: Millis;
	/** Delay of the first event since the arrival. */
	firstEventMs: Millis | undefined;
	maxGapMs: Millis;
};
type Engine = {id: UpstreamId; factor: number; queue: Request[]; running: Request[]; freeAt: Millis; eventMs: Millis};

export type LoadOptions = Readonly<{
	/** Arrivals relative to what the engines can do that are there at the end. */
	load: number;
	seed: number;
	/** Whether `decidePrefills` places the prompts. Otherwise they go in order of arrival to the engine with the fewest requests. */
	isPlaced: boolean;
	engines?: number;
	/** Factor by which the first engine is slower. */
	slowFactor?: number;
	/** Time at which the last engine leaves. Its requests wait again. */
	goneAt?: Millis;
	/** Whether all prompts are as short as the median. */
	isAlike?: boolean;
}>;

export type KindResult = Readonly<{sent: number; served: number; inTime: number; gapsInTime: number; worstFirstEventMs: Millis}>;

export type LoadResult = Readonly<{
	short: KindResult;
	long: KindResult;
	/** Number of times at which prompts were sent without `decidePrefills`. */
	offCount: number;
	/** Request and engine, `ID@ENGINE`, in the order of sending. */
	order: readonly string[];
}>;

/** Plays short and long prompts against engines that process prompts in chunks between the steps of their runs, first come, first served. */
export function playLoad(options: LoadOptions): LoadResult {
	return new PrefillLoad(options).run();
}

class PrefillLoad {
	private now = 0;
	private readonly engines: Engine[];
	private readonly queue = new PrefillQueue();
	private readonly waiting: Request[] = [];
	private readonly all: Request[] = [];
	private readonly order: string[] = [];
	private offCount = 0;

	constructor(private readonly options: LoadOptions) {
		this.engines = Array.from({length: options.engines ?? 6}, (_, index) => ({
			id: `e${index}` as UpstreamId, factor: index === 0 ? options.slowFactor ?? 1 : 1, queue: [], running: [], freeAt: 0, eventMs: 0,
		}));
	}

	run(): LoadResult {
		const arrivals = this.createArrivals();
		const {goneAt = Number.POSITIVE_INFINITY} = this.options;
		// Requests that arrived last get as long as the arrivals took.
		for (; this.now < arrivalsMs * 2; this.now += 0.5) {
			while (arrivals.length > 0 && arrivals[0]!.arrivedAt <= this.now) {
				this.waiting.push(arrivals.shift()!);
			}

			if (this.now >= goneAt && this.now < goneAt + 0.5) {
				this.removeEngine();
			}

			for (const engine of this.engines) {
				this.stepEngine(engine);
			}

			this.send();
		}

		return {
			short: this.summarize(false), long: this.summarize(true), offCount: this.offCount, order: this.order,
		};
	}

	private createArrivals(): Request[] {
		const {load, seed, isAlike = false, slowFactor = 1, goneAt} = this.options;
		const random = new Random(seed);
		const meanTokens = medianTokens * (isAlike ? 1 : 1 + (9 * shareOfTenfold) + (99 * shareOfHundredfold));
		const costMs = (meanTokens * prefillMs) + (outputSteps * (stepMs + (furtherRunMs * (slots - 1))) / slots);
		const capacity = (this.engines.length - (goneAt === undefined ? 0 : 1) - 1 + (1 / slowFactor)) / costMs;
		const requests: Request[] = [];
		for (let at = random.exponential(1 / (load * capacity)); at < arrivalsMs; at += random.exponential(1 / (load * capacity))) {
			const draw = random.next();
			const kind = isAlike || draw >= shareOfTenfold + shareOfHundredfold ? 1 : (draw < shareOfHundredfold ? 100 : 10);
			const promptTokens = kind * medianTokens;
			const isLong = kind === 100;
			const targetMs = targets.firstEventMs + (isLong ? longWaitFactor * promptTokens * prefillMs : 0);
			const request: Request = {
				prompt: {id: String(requests.length), promptTokens, firstEventBy: at + targetMs},
				isLong, arrivedAt: at, leftTokens: promptTokens, leftSteps: outputSteps, lastEventAt: 0, firstEventMs: undefined, maxGapMs: 0,
			};
			requests.push(request);
			this.all.push(request);
		}

		return requests;
	}

	private removeEngine(): void {
		const engine = this.engines.pop()!;
		this.queue.forget(engine.id);
		for (const request of [...engine.queue, ...engine.running]) {
			request.leftTokens = request.prompt.promptTokens;
			request.leftSteps = outputSteps;
			this.waiting.unshift(request);
		}
	}

	/** An engine step processes a chunk of the first queued prompts, and a token of each run. */
	private stepEngine(engine: Engine): void {
		while (engine.freeAt <= this.now && engine.queue.length + engine.running.length > 0) {
			let chunk = chunkTokens;
			for (const request of engine.queue) {
				const taken = Math.min(chunk, request.leftTokens);
				request.leftTokens -= taken;
				chunk -= taken;
			}

			const runs = engine.running.length;
			const runMs = runs === 0 ? 0 : stepMs + (furtherRunMs * (runs - 1));
			const endsAt = Math.max(engine.freeAt, this.now - 0.5) + ((((chunkTokens - chunk) * prefillMs) + runMs) * engine.factor);
			engine.freeAt = endsAt;
			for (const request of engine.running) {
				request.leftSteps--;
				if (request.leftSteps % targets.stepsPerEvent === 0) {
					engine.eventMs += newGapWeight * (endsAt - request.lastEventAt - engine.eventMs);
					request.maxGapMs = Math.max(request.maxGapMs, endsAt - request.lastEventAt);
					request.lastEventAt = endsAt;
				}
			}

			engine.running = engine.running.filter(({leftSteps}) => leftSteps > 0);
			for (const request of engine.queue.filter(({leftTokens}) => leftTokens === 0)) {
				request.firstEventMs ??= endsAt - request.arrivedAt;
				request.lastEventAt = endsAt;
				engine.running.push(request);
				this.queue.recordFirstEvent(request.prompt.id, endsAt);
			}

			engine.queue = engine.queue.filter(({leftTokens}) => leftTokens > 0);
		}
	}

	private send(): void {
		if (this.waiting.length === 0) {
			return;
		}

		const decision = this.options.isPlaced
			? decidePrefills({
				// The oldest of each kind are enough, as no more can be placed at once.
				waiting: [false, true].flatMap(isLong => this.waiting.filter(request => request.isLong === isLong).slice(0, 64)).map(({prompt}) => prompt),
				engines: this.engines.map(({id, queue, running, eventMs}) => ({
					id,
					running: queue.length + running.length,
					slots,
					...this.queue.figuresOf(id),
					chunkTokens,
					eventMs,
				})),
				targets,
				now: this.now,
			})
			: undefined;
		if (decision?.kind === 'placed') {
			for (const {id, engine} of decision.sends) {
				this.sendTo(this.engines.find(each => each.id === engine)!, this.waiting.find(({prompt}) => prompt.id === id)!);
			}

			return;
		}

		this.offCount++;
		for (const request of this.waiting) {
			const [least] = [...this.engines].sort((a, b) => a.queue.length + a.running.length - b.queue.length - b.running.length);
			if (least === undefined || least.queue.length + least.running.length >= slots) {
				break;
			}

			this.sendTo(least, request);
		}
	}

	private sendTo(engine: Engine, request: Request): void {
		this.waiting.splice(this.waiting.indexOf(request), 1);
		this.queue.add(request.prompt.id, {
			engine: engine.id, tokens: request.prompt.promptTokens, isLong: request.isLong, now: this.now,
		});
		engine.freeAt = Math.max(engine.freeAt, this.now);
		engine.queue.push(request);
		this.order.push(`${request.prompt.id}@${engine.id}`);
	}

	private summarize(isLong: boolean): KindResult {
		const all = this.all.filter(request => request.isLong === isLong);
		const served = all.filter(({firstEventMs}) => firstEventMs !== undefined);
		return {
			sent: all.length,
			served: served.length,
			inTime: served.filter(({firstEventMs, arrivedAt, prompt}) => firstEventMs! <= prompt.firstEventBy - arrivedAt).length / all.length,
			gapsInTime: served.filter(({maxGapMs}) => maxGapMs <= targets.gapMs).length / all.length,
			worstFirstEventMs: Math.max(...served.map(({firstEventMs}) => firstEventMs!)),
		};
	}
}
