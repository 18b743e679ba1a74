/**
Token rate caps of members. The daemon asks the meter of a capped member before a request runs, and runs the meters of the
members that it owns.
*/

import {
	createMeter, decideMeter, type CapRow, type CapSettings, type MeterAction, type MeterEvent, type MeterState,
} from '@cicadapost/caps';
import {ownerInDataCentre, type MembershipState} from '@cicadapost/membership';
import type {DataCentreConfiguration} from '@cicadapost/settings';
import type {
	CallId, DaemonId, DataCentreId, MemberId, Millis, PeerMessage, Request, RequestId, RowResponse,
} from '@cicadapost/types';

export const capsTable = 'caps';
const callPrefix = 'caps:';
/** Unused allowances expire after this time, so that they can't add up to a second burst. */
const allowanceLifetimeMs = 200;
/** A meter that does not answer for longer than this is considered unreachable, and the request is refused. */
const meterTimeoutMs = 500;
const meterUnavailableRetryMs = 1000;

type Allowance = {tokens: number; expiresAt: Millis};

type PendingRequest = Readonly<{request: Request; askedAt: Millis}>;

export type CapsState = {
	/** Meters of the members that this daemon owns in its data centre. */
	meters: Map<MemberId, MeterState>;
	/** Latest known rows, for a meter that starts while the store is unreachable. */
	rows: Map<MemberId, Readonly<{version: number; row: CapRow}>>;
	allowances: Map<MemberId, Allowance>;
	/** Requests that wait for the answer of their meter. */
	pending: Map<RequestId, PendingRequest>;
	/** Tokens that were allowed to running requests. */
	used: Map<RequestId, Readonly<{member: MemberId; tokens: number; promptTokens: number}>>;
};

export type CapsAction =
	| Readonly<{kind: 'send'; to: DaemonId; message: PeerMessage}>
	| Readonly<{kind: 'start'; request: Request}>
	| Readonly<{kind: 'refuse'; request: Request; retryAfterMs: Millis}>
	| Readonly<{kind: 'read-row'; call: CallId; table: string; key: string}>
	| Readonly<{kind: 'write-row'; call: CallId; table: string; key: string; expectedVersion: number; value: string}>;

/** Daemon state that the functions of this module depend on. */
export type CapsContext = Readonly<{
	site: DataCentreConfiguration;
	configurationVersion: number;
	membership: MembershipState;
	incarnation: number;
	now: Millis;
}>;

type CapMessage = Extract<PeerMessage, {kind: `cap-${string}`}>;

export function createCaps(): CapsState {
	return {
		meters: new Map(), rows: new Map(), allowances: new Map(), pending: new Map(), used: new Map(),
	};
}

export function isCapsCall(call: CallId): boolean {
	return call.startsWith(callPrefix);
}

export function isCapMessage(message: PeerMessage): message is CapMessage {
	return message.kind.startsWith('cap-');
}

function capSettingsOf(context: CapsContext, member: string): CapSettings | undefined {
	const cap = context.site.members[member]?.cap;
	return cap === undefined
		? undefined
		: {cap: cap.tokensPerSecond, dataCentres: Object.keys(context.site.dataCentres) as DataCentreId[], configurationVersion: context.configurationVersion};
}

function meterOwner(context: CapsContext, dataCentre: DataCentreId, member: MemberId): DaemonId | undefined {
	return ownerInDataCentre(context.membership, dataCentre, `caps/${member}`);
}

/** Starts a request, or first asks the meter if its member has a cap and no sufficient allowance is left. */
export function admitRequest(caps: CapsState, request: Request, context: CapsContext): CapsAction[] {
	const {member, requestId, fingerprint} = request;
	if (capSettingsOf(context, member) === undefined) {
		return [{kind: 'start', request}];
	}

	const tokens = request.promptTokens + request.maxTokens;
	const allowance = caps.allowances.get(member);
	if (allowance !== undefined && allowance.expiresAt > context.now && allowance.tokens >= tokens) {
		allowance.tokens -= tokens;
		caps.used.set(requestId, {member, tokens, promptTokens: request.promptTokens});
		return [{kind: 'start', request}];
	}

	const meter = meterOwner(context, context.membership.dataCentre, member);
	if (meter === undefined) {
		return [{kind: 'refuse', request, retryAfterMs: meterUnavailableRetryMs}];
	}

	caps.pending.set(requestId, {request, askedAt: context.now});
	return [{
		kind: 'send', to: meter, message: {
			kind: 'cap-ask', member, requestId, fingerprint, tokens,
		},
	}];
}

/** Tokens that a request has used of its allowance. */
export type CapUsage =
	| Readonly<{kind: 'completed'; tokens: number}>
	| Readonly<{kind: 'not-sent'}>
	/** The request may have generated tokens that were not counted. */
	| Readonly<{kind: 'unknown'}>;

function countUsedTokens(used: Readonly<{tokens: number; promptTokens: number}>, use: CapUsage): number {
	switch (use.kind) {
		case 'completed': {
			return used.promptTokens + use.tokens;
		}

		case 'not-sent': {
			return 0;
		}

		case 'unknown': {
			return used.tokens;
		}
	}
}

/** Ends a request and returns its unused tokens to the meter. If its usage is unknown, the whole allowance counts as used. */
export function settleRequest(caps: CapsState, requestId: RequestId, use: CapUsage, context: CapsContext): CapsAction[] {
	const used = caps.used.get(requestId);
	caps.pending.delete(requestId);
	caps.used.delete(requestId);
	if (used === undefined) {
		return [];
	}

	const tokens = used.tokens - countUsedTokens(used, use);
	const meter = meterOwner(context, context.membership.dataCentre, used.member);
	return tokens > 0 && meter !== undefined ? [{kind: 'send', to: meter, message: {kind: 'cap-return', member: used.member, tokens}}] : [];
}

function updateMeter(caps: CapsState, member: MemberId, event: MeterEvent, context: CapsContext): CapsAction[] {
	const meter = caps.meters.get(member);
	if (meter === undefined) {
		return [];
	}

	const outcome = decideMeter(meter, event, context.now);
	caps.meters.set(member, outcome.state);
	return outcome.actions.flatMap(action => applyMeterAction(caps, member, action, context));
}

function applyMeterAction(caps: CapsState, member: MemberId, action: MeterAction, context: CapsContext): CapsAction[] {
	switch (action.kind) {
		case 'allow': {
			return [{
				kind: 'send', to: action.to, message: {
					kind: 'cap-allow', member, requestId: action.requestId, tokens: action.tokens,
				},
			}];
		}

		case 'deny': {
			return [{
				kind: 'send', to: action.to, message: {
					kind: 'cap-deny', member, requestId: action.requestId, retryAfterMs: action.retryAfterMs,
				},
			}];
		}

		case 'read-row':
		case 'write-row': {
			return [{...action, table: capsTable, key: member}];
		}

		case 'send-demand': {
			const {dataCentre} = context.membership;
			return remoteMeterOwners(context, member).map(to => ({
				kind: 'send', to, message: {
					kind: 'cap-demand', member, dataCentre, tokensPerSecond: action.tokensPerSecond, version: action.version,
				},
			}));
		}

		case 'share-parts': {
			cacheRow(caps, member, action);
			const message: PeerMessage = {
				kind: 'cap-parts', member, version: action.version, row: action.row,
			};
			const localPeers = [...context.membership.peers].filter(([, peer]) => peer.dataCentre === context.membership.dataCentre).map(([daemon]) => daemon);
			return [...localPeers, ...remoteMeterOwners(context, member)].map(to => ({kind: 'send', to, message}));
		}
	}
}

function remoteMeterOwners(context: CapsContext, member: MemberId): DaemonId[] {
	return Object.keys(context.site.dataCentres)
		.filter(dataCentre => dataCentre !== context.membership.dataCentre)
		.flatMap(dataCentre => meterOwner(context, dataCentre as DataCentreId, member) ?? []);
}

function cacheRow(caps: CapsState, member: MemberId, known: Readonly<{version: number; row: CapRow}>): void {
	if (known.version > (caps.rows.get(member)?.version ?? 0)) {
		caps.rows.set(member, {version: known.version, row: known.row});
	}
}

function receiveAllowance(caps: CapsState, message: Extract<CapMessage, {kind: 'cap-allow'}>, context: CapsContext): CapsAction[] {
	const pendingRequest = caps.pending.get(message.requestId);
	caps.pending.delete(message.requestId);
	const needed = pendingRequest === undefined ? 0 : pendingRequest.request.promptTokens + pendingRequest.request.maxTokens;
	const allowance = caps.allowances.get(message.member);
	const remainingTokens = allowance !== undefined && allowance.expiresAt > context.now ? allowance.tokens : 0;
	caps.allowances.set(message.member, {tokens: remainingTokens + message.tokens - needed, expiresAt: context.now + allowanceLifetimeMs});
	if (pendingRequest === undefined) {
		return [];
	}

	caps.used.set(message.requestId, {member: message.member, tokens: needed, promptTokens: pendingRequest.request.promptTokens});
	return [{kind: 'start', request: pendingRequest.request}];
}

export function receiveCapMessage(caps: CapsState, from: DaemonId, message: CapMessage, context: CapsContext): CapsAction[] {
	const {member} = message;
	switch (message.kind) {
		case 'cap-ask': {
			if (!caps.meters.has(member)) {
				return [{
					kind: 'send', to: from, message: {
						kind: 'cap-deny', member, requestId: message.requestId, retryAfterMs: meterUnavailableRetryMs,
					},
				}];
			}

			return updateMeter(caps, member, {...message, kind: 'ask', from}, context);
		}

		case 'cap-allow': {
			return receiveAllowance(caps, message, context);
		}

		case 'cap-deny': {
			const pendingRequest = caps.pending.get(message.requestId);
			caps.pending.delete(message.requestId);
			return pendingRequest === undefined ? [] : [{kind: 'refuse', request: pendingRequest.request, retryAfterMs: message.retryAfterMs}];
		}

		case 'cap-return': {
			return updateMeter(caps, member, {kind: 'return', tokens: message.tokens}, context);
		}

		case 'cap-demand': {
			return updateMeter(caps, member, {...message, kind: 'demand'}, context);
		}

		case 'cap-parts': {
			cacheRow(caps, member, message);
			return updateMeter(caps, member, {...message, kind: 'parts'}, context);
		}
	}
}

/** Starts the meters that this daemon now owns and drops the others. */
export function refreshMeters(caps: CapsState, context: CapsContext): void {
	const {self, dataCentre} = context.membership;
	for (const member of caps.meters.keys()) {
		if (capSettingsOf(context, member) === undefined || meterOwner(context, dataCentre, member) !== self) {
			caps.meters.delete(member);
		}
	}

	for (const name of Object.keys(context.site.members)) {
		const member = name as MemberId;
		const settings = capSettingsOf(context, member);
		if (settings === undefined || meterOwner(context, dataCentre, member) !== self) {
			continue;
		}

		const cachedRow = caps.rows.get(member);
		if (!caps.meters.has(member)) {
			caps.meters.set(member, createMeter({
				member, dataCentre, settings, ...(cachedRow === undefined ? {} : {known: cachedRow}),
			}, context.now));
		}

		updateMeter(caps, member, {kind: 'configured', settings}, context);
	}
}

export function receiveCapRow(caps: CapsState, call: CallId, answer: RowResponse, context: CapsContext): CapsAction[] {
	const member = [...caps.meters].find(([, meter]) => meter.pending?.call === call)?.[0];
	return member === undefined ? [] : updateMeter(caps, member, {kind: 'row-answer', call, answer}, context);
}

/** Refuses requests whose meter does not answer in time, and lets the meters move parts of the caps between data centres. */
export function tickCaps(caps: CapsState, context: CapsContext): CapsAction[] {
	const actions: CapsAction[] = [];
	for (const [requestId, {request, askedAt}] of caps.pending) {
		if (context.now - askedAt > meterTimeoutMs) {
			caps.pending.delete(requestId);
			actions.push({kind: 'refuse', request, retryAfterMs: meterUnavailableRetryMs});
		}
	}

	for (const member of caps.meters.keys()) {
		const call = `${callPrefix}${context.membership.self}.${context.incarnation}.${member}.${context.now}` as CallId;
		actions.push(...updateMeter(caps, member, {kind: 'tick', call}, context));
	}

	return actions;
}
