import {decodeList, encodeList} from '@cicadapost/store';
import type {DaemonId} from '@cicadapost/types';

const keyPrefix = 'relay/';
/** Key in builds that used a part for each daemon. */
const earlierKey = 'relay';

/** Key of a daemon's row in the fleet's table that says how other daemons pass requests on to it. It is apart from the heartbeats, which must stay small. */
export function relayKey(daemon: DaemonId): string {
	return `${keyPrefix}${daemon}`;
}

/** Returns the daemon that a row describes, or undefined if it is no row of this kind. */
export function daemonOfRelayRow({part, key}: Readonly<{part: string; key: string}>): DaemonId | undefined {
	if (key === earlierKey) {
		return part as DaemonId;
	}

	return key.startsWith(keyPrefix) ? key.slice(keyPrefix.length) as DaemonId : undefined;
}

/** What a daemon publishes for daemons without links to upstreams. */
export type RelayRecord = Readonly<{
	incarnation: string;
	/** IP address and port. */
	address: string;
	/** Key that the daemon accepts. Whoever reads the fleet's table may pass requests on. */
	key: string;
	isPartitioned: boolean;
}>;

export function encodeRelayRecord({incarnation, address, key, isPartitioned}: RelayRecord): Uint8Array {
	return encodeList([incarnation, address, key, isPartitioned]);
}

/** Returns undefined if the value is not an encoded record. */
export function decodeRelayRecord(value: Uint8Array): RelayRecord | undefined {
	const [incarnation, address, key, isPartitioned] = decodeList(value) ?? [];
	return typeof incarnation === 'string' && typeof address === 'string' && typeof key === 'string' && typeof isPartitioned === 'boolean'
		? {
			incarnation, address, key, isPartitioned,
		}
		: undefined;
}
