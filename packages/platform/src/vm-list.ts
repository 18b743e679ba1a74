import {type VmRecord} from '@cicadapost/types';
import * as z from 'zod';
import {callJson, type HttpServiceOptions} from './table-service.js';

/** The platform's list of live and leaving VMs, which may be out of date. */
export abstract class VmList {
	/** The list, or undefined while it can't be read. */
	abstract read(): Promise<readonly VmRecord[] | undefined>;
}

const vmListSchema = z.object({
	vms: z.array(z.object({
		id: z.string(),
		role: z.enum(['entry', 'upstream']),
		dataCentre: z.string(),
		state: z.enum(['live', 'leaving']),
		peerAddress: z.string().optional(),
	})),
});

const defaultTimeoutMs = 2000;

/** Client of the platform's VM list over HTTP. */
export class HttpVmList extends VmList {
	private readonly baseUrl: string;
	private readonly timeoutMs: number;

	constructor(options: HttpServiceOptions) {
		super();
		this.baseUrl = options.baseUrl.replace(/\/$/v, '');
		this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
	}

	override async read(): Promise<readonly VmRecord[] | undefined> {
		const res = await callJson({method: 'GET', url: `${this.baseUrl}/vms`, timeoutMs: this.timeoutMs});
		const list = vmListSchema.safeParse(res?.body);
		return res?.status === 200 && list.success ? (list.data.vms as VmRecord[]) : undefined;
	}
}
