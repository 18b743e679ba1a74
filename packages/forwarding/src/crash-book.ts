import {createHash} from 'node:crypto';
import type {Fingerprint, UpstreamId} from '@cicadapost/types';
import type {ExchangeEnd} from './connection-pool.js';

/** One start of an upstream, which may start again under its id. */
export type UpstreamLife = Readonly<{upstream: UpstreamId; bornAt: number}>;

/** A request that has ended this many upstreams is sent to no further one. Three, so that two chance meetings with a crash block nothing. */
const maxCrashes = 3;
/** Causes of a connection that the other side closed or reset, as Node.js and undici name them. */
const closedCauses = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** What a request asks for. */
export type RequestContent = Readonly<{method: string; host: string; path: string; body: Uint8Array}>;

/** Equal for requests that ask for the same work, whoever sends them and whatever their ids. */
export function fingerprintOf(req: RequestContent): Fingerprint {
	const hash = createHash('sha256').update(`${req.method} ${req.host} ${req.path}\n`).update(req.body);
	return hash.digest('base64url').slice(0, 22) as Fingerprint;
}

/** Whether an attempt that ended so may have ended its upstream: the connection was closed before the answer was whole. */
export function mayHaveCrashed(end: Readonly<{kind: ExchangeEnd['kind']; cause?: string}>): boolean {
	return end.kind === 'broken' && closedCauses.has(end.cause ?? '');
}

/**
Which requests have ended which upstreams. Answers the load of a request that crashes each upstream that begins to run it
and comes again at any daemon: without a memory that all share it takes the whole service down.
*/
export class CrashBook {
	private readonly lives = new Map<Fingerprint, Set<string>>();

	/** Returns whether this was not known yet. */
	record(fingerprint: Fingerprint, life: UpstreamLife): boolean {
		const known = this.lives.get(fingerprint) ?? new Set<string>();
		const before = known.size;
		known.add(lifeName(life));
		this.lives.set(fingerprint, known);
		return known.size > before;
	}

	forget(fingerprint: Fingerprint, life: UpstreamLife): void {
		const known = this.lives.get(fingerprint);
		known?.delete(lifeName(life));
		if (known?.size === 0) {
			this.lives.delete(fingerprint);
		}
	}

	/** Whether no request is known to have ended an upstream, so that none needs a fingerprint. */
	get isEmpty(): boolean {
		return this.lives.size === 0;
	}

	isBlocked(fingerprint: Fingerprint): boolean {
		return (this.lives.get(fingerprint)?.size ?? 0) >= maxCrashes;
	}
}

/** What the forwarder asks and tells about requests that end their upstreams. */
export abstract class CrashGuard {
	/** Whether the request has ended so many upstreams that no further one gets it. */
	abstract isBlocked(req: RequestContent): boolean;
	/** The request was at an upstream that closed the connection before its answer was whole. */
	abstract suspect(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void;
}

/** One text for a life, as a key of sets and rows. */
export function lifeName({upstream, bornAt}: UpstreamLife): string {
	return `${upstream}#${bornAt}`;
}
