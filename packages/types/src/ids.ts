/** Branded ids: plain strings or numbers at run time, distinct types at compile time. */

declare const brand: unique symbol;

export type Brand<Value, Name extends string> = Value & {readonly [brand]: Name};

export type MemberId = Brand<string, 'MemberId'>;
export type VmId = Brand<string, 'VmId'>;
export type DataCentreId = Brand<string, 'DataCentreId'>;
export type RegionId = Brand<string, 'RegionId'>;
export type DaemonId = Brand<string, 'DaemonId'>;
export type UpstreamId = Brand<string, 'UpstreamId'>;
export type PoolId = Brand<string, 'PoolId'>;
/** `<data centre>/<pool>/<index>`, see `shardId`. */
export type ShardId = Brand<string, 'ShardId'>;
export type RequestId = Brand<string, 'RequestId'>;
export type AttemptId = Brand<string, 'AttemptId'>;
/** Hash of member, pool and body. A repeated request has the same fingerprint, whichever client or daemon sends it. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/** Correlates the response to a platform call with the code that awaits it. */
export type CallId = Brand<string, 'CallId'>;
export type ServiceId = Brand<string, 'ServiceId'>;
/** A customer that shares the system with others and presents keys of its own. */
export type TeamId = Brand<string, 'TeamId'>;
/** SHA-256 of a team's key. */
export type KeyFingerprint = Brand<string, 'KeyFingerprint'>;
export type ModelId = Brand<string, 'ModelId'>;
/** Version of an upstream's software, not of its weights. Output of two versions must not be joined. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
/** A set of samples submitted together. The trainer chooses the id. */
export type BatchId = Brand<string, 'BatchId'>;
/** One sample of a batch. Unique within its batch only. */
export type ItemId = Brand<string, 'ItemId'>;
/** One run of a daemon process on one VM. Each restart gets a new id. */
export type DaemonIncarnation = Brand<string, 'DaemonIncarnation'>;

/** Milliseconds. A point in time is on the monotonic clock of the daemon that holds the value, unless documented otherwise. */
export type Millis = number;

/** Casts a string that has already been validated to a branded id. */
export function id<Id extends Brand<string, string>>(value: string): Id {
	return value as Id;
}

export function shardId(dataCentre: DataCentreId, pool: PoolId, index: number): ShardId {
	return id<ShardId>(`${dataCentre}/${pool}/${index}`);
}
