import type {KeyIndex, Team} from './key-index.js';
import type {Credential} from './presented-key.js';

/** What this daemon's copy of the configuration is recent enough for. */
export type CopyFreshness = Readonly<{
	/** To rely on a key that the copy lists. Always true where revocation has no time bound. */
	allowsKeys: boolean;
	/** To reject a key or a path that the copy does not list. */
	allowsRejection: boolean;
}>;

export type AccessQuery = Readonly<{
	/** Undefined if the configuration has no teams, and so needs no keys. */
	teams: KeyIndex | undefined;
	/** The teams of an earlier configuration, if this one has none. */
	formerTeams?: KeyIndex | undefined;
	/** Whether the call needs no key. */
	isPublic: boolean;
	credential: Credential;
	freshness: CopyFreshness;
}>;

/** A call that is allowed. */
export type Access =
	/** The configuration has no teams. The headers of the call pass as they are, unless they hold a key that a team has had. */
	| Readonly<{kind: 'open'; hasFormerKey: boolean}>
	/** The headers of the call name the team, or none if a public call presents no known key. */
	| Readonly<{kind: 'checked'; team: Team | undefined}>;

export type AccessDecision =
	| Access
	/** The caller has no valid key. */
	| Readonly<{kind: 'denied'}>
	/** The copy is too old to tell. */
	| Readonly<{kind: 'not-current'}>;

/** Decides whether a call is allowed, and for which team. Costs one lookup, whatever the number of keys. */
export function decideAccess({teams, formerTeams, isPublic, credential, freshness}: AccessQuery): AccessDecision {
	if (teams === undefined) {
		// A newer configuration, unknown here, may have teams again and may have revoked the key that the call presents.
		return isPublic || credential === undefined || freshness.allowsKeys
			? {kind: 'open', hasFormerKey: formerTeams !== undefined && teamOf(credential, formerTeams) !== undefined}
			: {kind: 'not-current'};
	}

	const team = teamOf(credential, teams);
	if (isPublic) {
		// An old copy may name a team that has lost the key; without a team the call is served all the same.
		return {kind: 'checked', team: freshness.allowsKeys ? team : undefined};
	}

	if (!freshness.allowsKeys) {
		return {kind: 'not-current'};
	}

	if (team !== undefined) {
		return {kind: 'checked', team};
	}

	return freshness.allowsRejection ? {kind: 'denied'} : {kind: 'not-current'};
}

function teamOf(credential: Credential, teams: KeyIndex): Team | undefined {
	return credential === undefined || credential === 'malformed' ? undefined : teams.teamOf(credential.fingerprint);
}
