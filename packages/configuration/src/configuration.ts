/** Decides which configuration is in effect, how changes to it are accepted and how they are propagated. */

import type {
	CallId, DaemonId, Millis, DecisionResult, RowResponse, RunOutcome,
} from '@cicadapost/types';
import {
	decodeStoredConfiguration, encodeStoredConfiguration, createNextConfiguration, parseStoredConfiguration, type StoredConfiguration,
} from './stored-configuration.js';

/** Table and key of the accepted configuration. */
export const configurationTable = 'configuration';
export const configurationKey = 'current';

/** One daemon of each data centre reads the row at this interval: with 8 data centres, 8 reads per second in total. */
const pollIntervalMs = 1000;
/** A poll without a response for this long is abandoned. */
const pollTimeoutMs = 5000;
/** Minimum interval between the writes by which each data centre corrects a store that was restored with an older row. */
const writeBackIntervalMs = 10_000;
/** Delay before the row is read back after the response to a write was lost. */
const readBackDelayMs = 200;
/** If a change is still unresolved after this time, the operator is told that its outcome is unknown. */
const applyTimeoutMs = 8000;
/** Minimum interval between pulls, since each response carries the whole document. */
const pullIntervalMs = 500;
/** A version that was rejected is neither pulled nor logged again for this long. */
const rejectionRetryMs = 30_000;

export type ConfigurationEvent =
	/** An operator asks to replace version `expectedVersion` with `document`. `call` is unique and serves as the nonce. */
	| Readonly<{kind: 'apply'; call: CallId; expectedVersion: number; document: string}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowResponse}>
	/** A peer sent `configuration`, which has not been validated yet. */
	| Readonly<{kind: 'offered'; from: DaemonId; isLocal: boolean; passOn: boolean; configuration: unknown}>
	/** A peer's heartbeat reports `version`. */
	| Readonly<{kind: 'peer-version'; from: DaemonId; version: number}>
	| Readonly<{kind: 'pulled'; from: DaemonId; haveVersion: number}>
	/** `isPoller`: this daemon reads the store for its data centre. */
	| Readonly<{kind: 'tick'; call: CallId; isPoller: boolean}>;

/** Recipients of a configuration that is new to this daemon. */
export type PushScope =
	/** The daemons of the data centre; its gateways forward it to other data centres. */
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
	/** The store or a peer sent an invalid configuration. The configuration in effect has not changed. */
	| Readonly<{kind: 'rejected'; source: string; detail: string}>;

/** Returns what is wrong with a document, or undefined if it is valid. */
export type CheckDocument = (document: string) => string | undefined;

/** A change whose result an operator is waiting for. */
type PendingApply = {
	readonly document: string;
	readonly expectedVersion: number;
	readonly expiresAt: Millis;
	/** The write that was sent, so that it can be repeated unchanged. */
	attemptedWrite: Readonly<{rowVersion: number; configuration: StoredConfiguration}> | undefined;
	/** When to read the row back after a lost response. */
	readBackAt: Millis | undefined;
};

export type ConfigurationState = {
	/** 0 before the first configuration. */
	version: number;
	document: string;
	nonces: readonly string[];
	pendingApplies: Map<CallId, PendingApply>;
	pendingPoll: Readonly<{call: CallId; at: Millis}> | undefined;
	pendingWriteBack: CallId | undefined;
	nextPollAt: Millis;
	nextWriteBackAt: Millis;
	nextPullAt: Millis;
	rejection: Readonly<{version: number; until: Millis}> | undefined;
};

export function createConfigurationState(): ConfigurationState {
	return {
		version: 0,
		document: '',
		nonces: [],
		pendingApplies: new Map(),
		pendingPoll: undefined,
		pendingWriteBack: undefined,
		nextPollAt: 0,
		nextWriteBackAt: 0,
		nextPullAt: 0,
		rejection: undefined,
	};
}

/** Handles one event. Holds the state, the time and the check of documents, so that the methods need not pass them on. */
class ConfigurationDecision {
	readonly actions: ConfigurationAction[] = [];

	constructor(
		private readonly state: ConfigurationState,
		private readonly now: Millis,
		private readonly check: CheckDocument,
	) {}

	handleApply(event: Extract<ConfigurationEvent, {kind: 'apply'}>): void {
		const {call, document, expectedVersion} = event;
		const documentError = this.check(document);
		if (documentError !== undefined) {
			this.actions.push({
				kind: 'refused', call, reason: 'invalid', detail: documentError,
			});
			return;
		}

		if (expectedVersion < this.state.version) {
			this.refuseConflict(call);
			return;
		}

		this.state.pendingApplies.set(call, {
			document, expectedVersion, expiresAt: this.now + applyTimeoutMs, attemptedWrite: undefined, readBackAt: undefined,
		});
		this.actions.push({kind: 'read-row', call});
	}

	handleAnswer(call: CallId, answer: RowResponse): void {
		const apply = this.state.pendingApplies.get(call);
		if (apply !== undefined) {
			this.handleApplyAnswer(call, apply, answer);
		} else if (this.state.pendingPoll?.call === call) {
			this.state.pendingPoll = undefined;
			this.handlePollAnswer(call, answer);
		} else if (this.state.pendingWriteBack === call) {
			this.state.pendingWriteBack = undefined;
			if (answer.kind === 'conflict') {
				this.adoptRowValue(answer.value);
			}
		}
	}

	handleOffer(event: Extract<ConfigurationEvent, {kind: 'offered'}>): void {
		const scope: PushScope | undefined = event.isLocal ? 'other-data-centres' : 'data-centre';
		parseStoredConfiguration(event.configuration).caseOf({
			Left: detail => {
				this.reject(0, event.from, detail);
			},
			Right: stored => {
				this.adoptIfNewer(stored, event.from, event.isLocal && !event.passOn ? undefined : scope);
			},
		});
	}

	handlePeerVersion(from: DaemonId, version: number): void {
		const isRecentlyRejected = this.state.rejection?.version === version && this.now < this.state.rejection.until;
		if (version > this.state.version && this.now >= this.state.nextPullAt && !isRecentlyRejected) {
			this.state.nextPullAt = this.now + pullIntervalMs;
			this.actions.push({kind: 'pull', from, haveVersion: this.state.version});
		}
	}

	handlePull(from: DaemonId, haveVersion: number): void {
		if (this.state.version > haveVersion) {
			this.actions.push({kind: 'send', to: from, configuration: this.currentConfiguration()});
		}
	}

	handleTick(call: CallId, isPoller: boolean): void {
		for (const [applyCall, apply] of this.state.pendingApplies) {
			if (apply.readBackAt !== undefined && this.now >= apply.readBackAt) {
				apply.readBackAt = undefined;
				this.actions.push({kind: 'read-row', call: applyCall});
			}
		}

		const canStartPoll = this.state.pendingPoll === undefined || this.now - this.state.pendingPoll.at > pollTimeoutMs;
		if (isPoller && canStartPoll && this.now >= this.state.nextPollAt) {
			this.state.nextPollAt = this.now + pollIntervalMs;
			this.state.pendingPoll = {call, at: this.now};
			this.actions.push({kind: 'read-row', call});
		}
	}

	private currentConfiguration(): StoredConfiguration {
		const {version, document, nonces} = this.state;
		return {version, document, nonces};
	}

	private handlePollAnswer(call: CallId, answer: RowResponse): void {
		if (answer.kind === 'absent') {
			this.writeBackIfOutdated(call, 0, 0);
		}

		if (answer.kind === 'row') {
			const stored = this.adoptRowValue(answer.value);
			this.writeBackIfOutdated(call, answer.version, stored?.version ?? Number.POSITIVE_INFINITY);
		}
	}

	/** Overwrites a row whose version is lower than the one that is known to have been accepted. */
	private writeBackIfOutdated(call: CallId, rowVersion: number, storedVersion: number): void {
		if (storedVersion < this.state.version && this.now >= this.state.nextWriteBackAt) {
			this.state.nextWriteBackAt = this.now + writeBackIntervalMs;
			this.state.pendingWriteBack = call;
			this.actions.push({
				kind: 'write-row', call, expectedVersion: rowVersion, value: encodeStoredConfiguration(this.currentConfiguration()),
			});
		}
	}

	/** Adopts the configuration in the row if it is newer. Returns undefined if the value can't be decoded. */
	private adoptRowValue(value: string): StoredConfiguration | undefined {
		return decodeStoredConfiguration(value).caseOf({
			Left: detail => {
				this.reject(0, 'the table service', detail);
				return undefined;
			},
			Right: stored => {
				this.adoptIfNewer(stored, 'the table service', 'data-centre');
				return stored;
			},
		});
	}

	/** The highest version wins; a lower one is ignored whatever its source. */
	private adoptIfNewer(stored: StoredConfiguration, source: string, scope: PushScope | undefined): void {
		if (stored.version <= this.state.version) {
			return;
		}

		const documentError = this.check(stored.document);
		if (documentError !== undefined) {
			this.reject(stored.version, source, `version ${stored.version}: ${documentError}`);
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
		const {rejection} = this.state;
		if (rejection?.version !== version || this.now >= rejection.until) {
			this.state.rejection = {version, until: this.now + rejectionRetryMs};
			this.actions.push({kind: 'rejected', source, detail});
		}
	}

	private handleApplyAnswer(call: CallId, apply: PendingApply, answer: RowResponse): void {
		switch (answer.kind) {
			case 'written': {
				this.acceptApply(call, apply);
				break;
			}

			case 'unavailable': {
				this.scheduleReadBack(call, apply);
				break;
			}

			case 'absent': {
				this.resumeApply(call, apply, 0);
				break;
			}

			case 'row':
			case 'conflict': {
				decodeStoredConfiguration(answer.value).caseOf({
					Left: detail => {
						this.finishApply(call, {
							kind: 'refused', call, reason: 'unreadable', detail,
						});
					},
					Right: stored => {
						this.adoptIfNewer(stored, 'the table service', 'data-centre');
						this.resumeApply(call, apply, answer.version, stored);
					},
				});
				break;
			}
		}
	}

	/** Continues a change with the current row, which contains the change, still allows it to be written, or contains a conflicting one. */
	private resumeApply(call: CallId, apply: PendingApply, rowVersion: number, stored?: StoredConfiguration): void {
		if (stored?.nonces.includes(call) === true) {
			this.acceptApply(call, apply);
			return;
		}

		if (apply.attemptedWrite !== undefined && apply.attemptedWrite.rowVersion !== rowVersion) {
			const changesSince = (stored?.version ?? 0) - apply.attemptedWrite.configuration.version;
			if (stored === undefined || changesSince >= stored.nonces.length) {
				this.finishApply(call, {
					kind: 'refused', call, reason: 'store-unavailable', outcome: 'unknown',
				});
				return;
			}

			this.refuseConflict(call, stored);
			return;
		}

		const latest = stored !== undefined && stored.version >= this.state.version ? stored : this.currentConfiguration();
		if (latest.version !== apply.expectedVersion) {
			this.refuseConflict(call, stored);
			return;
		}

		// A retried write has the same value and expects the same row version, so it takes effect at most once.
		apply.attemptedWrite ??= {rowVersion, configuration: createNextConfiguration(latest.version, latest.nonces, {document: apply.document, nonce: call})};
		this.actions.push({
			kind: 'write-row', call, expectedVersion: rowVersion, value: encodeStoredConfiguration(apply.attemptedWrite.configuration),
		});
	}

	private scheduleReadBack(call: CallId, apply: PendingApply): void {
		if (apply.attemptedWrite === undefined || this.now >= apply.expiresAt) {
			this.finishApply(call, {
				kind: 'refused', call, reason: 'store-unavailable', outcome: apply.attemptedWrite === undefined ? 'not-run' : 'unknown',
			});
			return;
		}

		apply.readBackAt = this.now + readBackDelayMs;
	}

	private acceptApply(call: CallId, apply: PendingApply): void {
		const written = apply.attemptedWrite?.configuration;
		if (written !== undefined) {
			this.adoptIfNewer(written, 'this daemon', 'everywhere');
			this.finishApply(call, {kind: 'accepted', call, version: written.version});
		}
	}

	private refuseConflict(call: CallId, stored?: StoredConfiguration): void {
		const latest = stored !== undefined && stored.version > this.state.version ? stored : this.currentConfiguration();
		this.finishApply(call, {
			kind: 'refused', call, reason: 'conflict', currentVersion: latest.version, currentDocument: latest.document,
		});
	}

	private finishApply(call: CallId, action: ConfigurationAction): void {
		this.state.pendingApplies.delete(call);
		this.actions.push(action);
	}
}

/** Handles one configuration event. Updates `state` in place and returns it. `check` validates each document before it takes effect. */
export function decideConfiguration(state: ConfigurationState, event: ConfigurationEvent, now: Millis, check: CheckDocument): DecisionResult<ConfigurationState, ConfigurationAction> {
	const decision = new ConfigurationDecision(state, now, check);
	switch (event.kind) {
		case 'apply': {
			decision.handleApply(event);
			break;
		}

		case 'answer': {
			decision.handleAnswer(event.call, event.answer);
			break;
		}

		case 'offered': {
			decision.handleOffer(event);
			break;
		}

		case 'peer-version': {
			decision.handlePeerVersion(event.from, event.version);
			break;
		}

		case 'pulled': {
			decision.handlePull(event.from, event.haveVersion);
			break;
		}

		case 'tick': {
			decision.handleTick(event.call, event.isPoller);
			break;
		}
	}

	return {state, actions: decision.actions};
}
