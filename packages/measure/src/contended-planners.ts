import {
	longSampleTokens, planClaims, planContendedClaims, type ClaimTarget, type EngineCapacity,
} from '@cicadapost/batches';
import type {SoftwareVersion} from '@cicadapost/types';
import {model, type PlanningState} from './contended-load.js';

const softwareVersion = 'v1' as SoftwareVersion;

function capacityOf({engine, engines}: PlanningState): EngineCapacity {
	return {
		id: engine.id, slots: engine.slots, running: engine.running.length, runningLong: engine.running.filter(({expected}) => expected > longSampleTokens).length,
		softwareVersion, readyVersions: new Set([softwareVersion]), isSlow: false, versions: new Map([[model, 1]]), rank: engine.rank, engines: engines.length,
	};
}

/** Orders items by slack alone, separately for each engine. */
export function planBySlack(state: PlanningState): readonly ClaimTarget[] {
	return planClaims({
		engine: capacityOf(state), batches: state.batches, isClaimLive: () => true, isHeld: () => false, now: state.now,
	});
}

/** Orders items by the rank of their groups. */
export function planByRank(state: PlanningState): readonly ClaimTarget[] {
	const {engine, engines, batches, msPerToken, hasPrompt, now} = state;
	const free = engines.filter(({running, slots}) => running.length < slots);
	return planContendedClaims({
		engine: capacityOf(state),
		batches,
		isClaimLive: () => true,
		isHeld: () => false,
		msPerToken: msPerToken(engine.id),
		hasPrompt,
		slots: engines.reduce((sum, {slots}) => sum + slots, 0),
		free: {index: Math.max(0, free.indexOf(engine)), count: Math.max(1, free.length)},
		now,
	});
}
