import type {UpstreamRecord} from '@cicadapost/fleet';
import type {RoutingConfiguration} from '@cicadapost/forwarding';
import type {StoredRow} from '@cicadapost/store';
import type {NamedVersion} from '@cicadapost/weights';

/** A row written by the operator or a trainer. */
export type OperatorRecord =
	| Readonly<{kind: 'configuration'; configuration: RoutingConfiguration}>
	| Readonly<{kind: 'named-version'; named: NamedVersion}>
	| Readonly<{kind: 'other'}>
	| Readonly<{kind: 'unreadable'; detail: string}>;

/** Decodes rows that the operator, trainers and upstreams write to the store. */
export abstract class PlatformTables {
	abstract readonly operatorTable: string;
	abstract readonly upstreamTable: string;
	abstract parseOperatorRow(row: StoredRow): OperatorRecord;
	/** Returns undefined if the row does not describe a usable upstream. */
	abstract parseUpstreamRow(row: StoredRow): UpstreamRecord | undefined;
}
