import type {FakeDaemon, FakeEngine} from '@cicadapost/fakes';
import fc from 'fast-check';
import type {Deployment} from './deployment.js';

type EmptyModel = Record<string, never>;

/** One command of a history. `text` is printed as part of a counterexample. */
class HistoryCommand implements fc.Command<EmptyModel, Deployment> {
	constructor(private readonly text: string, private readonly execute: (deployment: Deployment) => void) {}

	check(): boolean {
		return true;
	}

	run(_model: EmptyModel, deployment: Deployment): void {
		this.execute(deployment);
	}

	toString(): string {
		return this.text;
	}
}

const daemonCount = 4;
const engineCount = 8;
const daemonIndex = fc.nat({max: daemonCount - 1});
const engineIndex = fc.nat({max: engineCount - 1});

function daemonCommand(name: string, execute: (deployment: Deployment, daemon: FakeDaemon) => void): fc.Arbitrary<HistoryCommand> {
	return daemonIndex.map(index => new HistoryCommand(`${name}(daemon ${index})`, deployment => {
		execute(deployment, deployment.daemons[index]!);
	}));
}

function engineCommand(name: string, execute: (deployment: Deployment, engine: FakeEngine) => void): fc.Arbitrary<HistoryCommand> {
	return engineIndex.map(index => new HistoryCommand(`${name}(engine ${index})`, deployment => {
		execute(deployment, deployment.engines[index]!);
	}));
}

function fixedCommand(name: string, execute: (deployment: Deployment) => void): fc.Arbitrary<HistoryCommand> {
	return fc.constant(new HistoryCommand(name, execute));
}

const advance = fc.integer({min: 1, max: 3000}).map(ms => new HistoryCommand(`advance(${ms} ms)`, deployment => {
	deployment.advance(ms);
}));

const call = fc.record({
	daemon: daemonIndex, tokens: fc.integer({min: 1, max: 60}), isNonIdempotent: fc.boolean(), isPoison: fc.integer({min: 0, max: 19}).map(number => number === 0),
}).map(({daemon, ...job}) => new HistoryCommand(`call(daemon ${daemon}, ${JSON.stringify(job)})`, deployment => {
	deployment.call(deployment.daemons[daemon]!, job);
}));

/** Sends many requests at the same time, so that queues build up and faults hit requests in flight. */
const burst = fc.record({
	daemon: daemonIndex, count: fc.integer({min: 2, max: 16}), tokens: fc.integer({min: 5, max: 120}), poisonAt: fc.option(fc.nat({max: 15}), {freq: 4}),
}).map(({daemon, count, tokens, poisonAt}) => new HistoryCommand(`burst(daemon ${daemon}, ${count} calls of ${tokens} tokens, poison at ${poisonAt ?? 'none'})`, deployment => {
	for (let index = 0; index < count; index++) {
		const job = {tokens: tokens + index, isNonIdempotent: index % 4 === 3, isPoison: index === poisonAt};
		deployment.call(deployment.daemons[(daemon + index) % daemonCount]!, job);
	}
}));

const resend = fc.record({daemon: daemonIndex, job: fc.nat({max: 30})}).map(({daemon, job}) => new HistoryCommand(`resend(daemon ${daemon}, job ${job})`, deployment => {
	deployment.resend(deployment.daemons[daemon]!, job);
}));

/** Commands that are generated with any choice of faults: advance the time, send requests, and resend them. Repeated entries have a higher probability. */
const workloadCommands = [advance, advance, advance, advance, advance, call, call, call, burst, burst, burst, burst, resend, resend, resend, resend];

/** Commands for each fault, keyed by its name, so that a run can be limited to some faults. */
export const faults: Readonly<Record<string, ReadonlyArray<fc.Arbitrary<HistoryCommand>>>> = {
	'kill-daemon': [daemonCommand('kill', (_, daemon) => {
		daemon.kill();
	}), daemonCommand('restart', (_, daemon) => {
		daemon.restart();
	})],
	'pause-daemon': [daemonCommand('pause', (_, daemon) => {
		daemon.pause();
	}), daemonCommand('pauseBeforeActions', (_, daemon) => {
		daemon.pause({defersActions: true});
	}), daemonCommand('resume', (_, daemon) => {
		daemon.resume();
	})],
	partition: [fixedCommand('block(west > east)', ({simulation}) => {
		simulation.network.block('west', 'east');
	}), fixedCommand('block(east > west)', ({simulation}) => {
		simulation.network.block('east', 'west');
	}), fixedCommand('block(east, store)', ({simulation}) => {
		simulation.network.blockBoth('east', 'store');
	}), fixedCommand('unblockAll', ({simulation}) => {
		simulation.network.unblockAll();
	})],
	'store-outage': [fixedCommand('stopStore', ({simulation}) => {
		simulation.tables.faults.isDown = true;
	}), fixedCommand('slowStore', ({simulation}) => {
		simulation.tables.faults.delayMs = 1500;
	}), fixedCommand('restoreStore', ({simulation}) => {
		Object.assign(simulation.tables.faults, {isDown: false, delayMs: 5});
	})],
	'lost-answers': [fixedCommand('loseResponses', ({simulation}) => {
		simulation.tables.faults.lostResponseRate = 0.5;
	}), fixedCommand('readStaleRows', ({simulation}) => {
		simulation.tables.faults.staleReadRate = 0.5;
	}), fixedCommand('endStoreFaults', ({simulation}) => {
		Object.assign(simulation.tables.faults, {lostResponseRate: 0, staleReadRate: 0});
	})],
	messages: [fixedCommand('duplicateAndReorder', ({simulation}) => {
		Object.assign(simulation.network.faults, {duplicationRate: 0.3, maxReorderDelayMs: 40});
	}), fixedCommand('loseMessages', ({simulation}) => {
		simulation.network.faults.lossRate = 0.1;
	}), fixedCommand('endMessageFaults', ({simulation}) => {
		Object.assign(simulation.network.faults, {lossRate: 0, duplicationRate: 0, maxReorderDelayMs: 0});
	})],
	'engine-crash': [engineCommand('terminate', (_, engine) => {
		engine.terminate();
	}), engineCommand('start', (_, engine) => {
		engine.start();
	})],
	'engine-slow': [engineCommand('slow', (_, engine) => {
		engine.slowness = 10;
	}), engineCommand('fast', (_, engine) => {
		engine.slowness = 1;
	})],
	'engine-silent': [engineCommand('silence', (_, engine) => {
		engine.stallConnections();
	})],
	leaving: [engineCommand('leave', ({simulation}, engine) => {
		engine.leave();
		simulation.publishVms();
	}), daemonCommand('shutDown', (deployment, daemon) => {
		deployment.shutDownGracefully(daemon);
	})],
	operators: [daemonCommand('apply', (deployment, daemon) => {
		deployment.applyConfiguration(daemon);
	})],
};

export type HistoryOptions = Readonly<{
	/** Names of the faults to generate (default: all). */
	faults?: readonly string[];
	maxSteps?: number;
}>;

/** Generates random histories of requests, faults and elapsed time. */
export function histories(options: HistoryOptions = {}): fc.Arbitrary<Iterable<fc.Command<EmptyModel, Deployment>>> {
	const names = options.faults ?? Object.keys(faults);
	const faultCommands = names.flatMap(name => {
		const steps = faults[name];
		if (steps === undefined) {
			throw new Error(`unknown fault "${name}"; expected one of: ${Object.keys(faults).join(', ')}`);
		}

		return steps;
	});
	return fc.commands([...workloadCommands, ...faultCommands], {maxCommands: options.maxSteps ?? 40, size: 'max'});
}
