import type {CommandModule} from 'yargs';
import {readConfiguration} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {CommandError} from '../../command-error.js';
import {printJson, printTable} from '../../print.js';

type Member = Readonly<{name: string; weight: number; tokensPerSecond: number | undefined; maxGroupSamples: number; roles: readonly string[]}>;

async function readMembers(args: QueryArgs): Promise<Member[]> {
	const {document} = await readConfiguration(adminOptionsFrom(args));
	return Object.entries(document?.base.members ?? {}).map(([name, member]) => ({
		name, weight: member.weight, tokensPerSecond: member.cap?.tokensPerSecond, maxGroupSamples: member.maxGroupSamples, roles: member.keys.map(key => key.role),
	}));
}

function printMembers(members: readonly Member[], args: QueryArgs): void {
	if (args.json) {
		printJson(members);
		return;
	}

	printTable(['member', 'weight', 'cap (tokens/s)', 'samples in a group', 'keys'], members.map(member => [
		member.name, member.weight, member.tokensPerSecond ?? 'none', member.maxGroupSamples, member.roles.join(', '),
	]));
}

const listCommand: CommandModule<unknown, QueryArgs> = {
	command: 'list',
	describe: 'List the members',
	builder: addQueryOptions,
	async handler(args) {
		printMembers(await readMembers(args), args);
	},
};

const showCommand: CommandModule<unknown, QueryArgs & {member: string}> = {
	command: 'show <member>',
	describe: 'Show one member',
	builder: parser => addQueryOptions(parser).positional('member', {type: 'string', demandOption: true}),
	async handler(args) {
		const members = await readMembers(args);
		const matches = members.filter(({name}) => name === args.member);
		if (matches.length === 0) {
			throw new CommandError(`the member "${args.member}" does not exist; known: ${members.map(({name}) => name).join(', ')}`);
		}

		printMembers(matches, args);
	},
};

/** `members`: lists and shows the members that share the pools. */
export const membersCommand: CommandModule = {
	command: 'members <command>',
	describe: 'List and show members',
	builder: parser => parser.command(listCommand).command(showCommand).demandCommand(1, 'specify a members command'),
	handler() {
		// The subcommands do the work.
	},
};
