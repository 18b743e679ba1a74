import {createHash} from 'node:crypto';
import type {Fingerprint, Millis, UpstreamId} from '@cicadapost/types';
import type {ExchangeEnd} from './connection-pool.js';
import {
	crashRetentionMs, decideBlock, isExplained, type BlockDecision, type CrashRecord,
} from './decide-block.js';

/** One run of an upstream's process. A restarted upstream keeps its id but has another `bornAt`. */
export type UpstreamIncarnation = Readonly<{upstream: UpstreamId; bornAt: number}>;

/** Error codes of Node.js and undici for a connection that the other side closed or reset. */
const closedConnectionCodes = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);
/** Cause of the failure of a stream that ended regularly in the middle of an event. Without a length, the end of the connection ends the stream. */
export const endedWithinEvent = 'the stream ended within an event';

/** The parts of a request that determine its work. */
export type RequestContent = Readonly<{method: string; host: string; path: string; body: Uint8Array}>;

/** Returns the same value for all requests for the same work, regardless of sender and request id. */
export function fingerprintOf(req: RequestContent): Fingerprint {
	const hash = createHash('sha256').update(`${req.method} ${req.host} ${req.path}\n`).update(req.body);
	return hash.digest('base64url').slice(0, 22) as Fingerprint;
}

/** Whether an attempt that ended this way may have crashed its upstream: the connection was closed before the response was complete. */
export function mayHaveCrashed(end: Readonly<{kind: ExchangeEnd['kind']; cause?: string}>): boolean {
	return end.kind === 'broken' && (end.cause === endedWithinEvent || closedConnectionCodes.has(end.cause ?? ''));
}

/**
Records which requests have crashed which upstreams, and what speaks for them. A request that crashes every upstream that runs it,
and that is retried through any daemon, takes the whole service down unless all daemons share this record. Times are on the store's clock.
*/
export class CrashRegistry {
	private readonly crashes = new Map<Fingerprint, Map<string, CrashRecord>>();
	private readonly responses = new Map<Fingerprint, Millis>();
	private readonly probes = new Map<Fingerprint, Map<number, Millis>>();

	/** Records a crash and returns whether it was new. */
	record(fingerprint: Fingerprint, incarnation: UpstreamIncarnation, {at = 0, isShared = false}: Partial<CrashRecord> = {}): boolean {
		const known = this.crashes.get(fingerprint) ?? new Map<string, CrashRecord>();
		const key = incarnationKey(incarnation);
		const before = known.get(key);
		// Daemons report the same crash. The earliest time counts, and the crash is shared if any of them saw other requests.
		known.set(key, {at: Math.min(at, before?.at ?? at), isShared: isShared || before?.isShared === true});
		this.crashes.set(fingerprint, known);
		return before === undefined;
	}

	forget(fingerprint: Fingerprint, incarnation: UpstreamIncarnation): void {
		const known = this.crashes.get(fingerprint);
		known?.delete(incarnationKey(incarnation));
		if (known?.size === 0) {
			this.crashes.delete(fingerprint);
		}
	}

	/** Records a complete response to the request, which explains all crashes up to then and makes earlier probes void. */
	recordResponse(fingerprint: Fingerprint, at: Millis): void {
		this.responses.set(fingerprint, Math.max(at, this.responses.get(fingerprint) ?? at));
	}

	forgetResponse(fingerprint: Fingerprint): void {
		this.responses.delete(fingerprint);
	}

	recordProbe(fingerprint: Fingerprint, probe: number, at: Millis): void {
		const known = this.probes.get(fingerprint) ?? new Map<number, Millis>();
		this.probes.set(fingerprint, known.set(probe, at));
	}

	forgetProbe(fingerprint: Fingerprint, probe: number): void {
		const known = this.probes.get(fingerprint);
		known?.delete(probe);
		if (known?.size === 0) {
			this.probes.delete(fingerprint);
		}
	}

	/** Whether no crashes are recorded, in which case requests need no fingerprint. */
	get isEmpty(): boolean {
		return this.crashes.size === 0;
	}

	crashesOf(fingerprint: Fingerprint): CrashRecord[] {
		return [...this.crashes.get(fingerprint)?.values() ?? []];
	}

	respondedAt(fingerprint: Fingerprint): Millis | undefined {
		return this.responses.get(fingerprint);
	}

	/** Whether the request has crashes that no response explains. */
	isSuspect(fingerprint: Fingerprint): boolean {
		const respondedAt = this.responses.get(fingerprint);
		return this.crashesOf(fingerprint).some(crash => !isExplained(crash, respondedAt));
	}

	decide(fingerprint: Fingerprint, now: Millis): BlockDecision {
		const crashes = this.crashes.get(fingerprint);
		if (crashes === undefined) {
			return {kind: 'send'};
		}

		const respondedAt = this.responses.get(fingerprint);
		const probedAt = [...this.probes.get(fingerprint)?.values() ?? []].filter(at => respondedAt === undefined || at > respondedAt);
		return decideBlock({crashes: [...crashes.values()], respondedAt, probedAt}, now);
	}

	isBlocked(fingerprint: Fingerprint, now: Millis = 0): boolean {
		return this.decide(fingerprint, now).kind === 'block';
	}

	/** Returns the upstreams whose crashes a response explains. */
	explained(fingerprint: Fingerprint): UpstreamIncarnation[] {
		const respondedAt = this.responses.get(fingerprint);
		return [...this.crashes.get(fingerprint) ?? []].filter(([, crash]) => isExplained(crash, respondedAt)).map(([key]) => parseIncarnationKey(key)!);
	}

	/** Drops what no longer counts, also what was never written to a row. */
	prune(now: Millis): void {
		for (const [fingerprint, respondedAt] of this.responses) {
			if (now - respondedAt >= crashRetentionMs) {
				this.responses.delete(fingerprint);
			}
		}

		for (const [fingerprint, probes] of this.probes) {
			for (const [probe, at] of probes) {
				if (now - at >= crashRetentionMs) {
					this.forgetProbe(fingerprint, probe);
				}
			}
		}

		for (const [fingerprint, crashes] of this.crashes) {
			const respondedAt = this.responses.get(fingerprint);
			for (const [key, crash] of crashes) {
				if (isExplained(crash, respondedAt) || now - crash.at >= crashRetentionMs) {
					this.forget(fingerprint, parseIncarnationKey(key)!);
				}
			}
		}
	}
}

/** Tells the forwarder which requests to block and receives its reports of possible crashes. */
export abstract class CrashGuard {
	/** Whether the request has crashed too many upstreams to be sent to another one. */
	abstract isBlocked(req: RequestContent): boolean;
	/** Reports that the upstream closed the connection before its response to the request was complete. */
	abstract reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void;

	/** Reports that an upstream has run the request and that its response is certainly complete. Does nothing by default. */
	reportResponse(req: RequestContent): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	/**
	Asks for permission to send a blocked request to one upstream, so that a request that was blocked by chance can show it. Returns
	undefined if it may not be asked for now, as by default.
	*/
	requestProbe(req: RequestContent): Promise<boolean> | undefined {
		return undefined;
	}
}

/** Returns a string that identifies an incarnation of an upstream, for use in sets and table rows. */
export function incarnationKey({upstream, bornAt}: UpstreamIncarnation): string {
	return `${upstream}#${bornAt}`;
}

/** Returns undefined if the string does not identify an incarnation of an upstream. */
export function parseIncarnationKey(key: string): UpstreamIncarnation | undefined {
	const [upstream, bornAt] = key.split('#');
	return upstream === undefined || bornAt === undefined ? undefined : {upstream: upstream as UpstreamId, bornAt: Number(bornAt)};
}
