import {isReachable} from '@cicadapost/membership';
import {
	decideRouting, type PoolDestinations, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import type {DataCentreId, Millis, PoolId} from '@cicadapost/types';
import {trackDeathReport} from './death-reports.js';
import {shardOwner, shardsOf} from './shards.js';
import {EventHandler} from './event-handler.js';

/** Cost of a relay within the region: a round trip of 3 ms between data centres and the 20 ms of a frame batch. */
const linkCostMs: Millis = 25;
/** Cost of a relay to another region: a round trip of 24 ms and the 20 ms of a frame batch, doubled because the volume is billed. */
const regionLinkCostMs: Millis = 90;

/** Routes attempts of requests to upstreams and to other data centres. */
export class RoutingHandler extends EventHandler {
	destinationsOf(pool: PoolId): PoolDestinations {
		const {site, dataCentre, membership} = this.state;
		if (site === undefined) {
			return {shards: [], dataCentres: []};
		}

		const shards = [...shardsOf(site, dataCentre, membership.leavingUpstreams)]
			.filter(([shard]) => shard.split('/')[1] === pool)
			.map(([shard, upstreams]) => ({shard, upstreams: upstreams.filter(({leaving}) => !leaving).map(({upstream}) => upstream)}));
		const homeRegion = site.dataCentres[dataCentre]?.region;
		const dataCentres = Object.entries(site.poolsByDataCentre)
			.filter(([name, pools]) => name !== dataCentre && pools.includes(pool) && isReachable(membership, name as DataCentreId))
			.map(([name]) => ({dataCentre: name as DataCentreId, costMs: site.dataCentres[name]?.region === homeRegion ? linkCostMs : regionLinkCostMs}))
			.sort((a, b) => a.costMs - b.costMs);
		return {shards, dataCentres};
	}

	route(event: RouterEvent): void {
		const outcome = decideRouting(this.state.router, event, this.now);
		this.state.router = outcome.state;
		for (const action of outcome.actions) {
			this.applyRouterAction(action);
		}
	}

	private applyRouterAction(action: RouterAction): void {
		switch (action.kind) {
			case 'acquire': {
				this.context.grants.sendAcquire(action.acquire);
				break;
			}

			case 'release': {
				const owner = shardOwner(this.state.membership, action.release.shard);
				this.state.pendingAcquires.delete(action.release.attempt);
				this.state.grants.delete(action.release.attempt);
				trackDeathReport(this.state.deathReports, action.release, this.state.suspects, this.now);
				if (owner !== undefined) {
					this.context.sendOrHandleLocally(owner, action.release);
				}

				break;
			}

			case 'open': {
				this.actions.push({...action, kind: 'open-attempt'});
				break;
			}

			case 'cancel': {
				this.actions.push({kind: 'cancel-attempt', attempt: action.attempt});
				break;
			}

			case 'relay': {
				this.context.relays.sendRelay(action.dataCentre, action.relay);
				break;
			}

			case 'cancel-relay': {
				const to = this.state.relays.sentTo.get(action.attempt);
				this.state.relays.sentTo.delete(action.attempt);
				if (to !== undefined) {
					this.actions.push({kind: 'send', to, message: {kind: 'cancel-relay', attempt: action.attempt}});
				}

				break;
			}

			case 'relay-ended': {
				this.state.relays.sentTo.delete(action.attempt);
				break;
			}

			case 'deliver':
			case 'complete':
			case 'fail': {
				this.context.requests.answer(action);
				break;
			}
		}
	}
}
