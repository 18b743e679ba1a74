/** Which configuration is in effect, how it is accepted and how it is propagated. */

import type {
	CallId, DaemonId, Millis, Outcome, RowAnswer,
} from '@cicadapost/types';

/** Table and key of the accepted configuration. */
export const configurationTable = 'configuration';
export const configurationKey = 'current';

const pollIntervalMs = 5000;

export type ConfigurationEvent =
	/** An operator asks to replace version `expectedVersion` by `document`. */
	| Readonly<{kind: 'apply'; call: CallId; expectedVersion: number; document: string}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowAnswer}>
	| Readonly<{kind: 'offered'; version: number; document: string}>
	/** A peer's heartbeat names `version`. */
	| Readonly<{kind: 'peer-version'; from: DaemonId; version: number}>
	| Readonly<{kind: 'pulled'; from: DaemonId; haveVersion: number}>
	| Readonly<{kind: 'tick'; call: CallId}>;

export type ConfigurationAction =
	| Readonly<{kind: 'read-row'; call: CallId}>
	| Readonly<{kind: 'write-row'; call: CallId; expectedVersion: number; document: string}>
	| Readonly<{kind: 'in-effect'; version: number; document: string}>
	| Readonly<{kind: 'accepted'; call: CallId; version: number}>
	| Readonly<{kind: 'refused'; call: CallId; reason: 'conflict'; currentVersion: number; currentDocument: string}>
	| Readonly<{kind: 'refused'; call: CallId; reason: 'store-unavailable'}>
	| Readonly<{kind: 'push'; version: number; document: string}>
	| Readonly<{kind: 'send'; to: DaemonId; version: number; document: string}>
	| Readonly<{kind: 'pull'; from: DaemonId; haveVersion: number}>;

type Pending = Readonly<{purpose: 'poll'}> | Readonly<{purpose: 'apply'; document: string; expectedVersion: number}>;

export type ConfigurationState = {
	version: number;
	document: string;
	pending: Map<CallId, Pending>;
	nextPollAt: Millis;
};

export function createConfiguration(): ConfigurationState {
	return {
		version: 0, document: '', pending: new Map(), nextPollAt: 0,
	};
}

function adopt(state: ConfigurationState, version: number, document: string): ConfigurationAction[] {
	if (version <= state.version) {
		return [];
	}

	state.version = version;
	state.document = document;
	return [{kind: 'in-effect', version, document}, {kind: 'push', version, document}];
}

function receiveAnswer(state: ConfigurationState, event: Extract<ConfigurationEvent, {kind: 'answer'}>): ConfigurationAction[] {
	const pending = state.pending.get(event.call);
	state.pending.delete(event.call);
	const {answer} = event;
	if (pending === undefined) {
		return [];
	}

	if (pending.purpose === 'poll') {
		return answer.kind === 'row' ? adopt(state, answer.version, answer.value) : [];
	}

	switch (answer.kind) {
		case 'written': {
			return [...adopt(state, answer.version, pending.document), {kind: 'accepted', call: event.call, version: answer.version}];
		}

		case 'conflict': {
			return [...adopt(state, answer.version, answer.value), {
				kind: 'refused', call: event.call, reason: 'conflict', currentVersion: answer.version, currentDocument: answer.value,
			}];
		}

		default: {
			return [{kind: 'refused', call: event.call, reason: 'store-unavailable'}];
		}
	}
}

/** Decides about the configuration. Updates `state` in place and returns it. */
export function decideConfiguration(state: ConfigurationState, event: ConfigurationEvent, now: Millis): Outcome<ConfigurationState, ConfigurationAction> {
	switch (event.kind) {
		case 'apply': {
			const {call, document, expectedVersion} = event;
			state.pending.set(call, {purpose: 'apply', document, expectedVersion});
			return {
				state, actions: [{
					kind: 'write-row', call, expectedVersion, document,
				}],
			};
		}

		case 'answer': {
			return {state, actions: receiveAnswer(state, event)};
		}

		case 'offered': {
			return {state, actions: adopt(state, event.version, event.document)};
		}

		case 'peer-version': {
			const behind = event.version > state.version;
			return {state, actions: behind ? [{kind: 'pull', from: event.from, haveVersion: state.version}] : []};
		}

		case 'pulled': {
			const ahead = state.version > event.haveVersion;
			return {
				state, actions: ahead
					? [{
						kind: 'send', to: event.from, version: state.version, document: state.document,
					}]
					: [],
			};
		}

		case 'tick': {
			if (now < state.nextPollAt) {
				return {state, actions: []};
			}

			state.nextPollAt = now + pollIntervalMs;
			state.pending.set(event.call, {purpose: 'poll'});
			return {state, actions: [{kind: 'read-row', call: event.call}]};
		}
	}
}
