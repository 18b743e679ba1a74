import type {DaemonId, Heartbeat, PeerMessage} from '@cicadapost/types';
import {Packr} from 'msgpackr';
import {parsePeerMessage} from './parse-message.js';

const packr = new Packr({useRecords: false});

/** A heartbeat without the names of its fields: 45 of them leave and arrive each second, and the names are most of it. */
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

/** The bytes of one frame. */
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

/** The message in a frame, or undefined if it is none. Throws if the frame is not MessagePack. */
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
