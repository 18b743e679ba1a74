import type {MemberRecord} from '@cicadapost/fleet';
import {decodeList, encodeList} from '@cicadapost/store';
import type {
	DaemonId, DaemonIncarnation, DataCentreId, RegionId,
} from '@cicadapost/types';

/** Table of daemons, order permits and crash reports. The part is the daemon, the engine or the request fingerprint. */
export const fleetTable = 'fleet';
export const memberKey = 'member';

export function encodeMember(member: MemberRecord): Uint8Array {
	return encodeList([member.daemon, member.incarnation, member.dataCentre, member.region, member.state, member.heartbeatCount, member.role, member.cores, member.heartbeatMs ?? null]);
}

/** Returns undefined if the value is not an encoded member. */
export function decodeMember(value: Uint8Array): MemberRecord | undefined {
	const [daemon, incarnation, dataCentre, region, state, heartbeatCount, role, cores, heartbeatMs] = decodeList(value) ?? [];
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
	};
}
