import * as z from 'zod';
import {callJson, type HttpServiceOptions} from './table-service.js';

/** Reads weight versions by model. The platform limits the rate of reads. */
export abstract class WeightStore {
	/** The newest version of `model`, or undefined if it is unknown or can't be read. */
	abstract newestVersion(model: string): Promise<number | undefined>;
}

const weightVersionSchema = z.object({version: z.int().min(0)});
const defaultTimeoutMs = 2000;

/** Client of the platform's weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
	private readonly baseUrl: string;
	private readonly timeoutMs: number;

	constructor(options: HttpServiceOptions) {
		super();
		this.baseUrl = options.baseUrl.replace(/\/$/v, '');
		this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	}

	override async newestVersion(model: string): Promise<number | undefined> {
		const res = await callJson({method: 'GET', url: `${this.baseUrl}/weights/${encodeURIComponent(model)}`, timeoutMs: this.timeoutMs});
		const weights = weightVersionSchema.safeParse(res?.body);
		return res?.status === 200 && weights.success ? weights.data.version : undefined;
	}
}
