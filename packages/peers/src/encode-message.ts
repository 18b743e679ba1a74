import type {DaemonId, Heartbeat, PeerMessage} from '@cicadapost/types';
import {Packr} from 'msgpackr';
import {parsePeerMessage} from './parse-message.js';

const packr = new Packr({useRecords: false});

/** A heartbeat without its field names, which would be most of its size. 45 heartbeats are sent and received each second. */
type HeartbeatTuple = readonly [
	dataCentre: Heartbeat['dataCentre'],
	incarnation: number,
	sequence: number,
	configurationVersion: number,
	leaving: boolean,
	leavingUpstreams: Heartbeat['leavingUpstreams'],
	live: readonly DaemonId[] | false,
	reaches: Heartbeat['reaches'] | false,
];

/** Encodes a message as one MessagePack frame. */
export function encodeMessage(message: PeerMessage): Uint8Array {
	if (message.kind !== 'heartbeat') {
		return packr.pack(message);
	}

	const tuple: HeartbeatTuple = [
		message.dataCentre,
		message.incarnation,
		message.sequence ?? 0,
		message.configurationVersion,
		message.leaving,
		message.leavingUpstreams,
		message.live ?? false,
		message.reaches ?? false,
	];
	return packr.pack(tuple);
}

/** Decodes a frame. Returns undefined if it is not a valid message. Throws if it is not MessagePack. */
export function decodeMessage(data: Uint8Array): PeerMessage | undefined {
	const frame = packr.unpack(data) as unknown;
	if (!Array.isArray(frame)) {
		return parsePeerMessage(frame);
	}

	const [dataCentre, incarnation, sequence, configurationVersion, leaving, leavingUpstreams, live, reaches] = frame as unknown[];
	return parsePeerMessage({
		kind: 'heartbeat', dataCentre, incarnation, sequence, configurationVersion, leaving, leavingUpstreams,
		...(live === false ? {} : {live}),
		...(reaches === false ? {} : {reaches}),
	});
}
