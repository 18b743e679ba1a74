import type {RequestId, ServiceId, SoftwareVersion} from '@cicadapost/types';

/** Where a stream began. It may go on only at an upstream of the same service and software version. */
export type StreamOrigin = Readonly<{service: ServiceId; softwareVersion: SoftwareVersion}>;

/** A request of a caller that takes an interrupted stream up again. */
export type StreamContinuation = Readonly<{
	/** The request that brought the first event. Undefined if the caller does not name it. */
	stream: RequestId | undefined;
}>;

/** Remembers for all daemons where streams began. */
export abstract class StreamOrigins {
	/** Records the origin of a stream that an upstream has begun. */
	abstract record(stream: RequestId, origin: StreamOrigin): void;
	/** Returns undefined if the origin is not known here, or not in time. */
	abstract originOf(stream: RequestId): Promise<StreamOrigin | undefined>;
	/** Returns the software version of a service if no other one has served for longer than any stream lasts, and none is listed now. */
	abstract onlyVersion(service: ServiceId): Promise<SoftwareVersion | undefined>;
}

export type ResolveOriginOptions = Readonly<{
	recorded: StreamOrigin | undefined;
	/** Services that the route allows. */
	services: readonly ServiceId[];
	/** Called if there is no record and the route has a single service. */
	onlyVersion: (service: ServiceId) => Promise<SoftwareVersion | undefined>;
}>;

/**
Returns where a stream may go on, or undefined if that is nowhere or not known. A stream whose record is missing, for example
because its daemon died right after the first event, can only be from the service's only version.
*/
export async function resolveOrigin({recorded, services, onlyVersion}: ResolveOriginOptions): Promise<StreamOrigin | undefined> {
	if (recorded !== undefined) {
		return services.includes(recorded.service) ? recorded : undefined;
	}

	const [service, ...others] = services;
	if (service === undefined || others.length > 0) {
		return undefined;
	}

	const softwareVersion = await onlyVersion(service);
	return softwareVersion === undefined ? undefined : {service, softwareVersion};
}
