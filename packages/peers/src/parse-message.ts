import type {PeerMessage} from '@cicadapost/types';
import * as z from 'zod';

const heartbeatSchema = z.object({
	kind: z.literal('heartbeat'),
	dataCentre: z.string(),
	incarnation: z.number(),
	sequence: z.int().optional(),
	configurationVersion: z.int(),
	leaving: z.boolean(),
	leavingUpstreams: z.array(z.string()),
	live: z.array(z.string()).optional(),
	reaches: z.array(z.string()).optional(),
});

const otherMessageSchema = z.looseObject({
	kind: z.enum([
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
		'rollout-call',
		'rollout-answer',
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

const messageSchema = z.discriminatedUnion('kind', [heartbeatSchema, otherMessageSchema]);

/** Validates a decoded frame. Returns undefined if it is not a message. Of kinds other than heartbeats, only `kind` is checked. */
export function parsePeerMessage(frame: unknown): PeerMessage | undefined {
	const parsed = messageSchema.safeParse(frame);
	return parsed.success ? (parsed.data as unknown as PeerMessage) : undefined;
}
