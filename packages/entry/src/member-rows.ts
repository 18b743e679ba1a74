import type {MemberRecord} from '@cicadapost/fleet';
import {decodeList, encodeList} from '@cicadapost/store';
import type {
	DaemonId, DaemonLife, DataCentreId, RegionId,
} from '@cicadapost/types';

/** Table of the daemons and of the permits for orders. The part is the daemon or the engine. */
export const fleetTable = 'fleet';
export const memberKey = 'member';

export function encodeMember(member: MemberRecord): Uint8Array {
	return encodeList([member.daemon, member.life, member.dataCentre, member.region, member.state, member.heartbeatCount]);
}

/** Undefined for a row of another shape. */
export function decodeMember(value: Uint8Array): MemberRecord | undefined {
	const [daemon, life, dataCentre, region, state, beat] = decodeList(value) ?? [];
	if (typeof daemon !== 'string' || typeof life !== 'string' || typeof dataCentre !== 'string' || typeof region !== 'string') {
		return undefined;
	}

	return {
		daemon: daemon as DaemonId,
		life: life as DaemonLife,
		dataCentre: dataCentre as DataCentreId,
		region: region as RegionId,
		state: state === 'leaving' ? 'leaving' : 'live',
		heartbeatCount: Number(beat),
	};
}
