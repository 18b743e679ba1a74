/** Answer of the table service to a read or a compare-and-set. */
export type RowAnswer =
	| Readonly<{kind: 'row'; version: number; value: string}>
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'written'; version: number}>
	| Readonly<{kind: 'conflict'; version: number; value: string}>
	/** The service is down or the answer was lost: a write may have taken effect. */
	| Readonly<{kind: 'unavailable'}>;
