import type {ObjectResponse} from '@cicadapost/types';
import * as z from 'zod';
import {callJson, type HttpServiceOptions} from './table-service.js';

const objectSchema = z.object({value: z.string()});

/** Stores whole objects by key. */
export abstract class ObjectStore {
	abstract get(key: string): Promise<ObjectResponse>;
	/** Returns true only if the object is known to be stored. */
	abstract put(key: string, value: string): Promise<boolean>;
	abstract delete(key: string): Promise<boolean>;
}

const defaultTimeoutMs = 5000;

/** Client of the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
	private readonly baseUrl: string;
	private readonly timeoutMs: number;

	constructor(options: HttpServiceOptions) {
		super();
		this.baseUrl = options.baseUrl.replace(/\/$/v, '');
		this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	}

	override async get(key: string): Promise<ObjectResponse> {
		const res = await callJson({method: 'GET', url: this.urlOf(key), timeoutMs: this.timeoutMs});
		if (res?.status === 404) {
			return {kind: 'absent'};
		}

		const object = objectSchema.safeParse(res?.body);
		return res?.status === 200 && object.success ? {kind: 'object', value: object.data.value} : {kind: 'unavailable'};
	}

	override async put(key: string, value: string): Promise<boolean> {
		const res = await callJson({
			method: 'PUT', url: this.urlOf(key), body: JSON.stringify({value}), timeoutMs: this.timeoutMs,
		});
		return res?.status === 200;
	}

	override async delete(key: string): Promise<boolean> {
		const res = await callJson({method: 'DELETE', url: this.urlOf(key), timeoutMs: this.timeoutMs});
		return res?.status === 200 || res?.status === 404;
	}

	private urlOf(key: string): string {
		return `${this.baseUrl}/objects/${encodeURIComponent(key)}`;
	}
}
