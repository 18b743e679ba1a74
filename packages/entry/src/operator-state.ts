import type {RoutingConfiguration} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import type {RowChange, TableFollower} from '@cicadapost/store';
import type {ModelId} from '@cicadapost/types';
import type {NamedVersion} from '@cicadapost/weights';
import type {PlatformTables} from './platform-tables.js';

export type OperatorStateOptions = Readonly<{
	logger: Logger;
	tables: PlatformTables;
	/** Follows the table that the operator and trainers write to. */
	follower: TableFollower;
	onConfiguration: (configuration: RoutingConfiguration) => void;
	/** Called after changed rows have been applied. */
	onChanged: () => void;
}>;

/** The newest configuration of the operator and the weight versions that trainers have named. */
export class OperatorState {
	private readonly versions = new Map<ModelId, number>();
	private newest: RoutingConfiguration | undefined;

	constructor(private readonly options: OperatorStateOptions) {
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
	}

	/** Undefined until the first one has been read. */
	get configuration(): RoutingConfiguration | undefined {
		return this.newest;
	}

	get namedVersions(): ReadonlyMap<ModelId, number> {
		return this.versions;
	}

	private apply(changes: readonly RowChange[]): void {
		const {tables, logger, onChanged} = this.options;
		for (const change of changes) {
			if (change.kind === 'deleted') {
				continue;
			}

			const record = tables.parseOperatorRow(change.row);
			switch (record.kind) {
				case 'configuration': {
					this.applyConfiguration(record.configuration);
					break;
				}

				case 'named-version': {
					this.applyNamedVersion(record.named);
					break;
				}

				case 'other': {
					break;
				}

				case 'unreadable': {
					logger.warn({event: 'unreadable-row', key: change.row.key}, record.detail);
					break;
				}
			}
		}

		onChanged();
	}

	private applyNamedVersion({model, version}: NamedVersion): void {
		if (version > (this.versions.get(model) ?? 0)) {
			this.versions.set(model, version);
			this.options.logger.info({event: 'version-named', model, version}, 'a trainer named a version');
		}
	}

	/** Applies a configuration unless the current one is at least as new. */
	private applyConfiguration(configuration: RoutingConfiguration): void {
		if (this.newest !== undefined && configuration.version <= this.newest.version) {
			return;
		}

		const before = this.newest?.version;
		const formerTeams = this.newest?.teams ?? this.newest?.formerTeams;
		this.newest = configuration.teams === undefined && formerTeams !== undefined ? {...configuration, formerTeams} : configuration;
		this.options.onConfiguration(configuration);
		this.options.logger.info({
			event: 'configuration', version: configuration.version, before, routes: configuration.routes.length, ...(configuration.teams === undefined ? {} : {teams: configuration.teams.teamCount}),
		}, 'configuration applied');
	}
}
