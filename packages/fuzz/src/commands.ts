import type {FakeDaemon, FakeEngine} from '@cicadapost/fakes';
import fc from 'fast-check';
import type {Deployment} from './deployment.js';

type Model = Record<string, never>;

/** One step of a history. The text is printed with a counterexample. */
class Step implements fc.Command<Model, Deployment> {
	constructor(private readonly text: string, private readonly act: (deployment: Deployment) => void) {}

	check(): boolean {
		return true;
	}

	run(_model: Model, deployment: Deployment): void {
		this.act(deployment);
	}

	toString(): string {
		return this.text;
	}
}

const daemonCount = 4;
const engineCount = 8;
const daemonIndex = fc.nat({max: daemonCount - 1});
const engineIndex = fc.nat({max: engineCount - 1});

function onDaemon(name: string, act: (deployment: Deployment, daemon: FakeDaemon) => void): fc.Arbitrary<Step> {
	return daemonIndex.map(index => new Step(`${name}(daemon ${index})`, deployment => {
		act(deployment, deployment.daemons[index]!);
	}));
}

function onEngine(name: string, act: (deployment: Deployment, engine: FakeEngine) => void): fc.Arbitrary<Step> {
	return engineIndex.map(index => new Step(`${name}(engine ${index})`, deployment => {
		act(deployment, deployment.engines[index]!);
	}));
}

function always(name: string, act: (deployment: Deployment) => void): fc.Arbitrary<Step> {
	return fc.constant(new Step(name, act));
}

const advance = fc.integer({min: 1, max: 3000}).map(ms => new Step(`advance(${ms} ms)`, deployment => {
	deployment.advance(ms);
}));

const call = fc.record({
	daemon: daemonIndex, tokens: fc.integer({min: 1, max: 60}), isNonIdempotent: fc.boolean(), isPoison: fc.integer({min: 0, max: 19}).map(number => number === 0),
}).map(({daemon, ...job}) => new Step(`call(daemon ${daemon}, ${JSON.stringify(job)})`, deployment => {
	deployment.call(deployment.daemons[daemon]!, job);
}));

/** Many requests at the same time, so that queues form and faults meet requests in flight. */
const burst = fc.record({
	daemon: daemonIndex, count: fc.integer({min: 2, max: 16}), tokens: fc.integer({min: 5, max: 120}), poisonAt: fc.option(fc.nat({max: 15}), {freq: 4}),
}).map(({daemon, count, tokens, poisonAt}) => new Step(`burst(daemon ${daemon}, ${count} calls of ${tokens} tokens, poison at ${poisonAt ?? 'none'})`, deployment => {
	for (let index = 0; index < count; index++) {
		const job = {tokens: tokens + index, isNonIdempotent: index % 4 === 3, isPoison: index === poisonAt};
		deployment.call(deployment.daemons[(daemon + index) % daemonCount]!, job);
	}
}));

const repeat = fc.record({daemon: daemonIndex, job: fc.nat({max: 30})}).map(({daemon, job}) => new Step(`repeat(daemon ${daemon}, job ${job})`, deployment => {
	deployment.repeat(deployment.daemons[daemon]!, job);
}));

/** Steps that every history has: time passes, callers send requests, and send them again. */
const ordinarySteps = [advance, advance, advance, advance, advance, call, call, call, burst, burst, burst, burst, repeat, repeat, repeat, repeat];

/** Faults by name, so that a run can be limited to some of them. */
export const faults: Readonly<Record<string, ReadonlyArray<fc.Arbitrary<Step>>>> = {
	'kill-daemon': [onDaemon('kill', (_, daemon) => {
		daemon.kill();
	}), onDaemon('restart', (_, daemon) => {
		daemon.restart();
	})],
	'pause-daemon': [onDaemon('pause', (_, daemon) => {
		daemon.pause();
	}), onDaemon('pauseBeforeActions', (_, daemon) => {
		daemon.pause({isHoldingActions: true});
	}), onDaemon('resume', (_, daemon) => {
		daemon.resume();
	})],
	partition: [always('cut(west > east)', ({world}) => {
		world.network.cut('west', 'east');
	}), always('cut(east > west)', ({world}) => {
		world.network.cut('east', 'west');
	}), always('cut(east from store)', ({world}) => {
		world.network.cutBoth('east', 'store');
	}), always('heal', ({world}) => {
		world.network.healAll();
	})],
	'store-outage': [always('storeDown', ({world}) => {
		world.tables.faults.isDown = true;
	}), always('storeSlow', ({world}) => {
		world.tables.faults.delayMs = 1500;
	}), always('storeUp', ({world}) => {
		Object.assign(world.tables.faults, {isDown: false, delayMs: 5});
	})],
	'lost-answers': [always('loseAnswers', ({world}) => {
		world.tables.faults.lostAnswers = 0.5;
	}), always('olderRows', ({world}) => {
		world.tables.faults.olderRows = 0.5;
	}), always('keepAnswers', ({world}) => {
		Object.assign(world.tables.faults, {lostAnswers: 0, olderRows: 0});
	})],
	messages: [always('duplicateAndReorder', ({world}) => {
		Object.assign(world.network.faults, {duplication: 0.3, reorderMs: 40});
	}), always('loseMessages', ({world}) => {
		world.network.faults.loss = 0.1;
	}), always('keepMessages', ({world}) => {
		Object.assign(world.network.faults, {loss: 0, duplication: 0, reorderMs: 0});
	})],
	'engine-crash': [onEngine('die', (_, engine) => {
		engine.die();
	}), onEngine('start', (_, engine) => {
		engine.start();
	})],
	'engine-slow': [onEngine('slow', (_, engine) => {
		engine.slowness = 10;
	}), onEngine('fast', (_, engine) => {
		engine.slowness = 1;
	})],
	'engine-silent': [onEngine('silence', (_, engine) => {
		engine.silenceConnections();
	})],
	leaving: [onEngine('leave', ({world}, engine) => {
		engine.leave();
		world.publishVms();
	}), onDaemon('shutDown', (deployment, daemon) => {
		deployment.shutDownGracefully(daemon);
	})],
	operators: [onDaemon('apply', (deployment, daemon) => {
		deployment.applyConfiguration(daemon);
	})],
};

export type HistoryOptions = Readonly<{
	/** Names of the faults to generate; all by default. */
	faults?: readonly string[];
	maxSteps?: number;
}>;

/** Random histories of requests, time and faults. */
export function histories(options: HistoryOptions = {}): fc.Arbitrary<Iterable<fc.Command<Model, Deployment>>> {
	const names = options.faults ?? Object.keys(faults);
	const chosen = names.flatMap(name => {
		const steps = faults[name];
		if (steps === undefined) {
			throw new Error(`the fault "${name}" does not exist; use one of ${Object.keys(faults).join(', ')}`);
		}

		return steps;
	});
	return fc.commands([...ordinarySteps, ...chosen], {maxCommands: options.maxSteps ?? 40, size: 'max'});
}
