import {
	listSuspects, createScheduler, decideScheduling, mergeSuspects, type SchedulerAction, type SchedulerEvent, type ShardUpstream,
} from '@cicadapost/scheduling';
import type {
	DaemonId, PeerMessage, ShardId, SuspectEntry, UpstreamId,
} from '@cicadapost/types';
import {refreshMeters} from './caps.js';
import {reassignGrants, createCancellation} from './held-grants.js';
import {shardOwner, shardPolicy, shardsOf} from './shards.js';
import {
	countTicksWithoutAnswer, createStateRead, resetAfterPause, isStateUnknown, recordAnswer, scheduleRetry, takeDueReads,
} from './state-reads.js';
import {notOwnerRetryMs, EventHandler} from './event-handler.js';

/** Handles the shards that this daemon owns: their schedulers, the state of their upstreams, and the suspects. */
export class ShardHandler extends EventHandler {
	/**
	Applies a release. A former owner forwards a reported death to the current owner, and ignores other releases, which only undo
	what it had recorded as the owner.
	*/
	receiveRelease(release: Extract<PeerMessage, {kind: 'release'}>): void {
		const {schedulers, membership, self} = this.state;
		const owner = shardOwner(membership, release.shard);
		if (schedulers.has(release.shard)) {
			this.schedule(release.shard, {kind: 'release', release});
		} else if (release.death !== undefined && owner !== undefined && owner !== self && release.isForwarded !== true) {
			this.actions.push({kind: 'send', to: owner, message: {...release, isForwarded: true}});
		}
	}

	/** Sends a copy of the suspects to a daemon that was not known before. */
	sendSuspectsToNewPeer(daemon: DaemonId): void {
		if (this.state.membership.peers.has(daemon)) {
			return;
		}

		const entries = listSuspects(this.state.suspects, this.now);
		if (entries.length > 0) {
			this.actions.push({kind: 'send', to: daemon, message: {kind: 'suspects', entries}});
		}
	}

	/** Merges new entries and forwards them between data centres, to the peers that this daemon has on the other side. */
	receiveSuspects(from: DaemonId, entries: readonly SuspectEntry[]): void {
		const newEntries = mergeSuspects(this.state.suspects, entries, this.now);
		if (newEntries.length === 0) {
			return;
		}

		const {dataCentre, membership} = this.state;
		const isFromLocalPeer = this.context.members.dataCentreOf(from) === dataCentre;
		for (const [to, peer] of membership.peers) {
			if (to !== from && (peer.dataCentre === dataCentre) !== isFromLocalPeer) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: newEntries}});
			}
		}

		this.notifySchedulers();
	}

	private notifySchedulers(except?: ShardId): void {
		for (const shard of this.state.schedulers.keys()) {
			if (shard !== except) {
				this.schedule(shard, {kind: 'suspects-changed'});
			}
		}
	}

	acquire(from: DaemonId, acquire: Extract<PeerMessage, {kind: 'acquire'}>): void {
		this.context.members.updateMembership({kind: 'contacted', from});
		if (this.state.schedulers.has(acquire.shard)) {
			this.schedule(acquire.shard, {kind: 'acquire', from, acquire});
			return;
		}

		this.context.sendOrHandleLocally(from, {
			kind: 'refuse', attempt: acquire.attempt, reason: 'not-owner', retryAfterMs: notOwnerRetryMs,
		});
	}

	schedule(shard: ShardId, event: SchedulerEvent): void {
		const scheduler = this.state.schedulers.get(shard);
		if (scheduler === undefined) {
			return;
		}

		const outcome = decideScheduling(scheduler, event, this.now);
		this.state.schedulers.set(shard, outcome.state);
		for (const action of outcome.actions) {
			this.applySchedulerAction(shard, action);
		}
	}

	private applySchedulerAction(shard: ShardId, action: SchedulerAction): void {
		if (action.kind === 'share-suspects') {
			for (const to of this.state.membership.peers.keys()) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: action.entries}});
			}

			this.notifySchedulers(shard);
			return;
		}

		const {to, ...message} = action;
		this.context.sendOrHandleLocally(to, message);
	}

	/** After a pause of the process, engines get no grants until their state has been read again. */
	resetStateReadsAfterPause(): void {
		const {stateReads, lastDecisionAt} = this.state;
		this.state.lastDecisionAt = this.now;
		if (resetAfterPause(stateReads, lastDecisionAt, this.now)) {
			this.refreshShards();
		}
	}

	/** Sends the state reads that are due, about one per second for each engine of the owned shards, and counts the tick. */
	tickStateReads(): void {
		this.sendDueStateReads();
		if (countTicksWithoutAnswer(this.state.stateReads)) {
			this.refreshShards();
		}
	}

	/** `isLeaving` is undefined if the engine did not answer. */
	handleUpstreamState(upstream: UpstreamId, isLeaving: boolean | undefined): void {
		const read = this.state.stateReads.get(upstream);
		if (read === undefined) {
			return;
		}

		if (isLeaving === undefined) {
			scheduleRetry(read, this.now);
			return;
		}

		const isUsable = recordAnswer(read);
		this.context.members.updateMembership({kind: 'upstream-state', upstream, leaving: isLeaving});
		if (isUsable) {
			this.refreshShards();
		}
	}

	private sendDueStateReads(): void {
		for (const upstream of takeDueReads(this.state.stateReads, this.now)) {
			this.actions.push({kind: 'read-state', upstream});
		}
	}

	private ownedEngines(shards: ReadonlyMap<ShardId, readonly ShardUpstream[]>): Set<UpstreamId> {
		const {site, membership, self} = this.state;
		const isEngine = (upstream: UpstreamId) => site?.pools[site.upstreams[upstream]?.pool ?? '']?.kind === 'engine';
		const owned = [...shards].filter(([shard]) => shardOwner(membership, shard) === self);
		return new Set(owned.flatMap(([, upstreams]) => upstreams.map(({upstream}) => upstream).filter(upstream => isEngine(upstream))));
	}

	private syncStateReads(shards: ReadonlyMap<ShardId, readonly ShardUpstream[]>): void {
		const {stateReads} = this.state;
		const upstreams = this.ownedEngines(shards);
		this.context.members.updateMembership({kind: 'upstreams-owned', upstreams});
		for (const upstream of stateReads.keys()) {
			if (!upstreams.has(upstream)) {
				stateReads.delete(upstream);
			}
		}

		for (const upstream of upstreams) {
			if (!stateReads.has(upstream)) {
				stateReads.set(upstream, createStateRead(this.now));
			}
		}

		this.sendDueStateReads();
	}

	/** Takes over the shards that this daemon now owns, drops the others, and sends pending acquires again to new owners. */
	refreshShards(): void {
		const {site, dataCentre, membership, schedulers, pendingAcquires, self} = this.state;
		if (site === undefined) {
			return;
		}

		const shards = shardsOf(site, dataCentre, membership.leavingUpstreams);
		this.syncStateReads(shards);
		for (const shard of schedulers.keys()) {
			if (!shards.has(shard) || shardOwner(membership, shard) !== self) {
				schedulers.delete(shard);
			}
		}

		for (const [shard, members] of shards) {
			if (shardOwner(membership, shard) === self) {
				const upstreams = members.map(member => ({...member, isUnread: isStateUnknown(this.state.stateReads.get(member.upstream))}));
				schedulers.set(shard, schedulers.get(shard) ?? createScheduler({suspects: this.state.suspects}));
				this.schedule(shard, {kind: 'upstreams-changed', upstreams, ...shardPolicy(site, shard)});
			}
		}

		this.context.requests.cap((context, caps) => {
			refreshMeters(caps, context);
			return [];
		});
		// New owners are first told which attempts are running, so that they do not grant the same slots again.
		for (const {to, message} of reassignGrants(this.state.grants, shard => shardOwner(membership, shard), this.now)) {
			this.context.sendOrHandleLocally(to, message);
		}

		for (const open of pendingAcquires.values()) {
			if (shardOwner(membership, open.acquire.shard) !== open.to) {
				if (open.to !== undefined) {
					this.context.sendOrHandleLocally(open.to, createCancellation(open.acquire));
				}

				this.context.grants.sendAcquire(open.acquire, open.deadlineAt);
			}
		}
	}
}
