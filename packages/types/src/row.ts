/** Answer of the table service to a read or a compare-and-set. */
export type RowAnswer =
	| Readonly<{kind: 'row'; version: number; value: string}>
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'written'; version: number}>
	| Readonly<{kind: 'conflict'; version: number; value: string}>
	/** The service is down or the answer was lost: a write may have taken effect. */
	| Readonly<{kind: 'unavailable'}>;

/** Answer of the object store. */
export type ObjectAnswer =
	| Readonly<{kind: 'object'; value: string}>
	| Readonly<{kind: 'absent'}>
	/** A `put` or `delete` took effect. */
	| Readonly<{kind: 'done'}>
	/** The store is down or the answer was lost: a write may have taken effect. */
	| Readonly<{kind: 'unavailable'}>;

/** A row of a list of the table service. */
export type ListedRow = Readonly<{key: string; version: number; value: string}>;
