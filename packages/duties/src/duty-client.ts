import type {
	DaemonId, DataCentreId, Millis, ServiceId, TeamId,
} from '@cicadapost/types';

export type DutyKind = 'usage' | 'scaling';

/** Requests of each team that began to run in a window. */
export type UsageReport = Readonly<{window: number; counts: ReadonlyMap<TeamId, number>}>;

/** The wanted number of upstreams of one kind. Repeating it has no further effect. */
export type ScaleOrder = Readonly<{
	service: ServiceId;
	dataCentre: DataCentreId;
	upstreams: number;
	/** Upstreams that are cheaper and may be reclaimed. */
	isSpot: boolean;
}>;

export type DutyCall = Readonly<{
	duty: DutyKind;
	holder: DaemonId;
	fencingToken: number;
	body: Uint8Array;
}>;

/** Checks that an adapter makes during a call. Both compare both clocks of the VM. */
export type CallLimits = Readonly<{
	/** Whether the call may still be sent. Asked right before the first byte. */
	canSend: () => boolean;
	/** Whether the call must be aborted, so that it does not arrive late. Asked several times a second. */
	isOverdue: () => boolean;
}>;

export type DutyOutcome =
	| Readonly<{kind: 'done'}>
	/** The receiver has none of what was ordered. */
	| Readonly<{kind: 'unavailable'}>
	/** Too many calls; nothing was carried out. */
	| Readonly<{kind: 'busy'; retryAfterMs: Millis}>
	| Readonly<{kind: 'rejected'; status: number}>
	/** No byte was sent. */
	| Readonly<{kind: 'not-sent'; cause: string}>
	/** The call may have been carried out. */
	| Readonly<{kind: 'unknown'; cause: string}>;

/** Makes calls to the receiver of duties. Implemented by a platform adapter. */
export abstract class DutyClient {
	/** Returns the duty that the platform calls by this name, or undefined if this build does not know it. */
	abstract dutyOf(name: string): DutyKind | undefined;
	abstract encodeUsage(report: UsageReport): Uint8Array;
	abstract encodeScale(order: ScaleOrder): Uint8Array;
	/** Never rejects. A call that is aborted must not be delivered later. */
	abstract send(call: DutyCall, limits: CallLimits): Promise<DutyOutcome>;
}
