import {request} from 'undici';

export type AdminOptions = Readonly<{daemon: string; key: string}>;

export type AdminResponse = Readonly<{status: number; body: unknown}>;

/** One call to the operators' interface of a daemon. */
export async function callAdmin(options: AdminOptions, method: 'GET' | 'PUT' | 'POST', path: string, init: {headers?: Record<string, string>; body?: string} = {}): Promise<AdminResponse> {
	const res = await request(`${options.daemon.replace(/\/$/v, '')}${path}`, {
		method,
		headers: {authorization: `Bearer ${options.key}`, 'content-type': 'application/json', ...init.headers},
		...(init.body === undefined ? {} : {body: init.body}),
	});
	return {status: res.statusCode, body: await res.body.json()};
}
