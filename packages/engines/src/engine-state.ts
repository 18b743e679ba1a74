import type {UpstreamStatus} from '@cicadapost/types';
import {request} from 'undici';
import * as z from 'zod';

const stateTimeoutMs = 1000;

/** Engines that do not support orders omit all fields except `leaving`. */
const statusSchema = z.object({
	leaving: z.boolean().default(false),
	version: z.int().min(0).default(0),
	swapping: z.boolean().default(false),
	fence: z.int().min(0).default(0),
});

/** Reads `GET /state` of the engine at `url`. Returns undefined if no valid response arrived in time. */
export async function readEngineState(url: string): Promise<UpstreamStatus | undefined> {
	try {
		const res = await request(`${url}/state`, {signal: AbortSignal.timeout(stateTimeoutMs)});
		const parsed = statusSchema.safeParse(await res.body.json());
		return res.statusCode === 200 && parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
