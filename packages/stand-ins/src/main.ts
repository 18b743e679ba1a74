/** Starts one stand-in, `platform`, `engine` or `service`, and prints its port as JSON. Takes `--port` and `--name`. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {EngineStandIn} from './engine.js';
import {PlatformStandIn} from './platform.js';
import {ServiceStandIn} from './service.js';

const parser = yargs(hideBin(process.argv))
	.option('port', {type: 'number', default: 0, describe: 'Port to listen on; 0 selects a free port'})
	.option('name', {type: 'string', default: 'engine'})
	.command('platform', 'Table service, object store, weight store and VM list', builder => builder, async args => {
		const port = await new PlatformStandIn({port: args.port}).listen();
		process.stdout.write(`${JSON.stringify({port})}\n`);
	})
	.command('engine', 'A model engine', builder => builder, async args => {
		const port = await new EngineStandIn({port: args.port, name: args.name}).listen();
		process.stdout.write(`${JSON.stringify({port})}\n`);
	})
	.command('service', 'A plain service', builder => builder, async args => {
		const port = await new ServiceStandIn({port: args.port, name: args.name}).listen();
		process.stdout.write(`${JSON.stringify({port})}\n`);
	})
	.demandCommand(1);
void parser.parseAsync();
