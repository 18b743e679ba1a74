import {createHash} from 'node:crypto';
import type {Fingerprint, UpstreamId} from '@cicadapost/types';
import type {ExchangeEnd} from './connection-pool.js';

/** One start of an upstream, which may start again under its id. */
export type UpstreamLife = Readonly<{upstream: UpstreamId; bornAt: number}>;

/** A request that has ended this many upstreams is sent to no further one. Three, so that two chance meetings with a crash block nothing. */
const crashLimit = 3;
/** Causes of a connection that the other side closed or reset, as Node.js and undici name them. */
const closedConnectionCodes = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** What a request asks for. */
export type RequestContent = Readonly<{method: string; host: string; path: string; body: Uint8Array}>;

/** Equal for requests that ask for the same work, whoever sends them and whatever their ids. */
export function fingerprintOf(req: RequestContent): Fingerprint {
	const hash = createHash('sha256').update(`${req.method} ${req.host} ${req.path}\n`).update(req.body);
	return hash.digest('base64url').slice(0, 22) as Fingerprint;
}

/** Whether an attempt that ended so may have ended its upstream: the connection was closed before the answer was whole. */
export function mayHaveCrashed(end: Readonly<{kind: ExchangeEnd['kind']; cause?: string}>): boolean {
	return end.kind === 'broken' && closedConnectionCodes.has(end.cause ?? '');
}

/**
Which requests have ended which upstreams. Answers the load of a request that crashes each upstream that begins to run it
and comes again at any daemon: without a memory that all share it takes the whole service down.
*/
export class CrashRegistry {
	private readonly livesByFingerprint = new Map<Fingerprint, Set<string>>();

	/** Returns whether this was not known yet. */
	record(fingerprint: Fingerprint, life: UpstreamLife): boolean {
		const known = this.livesByFingerprint.get(fingerprint) ?? new Set<string>();
		const before = known.size;
		known.add(lifeKey(life));
		this.livesByFingerprint.set(fingerprint, known);
		return known.size > before;
	}

	forget(fingerprint: Fingerprint, life: UpstreamLife): void {
		const known = this.livesByFingerprint.get(fingerprint);
		known?.delete(lifeKey(life));
		if (known?.size === 0) {
			this.livesByFingerprint.delete(fingerprint);
		}
	}

	/** Whether no request is known to have ended an upstream, so that none needs a fingerprint. */
	get isEmpty(): boolean {
		return this.livesByFingerprint.size === 0;
	}

	isBlocked(fingerprint: Fingerprint): boolean {
		return (this.livesByFingerprint.get(fingerprint)?.size ?? 0) >= crashLimit;
	}
}

/** What the forwarder asks and tells about requests that end their upstreams. */
export abstract class CrashGuard {
	/** Whether the request has ended so many upstreams that no further one gets it. */
	abstract isBlocked(req: RequestContent): boolean;
	/** The request was at an upstream that closed the connection before its answer was whole. */
	abstract reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void;
}

/** One text for a life, as a key of sets and rows. */
export function lifeKey({upstream, bornAt}: UpstreamLife): string {
	return `${upstream}#${bornAt}`;
}
