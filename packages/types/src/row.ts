/** Result of a read or compare-and-set on the table service. */
export type RowResponse =
	| Readonly<{kind: 'row'; version: number; value: string}>
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'written'; version: number}>
	| Readonly<{kind: 'conflict'; version: number; value: string}>
	/** The service is down or its response was lost. A write may have taken effect. */
	| Readonly<{kind: 'unavailable'}>;

/** Result of a call to the object store. */
export type ObjectResponse =
	| Readonly<{kind: 'object'; value: string}>
	| Readonly<{kind: 'absent'}>
	/** A `put` or `delete` succeeded. */
	| Readonly<{kind: 'done'}>
	/** The store is down or its response was lost. A write may have taken effect. */
	| Readonly<{kind: 'unavailable'}>;

/** A row returned by a list call to the table service. */
export type ListedRow = Readonly<{key: string; version: number; value: string}>;
