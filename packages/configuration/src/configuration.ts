/** Which configuration is in effect, how it is accepted and how it is propagated. */

import type {
	CallId, DaemonId, Millis, DecisionResult, RowResponse, RunOutcome,
} from '@cicadapost/types';
import {
	decodeStored, encodeStored, nextStored, readStored, type StoredConfiguration,
} from './stored-configuration.js';

/** Table and key of the accepted configuration. */
export const configurationTable = 'configuration';
export const configurationKey = 'current';

/** One daemon of each data centre reads the row this often: 8 reads a second in all at 8 data centres. */
const pollIntervalMs = 1000;
/** A poll without an answer for this long is given up. */
const pollTimeoutMs = 5000;
/** A store that came back with an older row is corrected at most this often by each data centre. */
const writeBackIntervalMs = 10_000;
/** Pause before a write whose answer was lost is read back again. */
const settleIntervalMs = 200;
/** After this time an operator is told that the outcome of the change is unknown. */
const settleLimitMs = 8000;
/** Pause between two pulls, since each answer carries the whole document. */
const pullIntervalMs = 500;
/** A version that was refused is neither pulled nor logged again for this long. */
const refusalPauseMs = 30_000;

export type ConfigurationEvent =
	/** An operator asks to replace version `expectedVersion` by `document`. `call` is unique and serves as the nonce. */
	| Readonly<{kind: 'apply'; call: CallId; expectedVersion: number; document: string}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowResponse}>
	/** A peer sent `configuration`, which has not been checked yet. */
	| Readonly<{kind: 'offered'; from: DaemonId; isLocal: boolean; passOn: boolean; configuration: unknown}>
	/** A peer's heartbeat names `version`. */
	| Readonly<{kind: 'peer-version'; from: DaemonId; version: number}>
	| Readonly<{kind: 'pulled'; from: DaemonId; haveVersion: number}>
	/** `isPoller`: this daemon reads the store for its data centre. */
	| Readonly<{kind: 'tick'; call: CallId; isPoller: boolean}>;

/** Who gets a configuration that is new to this daemon. */
export type PushScope =
	/** The daemons of the data centre; its gateways pass it on. */
	| 'everywhere'
	| 'data-centre'
	/** The data centres that this daemon is a gateway for. */
	| 'other-data-centres';

export type ConfigurationAction =
	| Readonly<{kind: 'read-row'; call: CallId}>
	| Readonly<{kind: 'write-row'; call: CallId; expectedVersion: number; value: string}>
	| Readonly<{kind: 'in-effect'; version: number; document: string}>
	| Readonly<{kind: 'accepted'; call: CallId; version: number}>
	| Readonly<{kind: 'refused'; call: CallId; reason: 'conflict'; currentVersion: number; currentDocument: string}>
	/** `outcome` is `unknown` if a write may still take effect. */
	| Readonly<{kind: 'refused'; call: CallId; reason: 'store-unavailable'; outcome: RunOutcome}>
	| Readonly<{kind: 'refused'; call: CallId; reason: 'unreadable' | 'invalid'; detail: string}>
	| Readonly<{kind: 'push'; scope: PushScope; configuration: StoredConfiguration}>
	| Readonly<{kind: 'send'; to: DaemonId; configuration: StoredConfiguration}>
	| Readonly<{kind: 'pull'; from: DaemonId; haveVersion: number}>
	/** A store or a peer gave something that is not a valid configuration. Nothing has changed. */
	| Readonly<{kind: 'rejected'; source: string; detail: string}>;

/** Tells what is wrong with a document, or undefined if nothing is. */
export type CheckDocument = (document: string) => string | undefined;

/** A change that an operator waits for. */
type Apply = {
	readonly document: string;
	readonly expectedVersion: number;
	readonly giveUpAt: Millis;
	/** The write that was sent, so that it can be repeated unchanged. */
	write: Readonly<{rowVersion: number; next: StoredConfiguration}> | undefined;
	/** When to read back after a lost answer. */
	readBackAt: Millis | undefined;
};

export type ConfigurationState = {
	/** 0 before the first configuration. */
	version: number;
	document: string;
	nonces: readonly string[];
	applies: Map<CallId, Apply>;
	poll: Readonly<{call: CallId; at: Millis}> | undefined;
	writeBack: CallId | undefined;
	nextPollAt: Millis;
	nextWriteBackAt: Millis;
	nextPullAt: Millis;
	refusal: Readonly<{version: number; until: Millis}> | undefined;
};

export function createConfiguration(): ConfigurationState {
	return {
		version: 0,
		document: '',
		nonces: [],
		applies: new Map(),
		poll: undefined,
		writeBack: undefined,
		nextPollAt: 0,
		nextWriteBackAt: 0,
		nextPullAt: 0,
		refusal: undefined,
	};
}

/** One decision: the state, the time and the check of documents, so that the steps below need not pass them on. */
class Step {
	readonly actions: ConfigurationAction[] = [];

	constructor(
		private readonly state: ConfigurationState,
		private readonly now: Millis,
		private readonly check: CheckDocument,
	) {}

	apply(event: Extract<ConfigurationEvent, {kind: 'apply'}>): void {
		const {call, document, expectedVersion} = event;
		const fault = this.check(document);
		if (fault !== undefined) {
			this.actions.push({
				kind: 'refused', call, reason: 'invalid', detail: fault,
			});
			return;
		}

		if (expectedVersion < this.state.version) {
			this.conflict(call);
			return;
		}

		this.state.applies.set(call, {
			document, expectedVersion, giveUpAt: this.now + settleLimitMs, write: undefined, readBackAt: undefined,
		});
		this.actions.push({kind: 'read-row', call});
	}

	answer(call: CallId, answer: RowResponse): void {
		const apply = this.state.applies.get(call);
		if (apply !== undefined) {
			this.continueApply(call, apply, answer);
		} else if (this.state.poll?.call === call) {
			this.state.poll = undefined;
			this.polled(call, answer);
		} else if (this.state.writeBack === call) {
			this.state.writeBack = undefined;
			if (answer.kind === 'conflict') {
				this.adoptValue(answer.value);
			}
		}
	}

	offered(event: Extract<ConfigurationEvent, {kind: 'offered'}>): void {
		const scope: PushScope | undefined = event.isLocal ? 'other-data-centres' : 'data-centre';
		readStored(event.configuration).caseOf({
			Left: detail => {
				this.reject(0, event.from, detail);
			},
			Right: stored => {
				this.adopt(stored, event.from, event.isLocal && !event.passOn ? undefined : scope);
			},
		});
	}

	peerVersion(from: DaemonId, version: number): void {
		const isRefused = this.state.refusal?.version === version && this.now < this.state.refusal.until;
		if (version > this.state.version && this.now >= this.state.nextPullAt && !isRefused) {
			this.state.nextPullAt = this.now + pullIntervalMs;
			this.actions.push({kind: 'pull', from, haveVersion: this.state.version});
		}
	}

	pulled(from: DaemonId, haveVersion: number): void {
		if (this.state.version > haveVersion) {
			this.actions.push({kind: 'send', to: from, configuration: this.current()});
		}
	}

	tick(call: CallId, isPoller: boolean): void {
		for (const [applyCall, apply] of this.state.applies) {
			if (apply.readBackAt !== undefined && this.now >= apply.readBackAt) {
				apply.readBackAt = undefined;
				this.actions.push({kind: 'read-row', call: applyCall});
			}
		}

		const isFree = this.state.poll === undefined || this.now - this.state.poll.at > pollTimeoutMs;
		if (isPoller && isFree && this.now >= this.state.nextPollAt) {
			this.state.nextPollAt = this.now + pollIntervalMs;
			this.state.poll = {call, at: this.now};
			this.actions.push({kind: 'read-row', call});
		}
	}

	private current(): StoredConfiguration {
		const {version, document, nonces} = this.state;
		return {version, document, nonces};
	}

	private polled(call: CallId, answer: RowResponse): void {
		if (answer.kind === 'absent') {
			this.writeBack(call, 0, 0);
		}

		if (answer.kind === 'row') {
			const stored = this.adoptValue(answer.value);
			this.writeBack(call, answer.version, stored?.version ?? Number.POSITIVE_INFINITY);
		}
	}

	/** Corrects a store whose version is lower than the one that is known to have been accepted. */
	private writeBack(call: CallId, rowVersion: number, storedVersion: number): void {
		if (storedVersion < this.state.version && this.now >= this.state.nextWriteBackAt) {
			this.state.nextWriteBackAt = this.now + writeBackIntervalMs;
			this.state.writeBack = call;
			this.actions.push({
				kind: 'write-row', call, expectedVersion: rowVersion, value: encodeStored(this.current()),
			});
		}
	}

	/** Takes the value of the row into account. Undefined if it can't be read. */
	private adoptValue(value: string): StoredConfiguration | undefined {
		return decodeStored(value).caseOf({
			Left: detail => {
				this.reject(0, 'the table service', detail);
				return undefined;
			},
			Right: stored => {
				this.adopt(stored, 'the table service', 'data-centre');
				return stored;
			},
		});
	}

	/** The highest version wins; a lower one is ignored whatever its source. */
	private adopt(stored: StoredConfiguration, source: string, scope: PushScope | undefined): void {
		if (stored.version <= this.state.version) {
			return;
		}

		const fault = this.check(stored.document);
		if (fault !== undefined) {
			this.reject(stored.version, source, `version ${stored.version}: ${fault}`);
			return;
		}

		this.state.version = stored.version;
		this.state.document = stored.document;
		this.state.nonces = stored.nonces;
		this.actions.push({kind: 'in-effect', version: stored.version, document: stored.document});
		if (scope !== undefined) {
			this.actions.push({kind: 'push', scope, configuration: stored});
		}
	}

	private reject(version: number, source: string, detail: string): void {
		const {refusal} = this.state;
		if (refusal?.version !== version || this.now >= refusal.until) {
			this.state.refusal = {version, until: this.now + refusalPauseMs};
			this.actions.push({kind: 'rejected', source, detail});
		}
	}

	private continueApply(call: CallId, apply: Apply, answer: RowResponse): void {
		switch (answer.kind) {
			case 'written': {
				this.accept(call, apply);
				break;
			}

			case 'unavailable': {
				this.readBackLater(call, apply);
				break;
			}

			case 'absent': {
				this.applyOver(call, apply, 0);
				break;
			}

			case 'row':
			case 'conflict': {
				decodeStored(answer.value).caseOf({
					Left: detail => {
						this.finish(call, {
							kind: 'refused', call, reason: 'unreadable', detail,
						});
					},
					Right: stored => {
						this.adopt(stored, 'the table service', 'data-centre');
						this.applyOver(call, apply, answer.version, stored);
					},
				});
				break;
			}
		}
	}

	/** Continues with the row as it is now: it shows the change, allows to write it, or shows another one. */
	private applyOver(call: CallId, apply: Apply, rowVersion: number, stored?: StoredConfiguration): void {
		if (stored?.nonces.includes(call) === true) {
			this.accept(call, apply);
			return;
		}

		if (apply.write !== undefined && apply.write.rowVersion !== rowVersion) {
			const changesSince = (stored?.version ?? 0) - apply.write.next.version;
			if (stored === undefined || changesSince >= stored.nonces.length) {
				this.finish(call, {
					kind: 'refused', call, reason: 'store-unavailable', outcome: 'unknown',
				});
				return;
			}

			this.conflict(call, stored);
			return;
		}

		const known = stored !== undefined && stored.version >= this.state.version ? stored : this.current();
		if (known.version !== apply.expectedVersion) {
			this.conflict(call, stored);
			return;
		}

		// The repeat of a lost write is the same value over the same row version, so it takes effect at most once.
		apply.write ??= {rowVersion, next: nextStored(known.version, known.nonces, {document: apply.document, nonce: call})};
		this.actions.push({
			kind: 'write-row', call, expectedVersion: rowVersion, value: encodeStored(apply.write.next),
		});
	}

	private readBackLater(call: CallId, apply: Apply): void {
		if (apply.write === undefined || this.now >= apply.giveUpAt) {
			this.finish(call, {
				kind: 'refused', call, reason: 'store-unavailable', outcome: apply.write === undefined ? 'not-run' : 'unknown',
			});
			return;
		}

		apply.readBackAt = this.now + settleIntervalMs;
	}

	private accept(call: CallId, apply: Apply): void {
		const next = apply.write?.next;
		if (next !== undefined) {
			this.adopt(next, 'this daemon', 'everywhere');
			this.finish(call, {kind: 'accepted', call, version: next.version});
		}
	}

	private conflict(call: CallId, stored?: StoredConfiguration): void {
		const known = stored !== undefined && stored.version > this.state.version ? stored : this.current();
		this.finish(call, {
			kind: 'refused', call, reason: 'conflict', currentVersion: known.version, currentDocument: known.document,
		});
	}

	private finish(call: CallId, action: ConfigurationAction): void {
		this.state.applies.delete(call);
		this.actions.push(action);
	}
}

/** Decides about the configuration. Updates `state` in place and returns it. `check` is asked before a document comes into effect. */
export function decideConfiguration(state: ConfigurationState, event: ConfigurationEvent, now: Millis, check: CheckDocument): DecisionResult<ConfigurationState, ConfigurationAction> {
	const step = new Step(state, now, check);
	switch (event.kind) {
		case 'apply': {
			step.apply(event);
			break;
		}

		case 'answer': {
			step.answer(event.call, event.answer);
			break;
		}

		case 'offered': {
			step.offered(event);
			break;
		}

		case 'peer-version': {
			step.peerVersion(event.from, event.version);
			break;
		}

		case 'pulled': {
			step.pulled(event.from, event.haveVersion);
			break;
		}

		case 'tick': {
			step.tick(event.call, event.isPoller);
			break;
		}
	}

	return {state, actions: step.actions};
}
