/** Branded ids: plain strings or numbers at run time that the type checker keeps apart. */

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
/** Hash of member, pool and body. Equal requests have equal fingerprints, whoever sends them again. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/** Identifies one platform call, so that its answer finds the code that waits for it. */
export type CallId = Brand<string, 'CallId'>;
export type ServiceId = Brand<string, 'ServiceId'>;
export type ModelId = Brand<string, 'ModelId'>;
/** One submitted set of samples, named by its trainer. */
export type BatchId = Brand<string, 'BatchId'>;
/** One sample of a batch. The same id may come again in a later batch. */
export type ItemId = Brand<string, 'ItemId'>;
/** One life of a daemon's process on one VM. A restart is a new life. */
export type DaemonIncarnation = Brand<string, 'DaemonLife'>;

/** Milliseconds, on the monotonic clock of the daemon that holds the value unless a comment says otherwise. */
export type Millis = number;

/** Makes a branded id from a string that has already been checked. */
export function id<Id extends Brand<string, string>>(value: string): Id {
	return value as Id;
}

export function shardId(dataCentre: DataCentreId, pool: PoolId, index: number): ShardId {
	return id<ShardId>(`${dataCentre}/${pool}/${index}`);
}
