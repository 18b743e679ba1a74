import {z} from 'zod';

const address = z.string().regex(/^[^:]+:\d+$/v);

/** Settings of an entry daemon, which keeps all that must last in the platform's store. */
export const entrySettingsSchema = z.strictObject({
	/** Name of the VM; orders to engines bear it. */
	vm: z.string().min(1),
	dataCentre: z.string().min(1),
	region: z.string().min(1),
	/** Region of each data centre. */
	dataCentres: z.record(z.string(), z.string()),
	listen: z.strictObject({
		/** Callers and trainers. */
		callers: address,
		/** The platform's question whether this daemon takes callers. */
		health: address,
		/** Counters and histograms as text. */
		metrics: address.optional(),
	}),
	store: z.strictObject({
		address,
	}),
	/** Longest time between SIGTERM and the end of the process, in seconds. */
	shutdownSeconds: z.number().positive(),
	/** Silence between orders of two holders to one engine, in milliseconds. */
	orderSilenceMs: z.number().nonnegative(),
	/** Time from a batch's submission for which its results can be read. */
	resultRetentionSeconds: z.number().positive().default(120),
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	}).prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

export function parseAddress(value: string): Readonly<{host: string; port: number}> {
	const colon = value.lastIndexOf(':');
	return {host: value.slice(0, colon), port: Number(value.slice(colon + 1))};
}
