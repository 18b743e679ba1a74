import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {EngineWatch} from './engine-watch.js';

const engine = {id: 'e1' as UpstreamId, bornAt: 1};

function measured(): EngineWatch {
	const watch = new EngineWatch(() => false);
	watch.retain([engine]);
	for (let index = 0; index < 300; index++) {
		watch.recordGap(engine.id, 40, index * 40);
	}

	watch.recordRun(engine.id, {tookMs: 1000, expectedTokens: 500});
	return watch;
}

describe('EngineWatch', () => {
	it('keeps what it has measured while the engine stays with this daemon', () => {
		const watch = measured();
		watch.retain([engine]);
		expect([watch.eventMs(engine.id, 12_000), watch.msPerToken(engine.id)]).toEqual([40, 2]);
	});

	it('forgets it when the engine goes to another daemon, so that no daemon judges an engine by a pace of the past', () => {
		const watch = measured();
		watch.retain([]);
		watch.retain([engine]);
		expect([watch.eventMs(engine.id, 12_000), watch.msPerToken(engine.id)]).toEqual([undefined, undefined]);
	});

	it('forgets it when the engine has started again', () => {
		const watch = measured();
		watch.retain([{...engine, bornAt: 2}]);
		expect([watch.eventMs(engine.id, 12_000), watch.msPerToken(engine.id)]).toEqual([undefined, undefined]);
	});
});
