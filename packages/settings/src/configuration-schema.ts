import * as z from 'zod';

const keySchema = z.strictObject({
	sha256: z.string().regex(/^[\da-f]{64}$/v, 'must be the SHA-256 of the key in lower-case hex'),
	role: z.enum(['caller', 'trainer', 'operator']),
});

const memberSchema = z.strictObject({
	/** Share of contended capacity, relative to the other members. */
	weight: z.number().positive().default(1),
	/** Limit over all data centres. Prompt tokens and completion tokens count. */
	cap: z.strictObject({
		tokensPerSecond: z.number().positive(),
	}).optional(),
	keys: z.array(keySchema).default([]),
	/** Maximum number of samples in a group. */
	maxGroupSamples: z.int().positive().default(64),
});

const poolSchema = z.strictObject({
	kind: z.enum(['engine', 'service']),
	/** Whether requests are idempotent unless the caller says otherwise in X-Non-Idempotent. Requests that are not idempotent run at most once. */
	idempotent: z.boolean().default(true),
	/** Initial limit of concurrent requests on an upstream, until its own step times are known. */
	initialWindow: z.int().positive().default(8),
	/** Maximum number of concurrent requests on one upstream. */
	maxWindow: z.int().positive().default(64),
	/** Share of the pool that training keeps while live requests wait. */
	trainingFloor: z.number().min(0).max(1).default(0.2),
	/** A stream that delivers no token for this long is replaced. */
	silenceMs: z.int().positive().default(5000),
});

const upstreamSchema = z.strictObject({
	pool: z.string().min(1),
	url: z.url(),
	/** Whether the upstream rejects orders that carry an outdated fencing token. */
	checksFencing: z.boolean().default(false),
	/** A draining upstream completes the requests that it runs and receives no new ones. */
	draining: z.boolean().default(false),
});

const policySchema = z.strictObject({
	/** Limit of retries, as a share of attempts. */
	retryBudget: z.number().min(0).max(1).default(0.1),
	/** Limit of hedges, as a share of tokens. */
	hedgeBudget: z.number().min(0).max(1).default(0.05),
});

/** The base file: settings that apply to all data centres. */
export const baseSchema = z.strictObject({
	members: z.record(z.string(), memberSchema),
	pools: z.record(z.string(), poolSchema),
	/** Data centre to region. */
	dataCentres: z.record(z.string(), z.strictObject({region: z.string().min(1)})),
	policy: policySchema.prefault({}),
});

/** An overlay: settings that differ at one data centre. Members and data centres can be set in the base only. */
export const overlaySchema = z.strictObject({
	upstreams: z.record(z.string(), upstreamSchema).default({}),
	pools: z.record(z.string(), z.strictObject({
		initialWindow: z.int().positive().optional(),
		maxWindow: z.int().positive().optional(),
		trainingFloor: z.number().min(0).max(1).optional(),
		silenceMs: z.int().positive().optional(),
	})).default({}),
	policy: z.strictObject({
		retryBudget: z.number().min(0).max(1).optional(),
		hedgeBudget: z.number().min(0).max(1).optional(),
	}).default({}),
});

/** The document that operators apply: the base and one overlay for each data centre. */
export const documentSchema = z.strictObject({
	base: baseSchema,
	overlays: z.record(z.string(), overlaySchema).default({}),
});

export type MemberSettings = z.infer<typeof memberSchema>;
export type KeySettings = z.infer<typeof keySchema>;
export type PoolSettings = z.infer<typeof poolSchema>;
export type UpstreamSettings = z.infer<typeof upstreamSchema>;
export type PolicySettings = z.infer<typeof policySchema>;
export type BaseConfiguration = z.infer<typeof baseSchema>;
export type Overlay = z.infer<typeof overlaySchema>;
export type ConfigurationDocument = z.infer<typeof documentSchema>;
