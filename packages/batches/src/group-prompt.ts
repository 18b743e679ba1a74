import type {BatchItem, GroupPlan} from './batch.js';

/** A part of a prompt that other prompts may begin with too. Two parts with the same id have the same text. */
export type PromptPart = Readonly<{id: string; tokens: number}>;

/** What is known of the prompts of a group. */
export type GroupPrompt = Readonly<{
	/** Prompt tokens of each item, in the order of the group. */
	tokens: readonly number[];
	/** The parts that all prompts of the group begin with, in order. */
	shared: readonly PromptPart[];
}>;

/** Number of shared parts of a group that are stored. Later parts count as the items' own. */
const maxSharedParts = 8;
/** A plan that is larger with the prompts is stored without them. Rows of the store are limited to 65,536 bytes. */
export const maxPlanBytesWithPrompts = 60_000;

/** Returns the prompts of a group, or undefined if the tokens of any item are unknown. */
export function groupPromptOf(items: readonly BatchItem[]): GroupPrompt | undefined {
	const tokens: number[] = [];
	for (const {promptTokens} of items) {
		if (promptTokens === undefined) {
			return undefined;
		}

		tokens.push(promptTokens);
	}

	const first = items[0]?.promptParts ?? [];
	const isShared = (part: PromptPart, index: number) => items.every(({promptParts}) => promptParts?.[index]?.id === part.id && promptParts[index].tokens === part.tokens);
	const end = first.findIndex((part, index) => !isShared(part, index));
	return {tokens, shared: first.slice(0, Math.min(maxSharedParts, end === -1 ? first.length : end))};
}

/** Returns the field of a plan's row that holds the prompts. Items with equally many tokens take one number. */
export function encodePrompts(groups: readonly GroupPlan[]): unknown[] {
	return groups.map(({prompt}) => prompt === undefined
		? null
		: [new Set(prompt.tokens).size === 1 ? prompt.tokens[0] : prompt.tokens, prompt.shared.flatMap(({id, tokens}) => [id, tokens])]);
}

/** Decodes the prompts of a group with `count` items. Returns undefined for anything else, since a batch can be run without them. */
export function decodePrompt(field: unknown, count: number): GroupPrompt | undefined {
	if (!Array.isArray(field) || !Array.isArray(field[1])) {
		return undefined;
	}

	const [encoded, parts] = field as [unknown, unknown[]];
	const tokens: unknown[] = Array.isArray(encoded) ? encoded : Array.from({length: count}, () => encoded);
	const shared: PromptPart[] = [];
	for (let index = 0; index < parts.length; index += 2) {
		const [id, size] = parts.slice(index, index + 2);
		if (typeof id !== 'string' || !isCount(size)) {
			return undefined;
		}

		shared.push({id, tokens: size});
	}

	return tokens.length === count && tokens.every(value => isCount(value)) ? {tokens, shared} : undefined;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}
