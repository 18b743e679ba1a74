import * as z from 'zod';

const address = z.string().regex(/^[^:]+:\d+$/v);

/** Settings of an entry daemon. All durable state is in the platform's store. */
export const entrySettingsSchema = z.strictObject({
	/** Name of the VM. Sent to engines as the holder of an order. */
	vm: z.string().min(1),
	dataCentre: z.string().min(1),
	region: z.string().min(1),
	/** Maps each data centre to its region. */
	dataCentres: z.record(z.string(), z.string()),
	/** Processor time of the VM. Daemons on larger VMs take engines first, and more of them. */
	processor: z.strictObject({
		/** Share of a core. */
		share: z.number().positive().default(1),
		/** Speed of this core, relative to that of other VMs. */
		speed: z.number().positive().default(1),
	}).prefault({}),
	listen: z.strictObject({
		/** HTTP server for callers and trainers. */
		callers: address,
		/** Readiness probe of the platform. */
		health: address,
		/** Requests that other daemons pass on while they have no links to upstreams. Such requests are neither taken nor passed on if absent. */
		relay: address.optional(),
		/** Prometheus metrics. Disabled if absent. */
		metrics: address.optional(),
	}),
	store: z.strictObject({
		address,
	}),
	/** What the platform lets the process use. Without a limit the daemon does not count what it concerns. */
	limits: z.strictObject({
		/** Memory of the VM, in megabytes of 1,048,576 bytes. */
		memoryMb: z.number().positive().optional(),
		/** Number of file descriptors that the process may have open. */
		maxDescriptors: z.int().positive().optional(),
	}).prefault({}),
	/** Maximum time from SIGTERM to the exit of the process, in seconds. */
	shutdownSeconds: z.number().positive(),
	/** Minimum time between orders of two different holders to one engine, in milliseconds. */
	orderSilenceMs: z.number().nonnegative(),
	/** Time after submission for which the results of a batch can be read, in seconds. */
	resultRetentionSeconds: z.number().positive().default(120),
	/** How soon a key that the operator has taken from its team is no longer accepted. */
	revocation: z.strictObject({
		/** Whether each daemon rejects calls with keys while it can't confirm that its configuration is recent enough. */
		isStrict: z.boolean().default(false),
		/** Time after the confirmation of a configuration at which no daemon accepts the keys that it revokes any more, in milliseconds. */
		maxMs: z.number().positive().default(5000),
	}).prefault({}),
	/** Calls to the platform that one daemon at a time makes on behalf of all. None are made if absent. */
	duties: z.strictObject({
		/** Receiver of the calls. */
		address,
		/** Duties to carry out, by the names of the platform. */
		names: z.array(z.string()),
		/** Permitted calls of all daemons together. */
		callsPerSecond: z.number().positive().default(50),
		/** Minimum time between calls of two different holders, in milliseconds. */
		leaseMs: z.number().nonnegative().default(3000),
		/** Length of a window of usage, in seconds. */
		usageWindowSeconds: z.number().positive().default(5),
		/** Time from the end of a window until its report is due, in seconds. */
		usageLateSeconds: z.number().positive().default(10),
	}).optional(),
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	}).prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type DutySettings = NonNullable<EntrySettings['duties']>;

export function parseAddress(value: string): Readonly<{host: string; port: number}> {
	const colon = value.lastIndexOf(':');
	return {host: value.slice(0, colon), port: Number(value.slice(colon + 1))};
}
