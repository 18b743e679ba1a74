import {
	decodeList, encodeList, joinChunks, splitValue, type ValueChunk,
} from '@cicadapost/store';
import type {
	BatchId, DaemonIncarnation, ItemId, Millis, ModelId, RequestId, SoftwareVersion, TeamId,
} from '@cicadapost/types';
import type {
	BatchItem, BatchPlan, ClaimedText, GroupPlan, ItemClaim, RewardCall, SampleResult, SampleText,
} from './batch.js';
import {decodePrompt, encodePrompts, maxPlanBytesWithPrompts} from './group-prompt.js';
import type {ResultReference} from './result-order.js';

/** Table that all daemons follow, with plans, claims and end markers. Each batch is a part of the table. */
export const batchTable = 'batches';
/** Table of the request bodies of items. */
export const bodyTable = 'bodies';
/** Table of listed results. */
export const resultTable = 'results';
/** Table with a row for each transaction that has listed results. The versions of these rows order the results of a batch. */
export const listingTable = 'listings';
/** Table of the partial output of unfinished runs. */
export const partialTable = 'partials';

export const planKey = 'plan';
export const endKey = 'end';
const claimPrefix = 'claim/';
/** Number of fields of a plan without reward calls, team and prompts. */
const commonPlanFields = 8;

/** Thrown for a row that does not have the shape that this version of cicadapost writes. */
export class RowShapeError extends Error {
	constructor(subject: string) {
		super(`${subject} has an unknown shape; check that all daemons run the same version and that nothing else writes to this table`);
		this.name = 'RowShapeError';
	}
}

/** Decodes the fields of a row. Whatever is wrong with them, the only error is a `RowShapeError`, which no daemon ends with. */
function decodeRow<Decoded>(value: Uint8Array, subject: string, decode: (fields: unknown[]) => Decoded | undefined): Decoded {
	const fields = decodeList(value);
	let decoded: Decoded | undefined;
	try {
		decoded = fields === undefined ? undefined : decode(fields);
	} catch {
		// A field of another type than expected; the error below names the row.
	}

	if (decoded === undefined) {
		throw new RowShapeError(subject);
	}

	return decoded;
}

export function claimKey(group: number): string {
	return claimPrefix + padNumber(group);
}

/** Returns the group of the key of a claim row, or undefined for any other key. */
export function groupOfKey(key: string): number | undefined {
	return key.startsWith(claimPrefix) ? Number(key.slice(claimPrefix.length)) : undefined;
}

/** Pads a number with zeros, so that keys sort in numerical order. */
function padNumber(number: number): string {
	return String(number).padStart(6, '0');
}

/** Encodes a plan. Prompts are left out if the row would be too large with them. */
export function encodePlan(plan: BatchPlan): Uint8Array {
	const fields = planFields(plan);
	if (plan.groups.every(({prompt}) => prompt === undefined)) {
		return encodeList(fields);
	}

	// Earlier builds read the fields of the model and the team only if they are strings, and no further ones.
	const [model = null, team = null] = fields.slice(commonPlanFields);
	const encoded = encodeList([...fields.slice(0, commonPlanFields), model, team, encodePrompts(plan.groups)]);
	return encoded.length > maxPlanBytesWithPrompts ? encodeList(fields) : encoded;
}

function planFields(plan: BatchPlan): unknown[] {
	return [
		plan.host,
		plan.path,
		plan.step,
		// Builds that can't send reward calls read the field of the model here. No engine has a model without a name, so they leave the batch alone.
		plan.hasRewards === true ? '' : plan.model,
		plan.minVersion,
		plan.targetGroups,
		plan.submittedAt,
		plan.groups.map(group => group.items.map(item => [item.id, item.expectedTokens])),
		// Earlier builds read this field only if it is a string.
		...(plan.hasRewards === true ? [plan.model] : (plan.team === undefined ? [] : [null])),
		...(plan.team === undefined ? [] : [plan.team]),
	];
}

export function decodePlan(value: Uint8Array): BatchPlan {
	return decodeRow(value, 'the plan of a batch', ([host, path, step, model, minVersion, targetGroups, submittedAt, groups, modelWithRewards, team, prompts]) => {
		if (typeof host !== 'string' || typeof path !== 'string' || typeof model !== 'string' || typeof submittedAt !== 'number') {
			return undefined;
		}

		return {
			host,
			path,
			step: Number(step),
			model: (typeof modelWithRewards === 'string' ? modelWithRewards : model) as ModelId,
			minVersion: Number(minVersion),
			targetGroups: Number(targetGroups),
			submittedAt,
			groups: (groups as Array<Array<[string, number]>>).map((items, group): GroupPlan => {
				const prompt = Array.isArray(prompts) ? decodePrompt(prompts[group], items.length) : undefined;
				return {items: items.map(([id, expectedTokens]) => ({id: id as ItemId, expectedTokens})), ...(prompt === undefined ? {} : {prompt})};
			}),
			...(typeof modelWithRewards === 'string' ? {hasRewards: true} : {}),
			...(typeof team === 'string' ? {team: team as TeamId} : {}),
		};
	});
}

const claimCodes = {
	open: 0, running: 1, listed: 2, rewarding: 3,
} as const;

export function encodeClaims(claims: readonly ItemClaim[]): Uint8Array {
	return encodeList(claims.map(claim => claimFields(claim)));
}

function claimFields(claim: ItemClaim): unknown[] {
	switch (claim.kind) {
		case 'open': {
			return [claimCodes.open, claim.failures, claim.hasPartialText, null, null, claim.textVersion];
		}

		case 'running': {
			return [claimCodes.running, claim.failures, claim.hasPartialText, claim.incarnation, claim.engine, claim.textVersion];
		}

		case 'rewarding': {
			return [claimCodes.rewarding, claim.failures, claim.hasPartialText, claim.incarnation ?? null, null, claim.textVersion, claim.rewardFailures];
		}

		case 'listed': {
			return [claimCodes.listed];
		}
	}
}

export function decodeClaims(value: Uint8Array): ItemClaim[] {
	return decodeRow(value, 'a claim', claims => (claims as unknown[][]).map(fields => decodeClaim(fields)));
}

function decodeClaim([code, failures, hasPartialText, incarnation, engine, textVersion, rewardFailures]: readonly unknown[]): ItemClaim {
	const common: ClaimedText = {
		failures: Number(failures),
		hasPartialText: hasPartialText === true,
		textVersion: typeof textVersion === 'string' ? textVersion as SoftwareVersion : undefined,
	};
	switch (code) {
		case claimCodes.open: {
			return {kind: 'open', ...common};
		}

		case claimCodes.running: {
			return {
				kind: 'running', ...common, incarnation: String(incarnation), engine: String(engine),
			};
		}

		case claimCodes.rewarding: {
			return {
				kind: 'rewarding', ...common, incarnation: typeof incarnation === 'string' ? incarnation : undefined, rewardFailures: Number(rewardFailures),
			};
		}

		case claimCodes.listed: {
			return {kind: 'listed'};
		}

		default: {
			throw new RowShapeError('a claim');
		}
	}
}

/** Returns a key that no other transaction uses. Keys sort roughly by time, so that successive results can be read as a range. */
export function listingKey({storeTime, incarnation, sequence}: Readonly<{storeTime: Millis; incarnation: DaemonIncarnation; sequence: number}>): string {
	return `${String(Math.max(0, Math.round(storeTime))).padStart(15, '0')}.${incarnation}.${sequence}`;
}

/** Encodes a listing, which holds the number of results that its transaction has stored. */
export function encodeListing(results: number): Uint8Array {
	return encodeList([results]);
}

export function decodeListing(value: Uint8Array): number {
	return decodeRow(value, 'a listing', ([results]) => (typeof results === 'number' ? results : undefined));
}

function encodeText(text: SampleText): Uint8Array {
	return encodeList([text.events, text.lastEventId, text.versions, text.softwareVersion]);
}

function decodeText(value: Uint8Array): SampleText {
	return decodeRow(value, 'a partial text', ([events, lastEventId, versions, softwareVersion]) => {
		if (!Array.isArray(events) || typeof lastEventId !== 'number' || !Array.isArray(versions)) {
			return undefined;
		}

		return {
			events: events as string[], lastEventId, versions: versions as number[], softwareVersion: typeof softwareVersion === 'string' ? softwareVersion as SoftwareVersion : undefined,
		};
	});
}

/** Encodes the request bodies of a batch. The items of a group are stored together, so that a daemon only reads the groups that it runs. */
export function encodeBodies(groups: ReadonlyArray<readonly BatchItem[]>): ValueChunk[] {
	return groups.flatMap((items, group) => [...encodeGroupBodies(items, group)]);
}

/** Bodies of a group that have more bytes together are stored by item, since a daemon must not read them all to run one. */
const maxJointBytes = 256 * 1024;

/** Encodes the request bodies of one group. The rows of each item are encoded when they are asked for, so that only one is in memory. */
export function * encodeGroupBodies(items: readonly BatchItem[], group: number): Generator<ValueChunk> {
	const bytes = items.reduce((sum, {body, reward}) => sum + body.length + (reward?.body.length ?? 0), 0);
	if (bytes <= maxJointBytes) {
		yield * splitValue(padNumber(group), encodeList(items.map(item => bodyFields(item))));
		return;
	}

	for (const [index, item] of items.entries()) {
		yield * splitValue(itemBodyName(group, index), encodeList([bodyFields(item)]));
	}
}

function bodyFields({id, path, headers, body, reward}: BatchItem): unknown[] {
	return [id, path, headers, body, ...(reward === undefined ? [] : [rewardFields(reward)])];
}

/** Builds that know only groups read these rows as further values of the group. */
function itemBodyName(group: number, item: number): string {
	return `${padNumber(group)}/${padNumber(item)}`;
}

/** Whether the key of a row with bodies is that of a single item. */
export function isItemBodyKey(key: string): boolean {
	return key.split('/').length === 3;
}

/** Returns the range of the rows with the request body of an item, if those of its group are stored by item. */
export function itemBodyRange(batch: BatchId, group: number, item: number): Readonly<{table: string; part: string; from: string; to: string}> {
	const name = itemBodyName(group, item);
	return {
		table: bodyTable, part: batch, from: `${name}/`, to: `${name}0`,
	};
}

function rewardFields({id, host, path, body}: RewardCall): unknown[] {
	return [id, host, path, body];
}

function decodeReward(fields: unknown): RewardCall | undefined {
	if (!Array.isArray(fields)) {
		return undefined;
	}

	const [id, host, path, body] = fields as unknown[];
	return {
		id: String(id) as RequestId, host: String(host), path: String(path), body: body as Uint8Array,
	};
}

export type ItemBody = Readonly<{id: ItemId; path: string; headers: readonly string[]; body: Uint8Array; reward?: RewardCall | undefined}>;

export function decodeBodies(rows: readonly ValueChunk[]): ItemBody[] {
	return joinChunks(rows).flatMap(({value}) => decodeRow(value, 'bodies of a group', items => (items as unknown[][]).map(fields => decodeBody(fields))));
}

function decodeBody([id, path, headers, body, reward]: readonly unknown[]): ItemBody {
	if (!Array.isArray(headers) || !(body instanceof Uint8Array)) {
		throw new RowShapeError('bodies of a group');
	}

	return {
		id: String(id) as ItemId, path: String(path), headers: headers.map(String), body, reward: decodeReward(reward),
	};
}

/** Returns the range of the rows with the request bodies of a group. */
export function bodyRange(batch: BatchId, group: number): Readonly<{table: string; part: string; from: string; to: string}> {
	return {
		table: bodyTable, part: batch, from: `${padNumber(group)}/`, to: `${padNumber(group)}0`,
	};
}

/** Returns the key prefix of a result. */
function resultName({listing, index}: ResultReference): string {
	return `${listing}/${padNumber(index)}`;
}

export function encodeResult(reference: ResultReference, result: SampleResult): ValueChunk[] {
	return splitValue(resultName(reference), encodeList([result.id, result.state, result.output, result.versions, ...(result.score === undefined ? [] : [result.score])]));
}

/** Returns the smallest range of rows that holds all of the results. */
export function resultRange(batch: BatchId, references: readonly ResultReference[]): Readonly<{table: string; part: string; from: string; to: string}> {
	const listings = references.map(({listing}) => listing).sort();
	return {
		table: resultTable, part: batch, from: `${listings[0] ?? ''}/`, to: `${listings.at(-1) ?? ''}0`,
	};
}

/** Decodes results in the order of `references`, up to the first one that is missing from the rows. */
export function decodeResults(rows: readonly ValueChunk[], references: readonly ResultReference[]): SampleResult[] {
	const values = new Map(joinChunks(rows).map(({name, value}) => [name, value]));
	const results: SampleResult[] = [];
	for (const reference of references) {
		const value = values.get(resultName(reference));
		if (value === undefined) {
			break;
		}

		results.push(decodeRow(value, 'a result', ([id, state, output, versions, score]) => (Array.isArray(versions)
			? {
				id: String(id) as ItemId,
				state: state === 'completed' ? 'completed' : 'terminated',
				output: String(output),
				versions: versions as number[],
				...(typeof score === 'string' ? {score} : {}),
			}
			: undefined)));
	}

	return results;
}

/** Returns the key prefix of the partial output of an item. */
function partialKeyPrefix(group: number, item: number): string {
	return `${padNumber(group)}.${padNumber(item)}`;
}

export function encodePartial(group: number, item: number, text: SampleText): ValueChunk[] {
	return splitValue(partialKeyPrefix(group, item), encodeText(text));
}

/** Decodes the text that was stored last. Rows of an earlier one are left over if that had another number of chunks. */
export function decodePartial(rows: ReadonlyArray<ValueChunk & Readonly<{version: number}>>): SampleText | undefined {
	const newest = Math.max(...rows.map(({version}) => version));
	const [joined] = joinChunks(rows.filter(({version}) => version === newest));
	return joined === undefined ? undefined : decodeText(joined.value);
}

export function partialRange(batch: BatchId, group: number, item: number): Readonly<{table: string; part: string; from: string; to: string}> {
	const name = partialKeyPrefix(group, item);
	return {
		table: partialTable, part: batch, from: `${name}/`, to: `${name}0`,
	};
}
