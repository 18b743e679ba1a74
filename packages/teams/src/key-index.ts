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

/** The teams of one configuration and their keys. Immutable. A lookup costs the same with 10 and with 10,000 keys. */
export class KeyIndex {
	readonly #teamsByName = new Map<TeamId, Team>();
	readonly #teamsByFingerprint = new Map<KeyFingerprint, Team>();
	/** Kept so that the next index hashes only the keys that are new in it. */
	readonly #fingerprintsByKey = new Map<string, KeyFingerprint>();

	/**
	Builds the index of a configuration.

	@param previous - The index of an earlier configuration, whose fingerprints are reused.
	@returns An error if a team or a key is listed twice, in one team or in several.
	*/
	static build(entries: readonly TeamEntry[], previous?: KeyIndex): Either<DuplicateTeamError, KeyIndex> {
		const index = new KeyIndex();
		for (const {name, priority, keys} of entries) {
			if (index.#teamsByName.has(name)) {
				return Left(new DuplicateTeamError(`the team "${name}" is listed twice; list it once, with all of its keys`));
			}

			const team: Team = {name, priority};
			index.#teamsByName.set(name, team);
			for (const key of keys) {
				const other = index.#add(key, team, previous);
				if (other !== undefined) {
					return Left(new DuplicateTeamError(other === team
						? `a key of the team "${name}" is listed twice; list it once`
						: `a key of the team "${name}" is also listed for the team "${other.name}"; leave it to one of them`));
				}
			}
		}

		return Right(index);
	}

	/** Returns the team that holds the key. */
	teamOf(fingerprint: KeyFingerprint): Team | undefined {
		return this.#teamsByFingerprint.get(fingerprint);
	}

	/** Returns undefined if the configuration has no team of this name. */
	teamNamed(name: TeamId): Team | undefined {
		return this.#teamsByName.get(name);
	}

	get teamCount(): number {
		return this.#teamsByName.size;
	}

	/** Adds a key. Returns the team that has it already. */
	#add(key: string, team: Team, previous: KeyIndex | undefined): Team | undefined {
		const known = this.#fingerprintsByKey.get(key);
		if (known !== undefined) {
			return this.#teamsByFingerprint.get(known);
		}

		const fingerprint = previous === undefined ? fingerprintOfKey(key) : (previous.#fingerprintsByKey.get(key) ?? fingerprintOfKey(key));
		this.#fingerprintsByKey.set(key, fingerprint);
		this.#teamsByFingerprint.set(fingerprint, team);
		return undefined;
	}
}
