import {
	listSuspects, createScheduler, decideScheduling, mergeSuspects, type SchedulerAction, type SchedulerEvent, type ShardUpstream,
} from '@cicadapost/scheduling';
import type {
	DaemonId, PeerMessage, ShardId, SuspectEntry, UpstreamId,
} from '@cicadapost/types';
import {refreshMeters} from './caps-part.js';
import {moveGrants, withdrawal} from './held-grants.js';
import {shardOwner, shardPolicy, shardsOf} from './shards.js';
import {
	countTick, createStateRead, forgetAfterPause, isUnread, noteAnswer, noteNoAnswer, takeDueReads,
} from './state-reads.js';
import {notOwnerRetryMs, TurnPart} from './turn-part.js';

/** Shards that this daemon owns: their schedulers, their upstreams and the suspects. */
export class ShardsPart extends TurnPart {
	/** A death that is reported to a former owner goes on to the present one. Other releases only withdraw what that owner knew. */
	receiveRelease(release: Extract<PeerMessage, {kind: 'release'}>): void {
		const {schedulers, membership, self} = this.state;
		const owner = shardOwner(membership, release.shard);
		if (schedulers.has(release.shard)) {
			this.schedule(release.shard, {kind: 'release', release});
		} else if (release.death !== undefined && owner !== undefined && owner !== self && release.isForwarded !== true) {
			this.actions.push({kind: 'send', to: owner, message: {...release, isForwarded: true}});
		}
	}

	/** A daemon that has just appeared gets a copy of the suspects. */
	greet(daemon: DaemonId): void {
		if (this.state.membership.peers.has(daemon)) {
			return;
		}

		const entries = listSuspects(this.state.suspects, this.now);
		if (entries.length > 0) {
			this.actions.push({kind: 'send', to: daemon, message: {kind: 'suspects', entries}});
		}
	}

	/** Takes in what is new, and passes it on between the data centres if this daemon has a connection across. */
	receiveSuspects(from: DaemonId, entries: readonly SuspectEntry[]): void {
		const news = mergeSuspects(this.state.suspects, entries, this.now);
		if (news.length === 0) {
			return;
		}

		const {dataCentre, membership} = this.state;
		const isFromHome = this.turn.members.dataCentreOf(from) === dataCentre;
		for (const [to, peer] of membership.peers) {
			if (to !== from && (peer.dataCentre === dataCentre) !== isFromHome) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: news}});
			}
		}

		this.tellSchedulers();
	}

	private tellSchedulers(except?: ShardId): void {
		for (const shard of this.state.schedulers.keys()) {
			if (shard !== except) {
				this.schedule(shard, {kind: 'suspects-changed'});
			}
		}
	}

	acquire(from: DaemonId, acquire: Extract<PeerMessage, {kind: 'acquire'}>): void {
		this.turn.members.updateMembership({kind: 'contacted', from});
		if (this.state.schedulers.has(acquire.shard)) {
			this.schedule(acquire.shard, {kind: 'acquire', from, acquire});
			return;
		}

		this.turn.sendOrReceive(from, {
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
			this.applyScheduling(shard, action);
		}
	}

	private applyScheduling(shard: ShardId, action: SchedulerAction): void {
		if (action.kind === 'share-suspects') {
			for (const to of this.state.membership.peers.keys()) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: action.entries}});
			}

			this.tellSchedulers(shard);
			return;
		}

		const {to, ...message} = action;
		this.turn.sendOrReceive(to, message);
	}

	/** After a pause of the process, engines get no grant until their state has been read again. */
	noticePause(): void {
		const {stateReads, lastTurnAt} = this.state;
		this.state.lastTurnAt = this.now;
		if (forgetAfterPause(stateReads, lastTurnAt, this.now)) {
			this.refreshShards();
		}
	}

	/** Reads the state of each engine of the owned shards about once a second. */
	tickStates(): void {
		this.readStates();
		if (countTick(this.state.stateReads)) {
			this.refreshShards();
		}
	}

	/** `isLeaving` is undefined if the engine gave no answer. */
	receiveState(upstream: UpstreamId, isLeaving: boolean | undefined): void {
		const read = this.state.stateReads.get(upstream);
		if (read === undefined) {
			return;
		}

		if (isLeaving === undefined) {
			noteNoAnswer(read, this.now);
			return;
		}

		const isUsable = noteAnswer(read);
		this.turn.members.updateMembership({kind: 'upstream-state', upstream, leaving: isLeaving});
		if (isUsable) {
			this.refreshShards();
		}
	}

	private readStates(): void {
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

	private useOwnedEngines(shards: ReadonlyMap<ShardId, readonly ShardUpstream[]>): void {
		const {stateReads} = this.state;
		const upstreams = this.ownedEngines(shards);
		this.turn.members.updateMembership({kind: 'upstreams-owned', upstreams});
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

		this.readStates();
	}

	/** Takes over shards that this daemon owns now, gives up the others, and repeats `acquire` at new owners. */
	refreshShards(): void {
		const {site, dataCentre, membership, schedulers, acquires, self} = this.state;
		if (site === undefined) {
			return;
		}

		const shards = shardsOf(site, dataCentre, membership.leavingUpstreams);
		this.useOwnedEngines(shards);
		for (const shard of schedulers.keys()) {
			if (!shards.has(shard) || shardOwner(membership, shard) !== self) {
				schedulers.delete(shard);
			}
		}

		for (const [shard, members] of shards) {
			if (shardOwner(membership, shard) === self) {
				const upstreams = members.map(member => ({...member, isUnread: isUnread(this.state.stateReads.get(member.upstream))}));
				schedulers.set(shard, schedulers.get(shard) ?? createScheduler({suspects: this.state.suspects}));
				this.schedule(shard, {kind: 'upstreams-changed', upstreams, ...shardPolicy(site, shard)});
			}
		}

		this.turn.requests.cap((context, caps) => {
			refreshMeters(caps, context);
			return [];
		});
		// New owners hear first what runs already, so that they do not grant the same slots again.
		for (const {to, message} of moveGrants(this.state.grants, shard => shardOwner(membership, shard), this.now)) {
			this.turn.sendOrReceive(to, message);
		}

		for (const open of acquires.values()) {
			if (shardOwner(membership, open.acquire.shard) !== open.to) {
				if (open.to !== undefined) {
					this.turn.sendOrReceive(open.to, withdrawal(open.acquire));
				}

				this.turn.grants.sendAcquire(open.acquire, open.deadlineAt);
			}
		}
	}
}
