import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {primaryGatewayPeers} from '@cicadapost/membership';
import {mergeDataCentreConfiguration} from '@cicadapost/settings';
import type {ConfigurationMessage, DaemonId} from '@cicadapost/types';
import type {DaemonAction} from './events.js';
import {documentError, parseDocument} from './parse-document.js';
import {EventHandler} from './event-handler.js';

/** Handles the configuration: offers from peers, changes by operators and polling of the store. */
export class ConfigurationHandler extends EventHandler {
	receiveConfiguration(from: DaemonId, message: ConfigurationMessage): void {
		const {kind, passOn, ...configuration} = message;
		const isLocal = this.state.membership.peers.get(from)?.dataCentre === this.state.dataCentre;
		this.handleConfigurationEvent({
			kind: 'offered', from, isLocal, passOn: passOn ?? false, configuration,
		});
	}

	handleConfigurationEvent(event: ConfigurationEvent): void {
		const outcome = decideConfiguration(this.state.configuration, event, this.now, documentError);
		this.state.configuration = outcome.state;
		for (const action of outcome.actions) {
			this.applyConfigurationAction(action);
		}
	}

	private applyConfigurationAction(action: ConfigurationAction): void {
		switch (action.kind) {
			case 'read-row': {
				this.actions.push({...action, table: configurationTable, key: configurationKey});
				break;
			}

			case 'write-row': {
				this.actions.push({...action, table: configurationTable, key: configurationKey});
				break;
			}

			case 'in-effect': {
				parseDocument(action.document).ifRight(document => {
					this.state.site = mergeDataCentreConfiguration(document, this.state.dataCentre);
					this.context.router.route({kind: 'policy', ...this.state.site.policy});
					this.actions.push({kind: 'configuration-in-effect', version: action.version, document: action.document});
					this.context.shards.refreshShards();
					this.context.rollouts.refreshStepOwners();
				});
				break;
			}

			case 'accepted': {
				this.actions.push({kind: 'apply-accepted', call: action.call, version: action.version});
				break;
			}

			case 'refused': {
				this.actions.push(applyRefused(action));
				break;
			}

			case 'push': {
				this.pushConfiguration(action);
				break;
			}

			case 'send': {
				this.actions.push({kind: 'send', to: action.to, message: {kind: 'configuration', ...action.configuration}});
				break;
			}

			case 'rejected': {
				this.actions.push({kind: 'log', event: 'configuration-rejected', detail: `configuration from ${action.source} was not accepted: ${action.detail}`});
				break;
			}

			case 'pull': {
				this.actions.push({kind: 'send', to: action.from, message: {kind: 'configuration-pull', haveVersion: action.haveVersion}});
				break;
			}
		}
	}

	private pushConfiguration(action: Extract<ConfigurationAction, {kind: 'push'}>): void {
		const {membership, dataCentre} = this.state;
		if (action.scope !== 'other-data-centres') {
			for (const [to, peer] of membership.peers) {
				if (peer.dataCentre === dataCentre) {
					this.actions.push({kind: 'send', to, message: {kind: 'configuration', ...action.configuration, passOn: action.scope === 'everywhere'}});
				}
			}
		}

		if (action.scope !== 'data-centre') {
			for (const to of primaryGatewayPeers(membership)) {
				this.actions.push({kind: 'send', to, message: {kind: 'configuration', ...action.configuration}});
			}
		}
	}
}

function applyRefused(action: Extract<ConfigurationAction, {kind: 'refused'}>): DaemonAction {
	if (action.reason === 'conflict') {
		return {
			kind: 'apply-refused',
			call: action.call,
			currentVersion: action.currentVersion,
			currentDocument: action.currentDocument,
			problem: new ProblemError({
				kind: 'configuration-conflict',
				detail: `version ${action.currentVersion} has been accepted in the meantime`,
				remedy: 'compare your change with it ("cicadapost config diff") and apply again',
			}),
		};
	}

	return {
		kind: 'apply-refused', call: action.call, currentVersion: 0, currentDocument: '', problem: applyProblem(action),
	};
}

function applyProblem(action: Exclude<Extract<ConfigurationAction, {kind: 'refused'}>, {reason: 'conflict'}>): ProblemError {
	switch (action.reason) {
		case 'invalid': {
			return new ProblemError({
				kind: 'invalid-request', detail: action.detail, remedy: 'correct the document; "cicadapost config check" shows each fault',
			});
		}

		case 'unreadable': {
			return new ProblemError({
				kind: 'internal',
				detail: `the row ${configurationTable}/${configurationKey} can't be read: ${action.detail}`,
				remedy: 'restore the row in the table service, or use daemons of the release that wrote it',
			});
		}

		case 'store-unavailable': {
			return new ProblemError({
				kind: 'store-unavailable',
				detail: action.outcome === 'unknown' ? 'the table service did not confirm the change' : 'the table service can\'t be reached; nothing was changed',
				remedy: 'check "cicadapost config show" and apply again after Retry-After',
				outcome: action.outcome,
				retryAfterMs: 5000,
			});
		}
	}
}
