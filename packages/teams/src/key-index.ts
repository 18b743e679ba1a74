import type {KeyFingerprint, TeamId} from '@cicadapost/types';
import {Left, Right, type Either} from 'purify-ts';
import {fingerprintOfKey} from './presented-key.js';

/** A team of the configuration. */
export type Team = Readonly<{
	name: TeamId;
	/** Takes precedence over the priority of a route; 0 is the highest. Undefined if the team has none of its own. */
	priority: number | undefined;
}>;

/** A team and its keys, as the operator lists them. */
export type TeamEntry = Readonly<{name: TeamId; priority?: number | undefined; keys: readonly string[]}>;

/** A team or a key is listed twice. The message names the teams, never the key. */
export class DuplicateTeamError extends Error {
	override readonly name = 'DuplicateTeamError';
}

/** The keys of one team and their fingerprints, both in the order of the configuration. */
type KeyList = Readonly<{keys: readonly string[]; fingerprints: readonly KeyFingerprint[]}>;

const noKeys: KeyList = {keys: [], fingerprints: []};

/**
The teams of one configuration and their keys. Immutable. A lookup costs the same with 10 and with 10,000 keys. An index built from the one
before hashes only the keys between the first and the last change of each list, since the operator may change one key every 100 ms.
*/
export class KeyIndex {
	readonly #teams = new Map<TeamId, Team>();
	readonly #lists = new Map<TeamId, KeyList>();
	readonly #owners: Map<KeyFingerprint, TeamId>;

	/** Creates an index without teams. */
	constructor(owners: ReadonlyMap<KeyFingerprint, TeamId> = new Map()) {
		this.#owners = new Map(owners);
	}

	/**
	Builds the index of a configuration.

	@param previous - The index of an earlier configuration.
	@returns An error if a team or a key is listed twice, in one team or in several.
	*/
	static build(entries: readonly TeamEntry[], previous = new KeyIndex()): Either<DuplicateTeamError, KeyIndex> {
		const index = new KeyIndex(previous.#owners);
		for (const {name, priority} of entries) {
			if (index.#teams.has(name)) {
				return Left(new DuplicateTeamError(`the team "${name}" is listed twice; list it once, with all of its keys`));
			}

			index.#teams.set(name, {name, priority});
		}

		const changes = entries.map(({name, keys}) => ({name, change: compareLists(previous.#lists.get(name) ?? noKeys, keys)}));
		// Removed keys go before added ones come, so that a key can move to another team.
		const gone = [...previous.#lists].filter(([name]) => !index.#teams.has(name)).flatMap(([, {fingerprints}]) => fingerprints);
		for (const fingerprint of [...gone, ...changes.flatMap(({change}) => change.removed)]) {
			index.#owners.delete(fingerprint);
		}

		for (const {name, change} of changes) {
			const other = index.#add(name, change);
			if (other !== undefined) {
				return Left(new DuplicateTeamError(other === name
					? `a key of the team "${name}" is listed twice; list it once`
					: `a key of the team "${name}" is also listed for the team "${other}"; leave it to one of them`));
			}
		}

		return Right(index);
	}

	/** Returns the team that holds the key. */
	teamOf(fingerprint: KeyFingerprint): Team | undefined {
		const name = this.#owners.get(fingerprint);
		return name === undefined ? undefined : this.#teams.get(name);
	}

	/** Returns undefined if the configuration has no team of this name. */
	teamNamed(name: TeamId): Team | undefined {
		return this.#teams.get(name);
	}

	get teamCount(): number {
		return this.#teams.size;
	}

	/** Adds the new keys of a team. Returns the team that has one of them already. */
	#add(name: TeamId, {keys, added, before, after}: ListChange): TeamId | undefined {
		const fingerprints = added.map(key => fingerprintOfKey(key));
		for (const fingerprint of fingerprints) {
			const other = this.#owners.get(fingerprint);
			if (other !== undefined) {
				return other;
			}

			this.#owners.set(fingerprint, name);
		}

		this.#lists.set(name, {keys, fingerprints: [...before, ...fingerprints, ...after]});
		return undefined;
	}
}

/** How the list of a team has changed: fingerprints before the first and after the last change, and what was between them and is now. */
type ListChange = Readonly<{
	keys: readonly string[];
	before: readonly KeyFingerprint[];
	removed: readonly KeyFingerprint[];
	added: readonly string[];
	after: readonly KeyFingerprint[];
}>;

function compareLists({keys: old, fingerprints}: KeyList, keys: readonly string[]): ListChange {
	const shorter = Math.min(old.length, keys.length);
	let start = 0;
	while (start < shorter && old[start] === keys[start]) {
		start += 1;
	}

	let end = 0;
	while (end < shorter - start && old[old.length - 1 - end] === keys[keys.length - 1 - end]) {
		end += 1;
	}

	return {
		keys,
		before: fingerprints.slice(0, start),
		removed: fingerprints.slice(start, old.length - end),
		added: keys.slice(start, keys.length - end),
		after: fingerprints.slice(old.length - end),
	};
}
