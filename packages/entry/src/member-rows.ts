import type {MemberRecord} from '@cicadapost/fleet';
import {decodeList, encodeList, type RowKey} from '@cicadapost/store';
import type {
	DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';

/** Table of daemons, order permits and crash reports. The part is one of those of the members, the engine or the request fingerprint. */
export const fleetTable = 'fleet';
/** Key of a member's row in builds that used a part for each daemon. */
export const earlierMemberKey = 'member';
/**
Number of parts that hold the rows of the members. A daemon that starts reads the table part by part, so with a part for each
daemon a fleet that starts at once makes as many reads as the square of its size. One part takes 200 writes per second.
*/
const memberParts = 8;
const partPrefix = 'members-';
const memberKeyPrefix = 'member/';

/** Returns the part that holds all rows of a daemon. */
export function memberPart(daemon: DaemonId): string {
	let sum = 0;
	for (const character of daemon) {
		sum = ((sum * 31) + (character.codePointAt(0) ?? 0)) % 65_521;
	}

	return `${partPrefix}${sum % memberParts}`;
}

export function memberKey(daemon: DaemonId): string {
	return `${memberKeyPrefix}${daemon}`;
}

/** Whether the row is that of a member, of this or an earlier build. */
export function isMemberRow({key}: Pick<RowKey, 'key'>): boolean {
	return key === earlierMemberKey || key.startsWith(memberKeyPrefix);
}

export function encodeMember(member: MemberRecord): Uint8Array {
	const paces = [...member.paces ?? []].map(([engine, ms]) => [engine, Math.round(ms * 10) / 10]);
	return encodeList([
		member.daemon, member.incarnation, member.dataCentre, member.region, member.state, member.heartbeatCount, member.role, member.cores, member.heartbeatMs ?? null, paces, ...(member.unreachable === undefined ? [] : [[...member.unreachable]]),
	]);
}

/** Returns undefined if the value is not an encoded member. */
export function decodeMember(value: Uint8Array): MemberRecord | undefined {
	const [daemon, incarnation, dataCentre, region, state, heartbeatCount, role, cores, heartbeatMs, paces, unreachable] = decodeList(value) ?? [];
	if (typeof daemon !== 'string' || typeof incarnation !== 'string' || typeof dataCentre !== 'string' || typeof region !== 'string') {
		return undefined;
	}

	return {
		daemon: daemon as DaemonId,
		incarnation: incarnation as DaemonIncarnation,
		dataCentre: dataCentre as DataCentreId,
		region: region as RegionId,
		state: state === 'leaving' ? 'leaving' : 'live',
		heartbeatCount: Number(heartbeatCount),
		// Rows of earlier builds end here. Their daemons all take engines.
		role: role === 'standby' ? 'standby' : 'candidate',
		cores: typeof cores === 'number' && cores > 0 ? cores : 1,
		...(typeof heartbeatMs === 'number' && heartbeatMs > 0 ? {heartbeatMs} : {}),
		...(Array.isArray(paces) && paces.length > 0 ? {paces: decodePaces(paces)} : {}),
		...(Array.isArray(unreachable) ? {unreachable: new Set(unreachable.filter(engine => typeof engine === 'string') as UpstreamId[])} : {}),
	};
}

/** Entries of an unknown shape are left out. */
function decodePaces(entries: readonly unknown[]): ReadonlyMap<UpstreamId, Millis> {
	return new Map(entries.flatMap((entry): Array<[UpstreamId, Millis]> => {
		const [engine, ms] = Array.isArray(entry) ? entry as unknown[] : [];
		return typeof engine === 'string' && typeof ms === 'number' && ms > 0 ? [[engine as UpstreamId, ms]] : [];
	}));
}
