import {createHash, timingSafeEqual} from 'node:crypto';
import {ProblemError} from '@cicadapost/errors';
import type {MemberSettings} from '@cicadapost/settings';
import type {MemberId} from '@cicadapost/types';

export type Role = 'caller' | 'trainer' | 'operator';

export type Principal = Readonly<{
	role: Role;
	/** Absent for operators of the deployment itself. */
	member?: MemberId;
}>;

type KeyEntry = Readonly<{hash: Uint8Array; principal: Principal}>;

export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Holds the hashes of the valid bearer keys. */
export class KeyRing {
	private keys: readonly KeyEntry[] = [];

	constructor(private readonly operatorKeyHashes: readonly string[]) {
		this.update({});
	}

	update(members: Readonly<Record<string, MemberSettings>>): void {
		const operators = this.operatorKeyHashes.map(hash => ({hash: Buffer.from(hash, 'hex'), principal: {role: 'operator' as const}}));
		const memberKeys = Object.entries(members).flatMap(([member, settings]) => settings.keys.map(key => ({
			hash: Buffer.from(key.sha256, 'hex'), principal: {role: key.role, member: member as MemberId},
		})));
		this.keys = [...operators, ...memberKeys];
	}

	/** Returns the principal of the key in an `Authorization` header. Compares in constant time with every known key, so that the duration reveals nothing about them. */
	authenticate(authorization: string | undefined): Principal {
		const match = /^Bearer (?<key>.+)$/v.exec(authorization ?? '');
		const hash = Buffer.from(hashKey(match?.groups?.key ?? ''), 'hex');
		let found: Principal | undefined;
		for (const known of this.keys) {
			if (timingSafeEqual(known.hash, hash)) {
				found = known.principal;
			}
		}

		if (match === null || found === undefined) {
			throw new ProblemError({
				kind: 'unauthenticated', detail: 'the key is missing or unknown', remedy: 'send "Authorization: Bearer <key>" with a key of a member', field: 'Authorization',
			});
		}

		return found;
	}
}

export function requireRole(principal: Principal, ...roles: Role[]): void {
	if (!roles.includes(principal.role)) {
		throw new ProblemError({
			kind: 'forbidden', detail: `a key with the role "${principal.role}" may not do this`, remedy: `use a key with the role ${roles.join(' or ')}`, field: 'Authorization',
		});
	}
}
