import type {PeerMessage} from '@cicadapost/types';
import {z} from 'zod';

const messageSchema = z.looseObject({
	kind: z.enum([
		'heartbeat',
		'acquire',
		'grant',
		'refuse',
		'release',
		'relay',
		'relay-chunk',
		'relay-finished',
		'relay-failed',
		'cancel-relay',
		'configuration',
		'configuration-pull',
		'running',
		'suspects',
		'cap-ask',
		'cap-allow',
		'cap-deny',
		'cap-return',
		'cap-demand',
		'cap-parts',
	]),
});

/** The message in `frame`, or undefined if it is none. */
export function parsePeerMessage(frame: unknown): PeerMessage | undefined {
	const parsed = messageSchema.safeParse(frame);
	return parsed.success ? (parsed.data as unknown as PeerMessage) : undefined;
}
