import {isSettled} from '@cicadapost/membership';
import type {
	Acquire, DaemonId, Millis, PeerMessage,
} from '@cicadapost/types';
import type {PendingAcquire} from './daemon-state.js';
import {takeDueReports} from './death-reports.js';
import {createCancellation} from './held-grants.js';
import {shardOf, shardOwner} from './shards.js';
import {notOwnerRetryMs, EventHandler} from './event-handler.js';

/** Delay before an unanswered acquire is first sent again. It doubles each time, since a long wait usually means that the attempt is queued. */
const initialRetryDelayMs: Millis = 1000;
const maxRetryDelayMs: Millis = 8000;

/** Requests slots from shard owners, and handles their grants and refusals. */
export class GrantHandler extends EventHandler {
	/** Releases a grant for an attempt that has ended, since the slot would otherwise stay occupied at its owner. */
	private releaseUnusedGrant(from: DaemonId, grant: Extract<PeerMessage, {kind: 'grant'}>): void {
		const {site, dataCentre, grants} = this.state;
		const shard = site === undefined || grants.has(grant.attempt) ? undefined : shardOf(site, dataCentre, grant.upstream);
		if (shard !== undefined) {
			this.context.sendOrHandleLocally(from, {
				kind: 'release', attempt: grant.attempt, shard, result: 'cancelled', tokens: 0, generationMs: 0,
			});
		}
	}

	/** Accepts a slot from the daemon that was last asked for it. A late grant from a former owner of the shard is cancelled. */
	receiveGrant(from: DaemonId, message: Extract<PeerMessage, {kind: 'grant'}>): void {
		const open = this.state.pendingAcquires.get(message.attempt);
		if (open === undefined) {
			this.releaseUnusedGrant(from, message);
			return;
		}

		if (open.to !== from) {
			this.context.sendOrHandleLocally(from, createCancellation(open.acquire));
			return;
		}

		this.state.pendingAcquires.delete(message.attempt);
		this.state.grants.set(message.attempt, {
			acquire: open.acquire, upstream: message.upstream, owner: from, grantedAt: this.now,
		});
		this.context.router.route({...message, kind: 'granted'});
	}

	sendAcquire(acquire: Acquire, deadlineAt: Millis = this.now + acquire.remainingMs, retryDelayMs: Millis = initialRetryDelayMs): void {
		const {membership, pendingAcquires} = this.state;
		const owner = shardOwner(membership, acquire.shard);
		if (owner === undefined && isSettled(membership)) {
			pendingAcquires.delete(acquire.attempt);
			this.context.router.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		pendingAcquires.set(acquire.attempt, {
			acquire, to: owner, deadlineAt, retryAt: this.now + (owner === undefined ? notOwnerRetryMs : retryDelayMs), retryDelayMs,
		});
		if (owner !== undefined) {
			this.context.sendOrHandleLocally(owner, {...acquire, remainingMs: deadlineAt - this.now});
		}
	}

	receiveRefusal(from: DaemonId, refusal: Extract<PeerMessage, {kind: 'refuse'}>): void {
		const open = this.state.pendingAcquires.get(refusal.attempt);
		if (open?.to !== from) {
			// The refusal is late: the acquire has been granted or sent to another daemon in the meantime.
			return;
		}

		if (refusal.reason === 'not-owner' && this.retryAfterNotOwner(from, open)) {
			return;
		}

		this.state.pendingAcquires.delete(refusal.attempt);
		this.context.router.route({...refusal, kind: 'refused'});
	}

	/** Sends an acquire again after `from` refused it as not the owner. Returns false if the shard no longer exists. */
	private retryAfterNotOwner(from: DaemonId, open: PendingAcquire): boolean {
		const {acquire, deadlineAt} = open;
		if (!this.context.router.destinationsOf(acquire.request.pool).shards.some(({shard}) => shard === acquire.shard)) {
			return false;
		}

		if (shardOwner(this.state.membership, acquire.shard) === from) {
			// The views of the two daemons differ for a moment while a shard moves.
			this.state.pendingAcquires.set(acquire.attempt, {...open, retryAt: this.now + notOwnerRetryMs});
		} else {
			this.sendAcquire(acquire, deadlineAt);
		}

		return true;
	}

	/** Sends death reports again that are not known to be counted. */
	resendDeathReports(): void {
		for (const release of takeDueReports(this.state.deathReports, this.state.suspects, this.now)) {
			const owner = shardOwner(this.state.membership, release.shard);
			if (owner !== undefined) {
				this.context.sendOrHandleLocally(owner, release);
			}
		}
	}

	/**
	Sends acquires again that have not been answered in time, since the answer may have been lost. The owner recognises the
	attempt, so that it keeps its place in the queue.
	*/
	retryDueAcquires(): void {
		for (const open of this.state.pendingAcquires.values()) {
			if (open.retryAt <= this.now) {
				this.sendAcquire(open.acquire, open.deadlineAt, Math.min(maxRetryDelayMs, 2 * open.retryDelayMs));
			}
		}
	}
}
