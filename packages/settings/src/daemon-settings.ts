import {z} from 'zod';

const addressSchema = z.strictObject({
	host: z.string().min(1).default('127.0.0.1'),
	port: z.int().min(0).max(65_535),
});

/** Settings of one daemon process: its addresses, its data centre and where the platform is. */
export const daemonSettingsSchema = z.strictObject({
	daemon: z.string().min(1),
	dataCentre: z.string().min(1),
	region: z.string().min(1),
	listen: z.strictObject({
		/** Callers, trainers and operators. */
		api: addressSchema,
		/** Other daemons. */
		peers: addressSchema,
	}),
	platform: z.strictObject({
		tableService: z.url(),
		objectStore: z.url(),
		vmList: z.url(),
		/** The address of the object store if absent. */
		weightStore: z.url().optional(),
	}),
	/** Peer addresses (`host:port`) to use until the VM list has been read. */
	seeds: z.array(z.string().regex(/^[^:]+:\d+$/v)).default([]),
	/** SHA-256 of operator keys, in hex. They work before any configuration has been applied. */
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
		/** Writes a second to the store after an outage, a quarter of what it takes. */
		catchUpWritesPerSecond: z.number().positive().default(75),
	}).prefault({}),
});

export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
