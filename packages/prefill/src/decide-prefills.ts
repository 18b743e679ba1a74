import type {Millis, UpstreamId} from '@cicadapost/types';

/** A sample or request that has not been sent to an engine. */
export type WaitingPrompt = Readonly<{
	id: string;
	promptTokens: number;
	/** Tokens of the prompt that engines have cached. Engines that are not listed have none. */
	cachedTokens?: ReadonlyMap<UpstreamId, number>;
	/** Time by which the first event is due. */
	firstEventBy: Millis;
}>;

export type PrefillEngine = Readonly<{
	id: UpstreamId;
	/** Requests at the engine and the number that it runs concurrently. */
	running: number;
	slots: number;
	/** Time for an uncached prompt token. Undefined if it has not been measured. */
	msPerToken: Millis | undefined;
	/** Uncached prompt tokens sent to the engine whose first event has not come. Undefined if requests of others may be queued there. */
	queuedTokens: number | undefined;
	/** Those of `queuedTokens` that belong to long prompts. */
	queuedLongTokens: number;
	/** Measured time between two events of its recent runs. Defaults to 0, so that only the prefill counts. */
	eventMs?: Millis;
	/** Uncached prompt tokens that the engine processes in each of its steps. Undefined if it is not known. */
	chunkTokens?: number;
}>;

export type PrefillTargets = Readonly<{
	/** Delay of the first event that a short request may have. */
	firstEventMs: Millis;
	/** Time that may pass between two events of a running request. */
	gapMs: Millis;
	/** Number of engine steps for an event. */
	stepsPerEvent: number;
}>;

export type DecidePrefillsOptions = Readonly<{
	waiting: readonly WaitingPrompt[];
	engines: readonly PrefillEngine[];
	targets: PrefillTargets;
	now: Millis;
}>;

export type PrefillDecision =
	/** The prompts to send now. Prompts that are not listed wait. */
	| Readonly<{kind: 'placed'; sends: ReadonlyArray<Readonly<{id: string; engine: UpstreamId; isLong: boolean}>>}>
	/** The caller places the prompts as it does without this package. `unmeasured` are the engines whose figures are unknown. */
	| Readonly<{kind: 'off'; reason: 'alike' | 'unmeasured'; unmeasured: readonly UpstreamId[]}>;

/** A prompt counts as long if its prefill takes this share of the target of a short one. Four such prompts in front of a short one exceed the target. */
const longShare = 0.25;
/** Long prompts get enough engines to begin within this part of the time that they have. With 1, 64.6% of them were in time at 80% of the capacity of six engines of which one left, with 0.5 all (`prefill-load.ts`, seed 1). */
const longHorizonShare = 0.5;
/** Share of the target for gaps that is planned with. Gaps vary around the measured mean: with 1, 94.2% of the short prompts kept the target at 80% of capacity with a slow engine (`prefill-load.ts`). */
const plannedGapShare = 0.8;

type EngineState = {engine: PrefillEngine; msPerToken: Millis; running: number; queuedTokens: number; queuedLongTokens: number};

/**
Decides which waiting prompts are sent to which engines now. Designed for up to some hundred prompts and 34 engines.
- Prompts are placed in the order of their slack, each on the engine that is expected to begin its text first. Cached tokens need no prefill.
- A short prompt waits while every engine has more prefill queued than its target allows, unless it is late anyway.
- An engine has at most one long prompt, and only as many engines have one as the work of long prompts needs. If both kinds need more engines than there are, they share them in proportion to their work.
- A prompt goes to no engine where it lengthens the gaps between the events of running requests beyond the target, unless all are so.

Off if prompts are all long or all short, or if the figures of any engine are unknown.
*/
export function decidePrefills({waiting, engines, targets, now}: DecidePrefillsOptions): PrefillDecision {
	const unmeasured = engines.filter(({msPerToken, queuedTokens}) => msPerToken === undefined || queuedTokens === undefined).map(({id}) => id);
	if (unmeasured.length > 0 || engines.length === 0) {
		return {kind: 'off', reason: 'unmeasured', unmeasured};
	}

	const states = engines.map((engine): EngineState => ({
		engine, msPerToken: engine.msPerToken!, running: engine.running, queuedTokens: engine.queuedTokens!, queuedLongTokens: engine.queuedLongTokens,
	}));
	const typicalMsPerToken = median(states.map(state => state.msPerToken));
	const isLong = (prompt: WaitingPrompt) => prompt.promptTokens * typicalMsPerToken > longShare * targets.firstEventMs;
	const long = waiting.filter(prompt => isLong(prompt));
	const hasLong = long.length > 0 || states.some(state => state.queuedLongTokens > 0);
	const hasShort = long.length < waiting.length || states.some(state => state.running > 0 || state.queuedTokens > state.queuedLongTokens);
	if (!hasLong || !hasShort) {
		return {kind: 'off', reason: 'alike', unmeasured};
	}

	const maxLongEngines = countLongEngines({
		states, long, short: waiting.filter(prompt => !isLong(prompt)), typicalMsPerToken, targets, now,
	});
	const slackOf = (prompt: WaitingPrompt) => prompt.firstEventBy - now - (prompt.promptTokens * typicalMsPerToken);
	const sends: Array<{id: string; engine: UpstreamId; isLong: boolean}> = [];
	for (const prompt of [...waiting].sort((a, b) => slackOf(a) - slackOf(b))) {
		const state = isLong(prompt) ? chooseForLong(prompt, {states, maxLongEngines, targets}) : chooseForShort(prompt, {states, targets, now});
		if (state !== undefined) {
			const tokens = uncachedTokens(prompt, state);
			state.running++;
			state.queuedTokens += tokens;
			state.queuedLongTokens += isLong(prompt) ? tokens : 0;
			sends.push({id: prompt.id, engine: state.engine.id, isLong: isLong(prompt)});
		}
	}

	return {kind: 'placed', sends};
}

function uncachedTokens({promptTokens, cachedTokens}: WaitingPrompt, {engine}: EngineState): number {
	return Math.max(0, promptTokens - (cachedTokens?.get(engine.id) ?? 0));
}

/** Returns the time until the engine has processed its queue and the prompt. */
function prefillMs(prompt: WaitingPrompt, state: EngineState): Millis {
	return (state.queuedTokens + uncachedTokens(prompt, state)) * state.msPerToken;
}

/** Returns the engine that would begin the text first, among equal ones the one with the fewest requests. */
function fastest(prompt: WaitingPrompt, states: readonly EngineState[]): EngineState | undefined {
	let best: EngineState | undefined;
	for (const state of states) {
		if (best === undefined) {
			best = state;
			continue;
		}

		const differenceMs = prefillMs(prompt, state) - prefillMs(prompt, best);
		if (differenceMs < 0 || (differenceMs === 0 && state.running < best.running)) {
			best = state;
		}
	}

	return best;
}

type ChooseOptions = Readonly<{states: readonly EngineState[]; targets: PrefillTargets}>;

function chooseForShort(prompt: WaitingPrompt, {states, targets, now}: ChooseOptions & Readonly<{now: Millis}>): EngineState | undefined {
	const best = fastest(prompt, withKeptGaps(prompt, {states, targets}).filter(state => state.running < state.engine.slots));
	if (best === undefined) {
		return undefined;
	}

	// A late prompt is sent too, but queues no more than one that came now, so that later ones still have a chance.
	const slackMs = prompt.firstEventBy - now;
	return prefillMs(prompt, best) <= (slackMs > 0 ? slackMs : targets.firstEventMs) ? best : undefined;
}

function chooseForLong(prompt: WaitingPrompt, {states, maxLongEngines, targets}: ChooseOptions & Readonly<{maxLongEngines: number}>): EngineState | undefined {
	if (states.filter(state => state.queuedLongTokens > 0).length >= maxLongEngines) {
		return undefined;
	}

	const candidates = withKeptGaps(prompt, {states, targets});
	return fastest(prompt, candidates.filter(state => state.running < state.engine.slots && state.queuedLongTokens === 0));
}

/**
Returns the engines where the prompt keeps the gaps between the events of running requests within the target, also those without room,
since a prompt waits for one of them. If there is none, returns all.
*/
function withKeptGaps(prompt: WaitingPrompt, {states, targets}: ChooseOptions): readonly EngineState[] {
	const keeping = states.filter(state => state.running === 0 || (state.engine.eventMs ?? 0) + gapGrowthMs(prompt, {state, targets}) <= plannedGapShare * targets.gapMs);
	return keeping.length > 0 ? keeping : states;
}

/** Returns by how much the queue with the prompt lengthens the gap between two events of a running request at most. */
function gapGrowthMs(prompt: WaitingPrompt, {state, targets}: Readonly<{state: EngineState; targets: PrefillTargets}>): Millis {
	const chunkTokens = state.engine.chunkTokens ?? Number.POSITIVE_INFINITY;
	return Math.min(state.queuedTokens + uncachedTokens(prompt, state), targets.stepsPerEvent * chunkTokens) * state.msPerToken;
}

type CountLongEnginesOptions = Readonly<{
	states: readonly EngineState[];
	long: readonly WaitingPrompt[];
	short: readonly WaitingPrompt[];
	typicalMsPerToken: Millis;
	targets: PrefillTargets;
	now: Millis;
}>;

/**
Returns how many engines may have a long prompt at a time: as many as process the long prompts within half of the time until the last is due.
One engine is left to short prompts where there are several, and one may always have a long prompt, so that neither kind starves.
*/
function countLongEngines({states, long, short, typicalMsPerToken, targets, now}: CountLongEnginesOptions): number {
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	const tokensOf = (prompts: readonly WaitingPrompt[]) => sum(prompts.map(({promptTokens}) => promptTokens));
	const longMs = (tokensOf(long) + sum(states.map(state => state.queuedLongTokens))) * typicalMsPerToken;
	const shortMs = (tokensOf(short) + sum(states.map(state => state.queuedTokens - state.queuedLongTokens))) * typicalMsPerToken;
	const longHorizonMs = Math.max(targets.firstEventMs, ...long.map(({firstEventBy}) => firstEventBy - now));
	const needed = Math.ceil(longMs / (longHorizonShare * longHorizonMs));
	const neededByShort = Math.ceil(shortMs / targets.firstEventMs);
	const count = needed + neededByShort <= states.length ? needed : Math.round(states.length * longMs / (longMs + shortMs));
	return Math.max(1, Math.min(count, states.length - 1));
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)]!;
}
