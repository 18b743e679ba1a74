import type {RowResponse} from '@cicadapost/types';
import {request} from 'undici';
import * as z from 'zod';

export type Row = Readonly<{key: string; version: number; value: string}>;

/** Stores versioned rows, which are changed by compare-and-set. */
export abstract class TableService {
	abstract read(table: string, key: string): Promise<RowResponse>;
	/** Writes `value` if the row's version is `expectedVersion`; 0 inserts a new row. */
	abstract compareAndSet(table: string, key: string, expectedVersion: number, value: string): Promise<RowResponse>;
	/** The rows whose key starts with `prefix`, or undefined while the service can't be reached. */
	abstract list(table: string, prefix: string): Promise<readonly Row[] | undefined>;
}

const rowSchema = z.object({version: z.int().min(1), value: z.string()});
const writeResultSchema = z.object({version: z.int().min(1)});
const rowListSchema = z.object({rows: z.array(z.object({key: z.string(), version: z.int().min(1), value: z.string()}))});

export type HttpServiceOptions = Readonly<{
	baseUrl: string;
	/** Timeout of a call in milliseconds. A call that times out counts as unavailable. */
	timeoutMs?: number;
}>;

const defaultTimeoutMs = 2000;

type JsonResponse = Readonly<{status: number; body: unknown}>;

export type JsonRequest = Readonly<{method: 'GET' | 'PUT' | 'DELETE' | 'POST'; url: string; headers?: Record<string, string>; body?: string; timeoutMs: number}>;

/** Sends an HTTP request and parses the JSON response. Returns undefined if no complete response arrives in time. */
export async function callJson(call: JsonRequest): Promise<JsonResponse | undefined> {
	try {
		const res = await request(call.url, {
			method: call.method,
			headers: {'content-type': 'application/json', ...call.headers},
			...(call.body === undefined ? {} : {body: call.body}),
			signal: AbortSignal.timeout(call.timeoutMs),
		});
		const text = await res.body.text();
		return {status: res.statusCode, body: text === '' ? undefined : JSON.parse(text)};
	} catch {
		return undefined;
	}
}

/** Client of the platform's table service over HTTP. */
export class HttpTableService extends TableService {
	private readonly baseUrl: string;
	private readonly timeoutMs: number;

	constructor(options: HttpServiceOptions) {
		super();
		this.baseUrl = options.baseUrl.replace(/\/$/v, '');
		this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	}

	override async read(table: string, key: string): Promise<RowResponse> {
		const res = await callJson({method: 'GET', url: this.urlOf(table, key), timeoutMs: this.timeoutMs});
		if (res?.status === 404) {
			return {kind: 'absent'};
		}

		const row = rowSchema.safeParse(res?.body);
		return res?.status === 200 && row.success ? {kind: 'row', ...row.data} : {kind: 'unavailable'};
	}

	override async compareAndSet(table: string, key: string, expectedVersion: number, value: string): Promise<RowResponse> {
		const res = await callJson({
			method: 'PUT', url: this.urlOf(table, key), headers: {'if-match': String(expectedVersion)}, body: JSON.stringify({value}), timeoutMs: this.timeoutMs,
		});
		const written = writeResultSchema.safeParse(res?.body);
		if (res?.status === 200 && written.success) {
			return {kind: 'written', version: written.data.version};
		}

		const current = rowSchema.safeParse(res?.body);
		return res?.status === 412 && current.success ? {kind: 'conflict', ...current.data} : {kind: 'unavailable'};
	}

	override async list(table: string, prefix: string): Promise<readonly Row[] | undefined> {
		const url = `${this.baseUrl}/tables/${encodeURIComponent(table)}?prefix=${encodeURIComponent(prefix)}`;
		const res = await callJson({method: 'GET', url, timeoutMs: this.timeoutMs});
		const list = rowListSchema.safeParse(res?.body);
		return res?.status === 200 && list.success ? list.data.rows : undefined;
	}

	private urlOf(table: string, key: string): string {
		return `${this.baseUrl}/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`;
	}
}
