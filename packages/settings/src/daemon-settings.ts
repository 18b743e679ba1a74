import * as z from 'zod';

const addressSchema = z.strictObject({
	host: z.string().min(1).default('127.0.0.1'),
	port: z.int().min(0).max(65_535),
});

/** Settings of one daemon process: its addresses, its data centre and the URLs of platform services. */
export const daemonSettingsSchema = z.strictObject({
	daemon: z.string().min(1),
	dataCentre: z.string().min(1),
	region: z.string().min(1),
	listen: z.strictObject({
		/** Address for callers, trainers and operators. */
		api: addressSchema,
		/** Address for other daemons. */
		peers: addressSchema,
	}),
	platform: z.strictObject({
		tableService: z.url(),
		objectStore: z.url(),
		vmList: z.url(),
		/** Defaults to the URL of the object store. */
		weightStore: z.url().optional(),
	}),
	/** Peer addresses (`host:port`) to use until the VM list has been read. */
	seeds: z.array(z.string().regex(/^[^:]+:\d+$/v)).default([]),
	/** SHA-256 hashes of operator keys, in hex. These keys are valid even before a configuration has been applied. */
	operatorKeyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v)).default([]),
	/** Shared secret that daemons present to each other. */
	peerSecret: z.string().min(8),
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	}).prefault({}),
	metrics: z.strictObject({
		host: z.string().default('127.0.0.1'),
		port: z.int().min(1).max(65_535).default(8125),
		enabled: z.boolean().default(false),
	}).prefault({}),
	limits: z.strictObject({
		bodyBytes: z.int().min(1024).default(4 * 1024 * 1024),
		/** Writes per second to the store after an outage: a quarter of the rate that it accepts. */
		catchUpWritesPerSecond: z.number().positive().default(75),
	}).prefault({}),
});

export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
