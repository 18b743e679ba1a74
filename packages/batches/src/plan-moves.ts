import type {Millis} from '@cicadapost/types';
import type {EngineWatch} from './engine-watch.js';
import {isWorthMoving} from './is-worth-moving.js';
import type {ItemReference} from './plan-claims.js';
import type {ActiveRun} from './sample-run.js';

export type PlanMovesOptions = Readonly<{
	watch: EngineWatch;
	/** Whether a run of an item may end so that another engine goes on with it. */
	mayMove: (item: ItemReference) => boolean;
	/** Whether another engine can continue the text of a run. */
	canContinue: (run: ActiveRun) => boolean;
	/** Returns how many times as long the engine of a run takes for an event as faster ones that could take it now. */
	slowerBy: (run: ActiveRun) => number;
	now: Millis;
}>;

export type RunMove = Readonly<{run: ActiveRun; reason: string}>;

/**
Finds the runs that should go on at other engines: long samples of slow engines, and samples that end earlier at a faster
engine. Short samples finish faster than they could be moved.
*/
export function planMoves(runs: Iterable<ActiveRun>, options: PlanMovesOptions): RunMove[] {
	const {watch, mayMove, canContinue, slowerBy, now} = options;
	const moves: RunMove[] = [];
	for (const run of runs) {
		if (!mayMove(run)) {
			continue;
		}

		if (run.isLong && run.eventsSinceSent > 0 && watch.isSlow(run.engine, now)) {
			moves.push({run, reason: 'the engine is slow'});
		} else if (canContinue(run) && isWorthMoving(run, {
			msPerToken: watch.msPerToken(run.engine), eventMs: watch.eventMs(run.engine, now), slowerBy: slowerBy(run), now,
		})) {
			moves.push({run, reason: 'a faster engine is free'});
		}
	}

	return moves;
}
