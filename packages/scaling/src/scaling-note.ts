import type {Millis} from '@cicadapost/types';
import type {UpstreamKind} from './plan-upstream-counts.js';

/** What a lease records of the orders for its data centre. Times are on the store's clock. */
export type ScalingNote = Readonly<{
	ordered: Readonly<Record<UpstreamKind, number>>;
	/** An order whose outcome is not known. It may be in force, so it counts until it has been repeated or replaced. */
	pending: Readonly<{kind: UpstreamKind; count: number}> | undefined;
	blockedUntil: Readonly<Record<UpstreamKind, Millis>>;
	/** When upstreams were last given back. */
	givenBackAt: Millis;
}>;

/** Returns a form that can be stored. */
export function toNote({ordered, pending, blockedUntil, givenBackAt}: ScalingNote): unknown {
	return [ordered.regular, ordered.spot, pending?.kind ?? null, pending?.count ?? null, blockedUntil.regular, blockedUntil.spot, givenBackAt];
}

/** Returns undefined if nothing was ordered yet or the note can't be read. */
export function parseNote(note: unknown): ScalingNote | undefined {
	const [regular, spot, kind, count, regularUntil, spotUntil, givenBackAt] = Array.isArray(note) ? note as unknown[] : [];
	if (typeof regular !== 'number' || typeof spot !== 'number') {
		return undefined;
	}

	return {
		ordered: {regular, spot},
		pending: (kind === 'regular' || kind === 'spot') && typeof count === 'number' ? {kind, count} : undefined,
		blockedUntil: {regular: numberOr0(regularUntil), spot: numberOr0(spotUntil)},
		givenBackAt: numberOr0(givenBackAt),
	};
}

function numberOr0(value: unknown): number {
	return typeof value === 'number' ? value : 0;
}

/** The numbers that are, or may be, in force. */
export function countsInForce({ordered, pending}: ScalingNote): Readonly<Record<UpstreamKind, number>> {
	return pending === undefined ? ordered : {...ordered, [pending.kind]: Math.max(pending.count, ordered[pending.kind])};
}
