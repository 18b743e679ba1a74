import type {ProblemBody} from '@cicadapost/errors';
import {documentSchema, type ConfigurationDocument} from '@cicadapost/settings';
import {request} from 'undici';
import * as z from 'zod';
import {CommandError} from './command-error.js';
import {exitCodes} from './exit-codes.js';

export type AdminOptions = Readonly<{daemon: string; key: string}>;

export type AdminResponse = Readonly<{status: number; body: unknown}>;

export type AdminCall = Readonly<{
	method?: 'GET' | 'PUT' | 'POST';
	path: string;
	headers?: Readonly<Record<string, string>>;
	body?: string;
}>;

const timeoutMs = 10_000;

/** Calls the admin API of a daemon. */
export async function callAdmin(options: AdminOptions, call: AdminCall): Promise<AdminResponse> {
	try {
		const res = await request(`${options.daemon.replace(/\/$/v, '')}${call.path}`, {
			method: call.method ?? 'GET',
			headers: {authorization: `Bearer ${options.key}`, 'content-type': 'application/json', ...call.headers},
			...(call.body === undefined ? {} : {body: call.body}),
			signal: AbortSignal.timeout(timeoutMs),
		});
		return {status: res.statusCode, body: await res.body.json()};
	} catch (err) {
		throw new CommandError(`no response from ${options.daemon} (${err instanceof Error ? err.message : String(err)}); pass the address of a running daemon with --daemon`);
	}
}

/** Returns the body of a successful call. Otherwise throws `CommandError` with the detail and remedy of the problem. */
export async function queryAdmin(options: AdminOptions, call: AdminCall): Promise<unknown> {
	const {status, body} = await callAdmin(options, call);
	if (status !== 200) {
		const problem = body as ProblemBody;
		throw new CommandError(`${problem.detail}; ${problem.remedy}`, status === 409 ? exitCodes.conflict : exitCodes.failure);
	}

	return body;
}

const currentConfigurationSchema = z.object({version: z.int(), document: documentSchema.nullable()});

export type CurrentConfiguration = Readonly<{version: number; document: ConfigurationDocument | undefined}>;

/** Reads the configuration in effect at a daemon. The version is 0 if there is none yet. */
export async function readConfiguration(options: AdminOptions): Promise<CurrentConfiguration> {
	const {version, document} = currentConfigurationSchema.parse(await queryAdmin(options, {path: '/admin/configuration'}));
	return {version, document: document ?? undefined};
}
