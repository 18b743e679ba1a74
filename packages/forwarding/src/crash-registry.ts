import {createHash} from 'node:crypto';
import type {Fingerprint, UpstreamId} from '@cicadapost/types';
import type {ExchangeEnd} from './connection-pool.js';

/** One run of an upstream's process. A restarted upstream keeps its id but has another `bornAt`. */
export type UpstreamIncarnation = Readonly<{upstream: UpstreamId; bornAt: number}>;

/** A request that has crashed this many upstreams is blocked. Three, so that a request that happened to be at two crashing upstreams by chance is not blocked. */
const crashLimit = 3;
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
Records which requests have crashed which upstreams. A request that crashes every upstream that runs it, and that is retried
through any daemon, takes the whole service down unless all daemons share this record.
*/
export class CrashRegistry {
	private readonly incarnationsByFingerprint = new Map<Fingerprint, Set<string>>();

	/** Records a crash and returns whether it was new. */
	record(fingerprint: Fingerprint, incarnation: UpstreamIncarnation): boolean {
		const known = this.incarnationsByFingerprint.get(fingerprint) ?? new Set<string>();
		const before = known.size;
		known.add(incarnationKey(incarnation));
		this.incarnationsByFingerprint.set(fingerprint, known);
		return known.size > before;
	}

	forget(fingerprint: Fingerprint, incarnation: UpstreamIncarnation): void {
		const known = this.incarnationsByFingerprint.get(fingerprint);
		known?.delete(incarnationKey(incarnation));
		if (known?.size === 0) {
			this.incarnationsByFingerprint.delete(fingerprint);
		}
	}

	/** Whether no crashes are recorded, in which case requests need no fingerprint. */
	get isEmpty(): boolean {
		return this.incarnationsByFingerprint.size === 0;
	}

	isBlocked(fingerprint: Fingerprint): boolean {
		return (this.incarnationsByFingerprint.get(fingerprint)?.size ?? 0) >= crashLimit;
	}
}

/** Tells the forwarder which requests to block and receives its reports of possible crashes. */
export abstract class CrashGuard {
	/** Whether the request has crashed too many upstreams to be sent to another one. */
	abstract isBlocked(req: RequestContent): boolean;
	/** Reports that the upstream closed the connection before its response to the request was complete. */
	abstract reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void;
}

/** Returns a string that identifies an incarnation of an upstream, for use in sets and table rows. */
export function incarnationKey({upstream, bornAt}: UpstreamIncarnation): string {
	return `${upstream}#${bornAt}`;
}
