import {isSettled} from '@cicadapost/membership';
import type {
	Acquire, DaemonId, Millis, PeerMessage,
} from '@cicadapost/types';
import type {OpenAcquire} from './daemon-state.js';
import {dueReports} from './death-reports.js';
import {withdrawal} from './held-grants.js';
import {shardOf, shardOwner} from './shards.js';
import {notOwnerRetryMs, TurnPart} from './turn-part.js';

/** First wait before an unanswered acquire is repeated. It doubles, since a long wait is mostly a place in a queue. */
const askAgainMs: Millis = 1000;
const maxAskAgainMs: Millis = 8000;

/** Slots at shard owners, from the side of the daemon that asks for them. */
export class GrantsPart extends TurnPart {
	/** A grant for an attempt that has ended goes back to its owner, or the slot would stay taken. */
	private returnGrant(from: DaemonId, grant: Extract<PeerMessage, {kind: 'grant'}>): void {
		const {site, dataCentre, grants} = this.state;
		const shard = site === undefined || grants.has(grant.attempt) ? undefined : shardOf(site, dataCentre, grant.upstream);
		if (shard !== undefined) {
			this.turn.sendOrReceive(from, {
				kind: 'release', attempt: grant.attempt, shard, result: 'cancelled', tokens: 0, generationMs: 0,
			});
		}
	}

	/** Accepts a slot from the daemon that was asked for it. An earlier owner of the shard may answer late. */
	receiveGrant(from: DaemonId, message: Extract<PeerMessage, {kind: 'grant'}>): void {
		const open = this.state.acquires.get(message.attempt);
		if (open === undefined) {
			this.returnGrant(from, message);
			return;
		}

		if (open.to !== from) {
			this.turn.sendOrReceive(from, withdrawal(open.acquire));
			return;
		}

		this.state.acquires.delete(message.attempt);
		this.state.grants.set(message.attempt, {
			acquire: open.acquire, upstream: message.upstream, owner: from, grantedAt: this.now,
		});
		this.turn.router.route({...message, kind: 'granted'});
	}

	sendAcquire(acquire: Acquire, deadlineAt: Millis = this.now + acquire.remainingMs, waitMs: Millis = askAgainMs): void {
		const {membership, acquires} = this.state;
		const owner = shardOwner(membership, acquire.shard);
		if (owner === undefined && isSettled(membership)) {
			acquires.delete(acquire.attempt);
			this.turn.router.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		acquires.set(acquire.attempt, {
			acquire, to: owner, deadlineAt, askAgainAt: this.now + (owner === undefined ? notOwnerRetryMs : waitMs), waitMs,
		});
		if (owner !== undefined) {
			this.turn.sendOrReceive(owner, {...acquire, remainingMs: deadlineAt - this.now});
		}
	}

	receiveRefusal(from: DaemonId, refusal: Extract<PeerMessage, {kind: 'refuse'}>): void {
		const open = this.state.acquires.get(refusal.attempt);
		if (open?.to !== from) {
			// The refusal is late: the acquire has been granted, or has been sent to another daemon since.
			return;
		}

		if (refusal.reason === 'not-owner' && this.retryAcquire(from, open)) {
			return;
		}

		this.state.acquires.delete(refusal.attempt);
		this.turn.router.route({...refusal, kind: 'refused'});
	}

	/** Asks again after `from` turned out not to be the owner. False if the shard does not exist any more. */
	private retryAcquire(from: DaemonId, open: OpenAcquire): boolean {
		const {acquire, deadlineAt} = open;
		if (!this.turn.router.placesOf(acquire.request.pool).shards.some(({shard}) => shard === acquire.shard)) {
			return false;
		}

		if (shardOwner(this.state.membership, acquire.shard) === from) {
			// Views differ for a moment while a shard moves.
			this.state.acquires.set(acquire.attempt, {...open, askAgainAt: this.now + notOwnerRetryMs});
		} else {
			this.sendAcquire(acquire, deadlineAt);
		}

		return true;
	}

	/** An answer may have been lost. The owner knows the attempt, so that asking again changes no place in its queue. */
	repeatDeathReports(): void {
		for (const release of dueReports(this.state.deathReports, this.state.suspects, this.now)) {
			const owner = shardOwner(this.state.membership, release.shard);
			if (owner !== undefined) {
				this.turn.sendOrReceive(owner, release);
			}
		}
	}

	askAgain(): void {
		for (const open of this.state.acquires.values()) {
			if (open.askAgainAt <= this.now) {
				this.sendAcquire(open.acquire, open.deadlineAt, Math.min(maxAskAgainMs, 2 * open.waitMs));
			}
		}
	}
}
