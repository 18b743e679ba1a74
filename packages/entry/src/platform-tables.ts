import type {UpstreamRecord} from '@cicadapost/fleet';
import type {RoutingConfiguration} from '@cicadapost/forwarding';
import type {StoredRow} from '@cicadapost/store';
import type {NamedVersion} from '@cicadapost/weights';

/** A row that the operator or a trainer has written. */
export type OperatorRecord =
	| Readonly<{kind: 'configuration'; configuration: RoutingConfiguration}>
	| Readonly<{kind: 'named-version'; named: NamedVersion}>
	| Readonly<{kind: 'other'}>
	| Readonly<{kind: 'unreadable'; detail: string}>;

/** Rows that others write into the store: the operator, trainers and upstreams. */
export abstract class PlatformTables {
	abstract readonly operatorTable: string;
	abstract readonly upstreamTable: string;
	abstract parseOperatorRow(row: StoredRow): OperatorRecord;
	/** Undefined if the row names no upstream that can be used. */
	abstract parseUpstreamRow(row: StoredRow): UpstreamRecord | undefined;
}
