import {
	matchRoute, type ConnectionPool, type Forwarder, type PlainRequest, type ResponseHead, type RoutingConfiguration,
} from '@cicadapost/forwarding';
import type {MemberRecord, UpstreamRecord, UpstreamStart} from '@cicadapost/fleet';
import type {ListenerAddress} from '@cicadapost/listeners';
import type {Logger} from '@cicadapost/observability';
import {
	LinkMonitor, RelayClient, RelayServer, type RelayRequest, type Unavailable,
} from '@cicadapost/relays';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';
import {unlimitedClients, type ClientLimits} from './client-limits.js';
import type {CallerProtocol} from './caller-protocol.js';
import {RelayDirectory} from './relay-directory.js';

export type RelayTaskOptions = Readonly<{
	clock: Clock;
	logger: Logger;
	store: RowStore;
	/** Follows the fleet's table. */
	follower: TableFollower;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation; dataCentre: DataCentreId; region: RegionId}>;
	/** Where this daemon takes requests of others. Undefined if it takes none. */
	address: string | undefined;
	protocol: Pick<CallerProtocol, 'parseCall'>;
	/** Connections to upstreams. */
	upstreamPool: ConnectionPool;
	/** Connections to other daemons. */
	daemonPool: ConnectionPool;
	/** Sends the requests of other daemons to upstreams. */
	forwarder: Pick<Forwarder, 'forward'>;
	upstreams: () => readonly UpstreamRecord[];
	members: (now: Millis) => readonly MemberRecord[];
	configuration: () => RoutingConfiguration | undefined;
	random: () => number;
	/** Limits for clients, which the requests of other daemons share. Everything is unlimited by default. */
	clients?: ClientLimits;
	/** Called when this or another daemon has found or lost its links to the upstreams. */
	onChanged: () => void;
	/** Called for each request of another daemon that was taken. */
	onAccepted: () => void;
	/** Called for each response of an upstream that came through another daemon. */
	onResponse: (upstream: UpstreamStart, head: ResponseHead) => void;
}>;

/** Passes requests on to other daemons while this one reaches no upstream, and takes such requests of other daemons. */
export class RelayTask {
	/** The way through other daemons, for the requests of this daemon's callers. */
	readonly path: RelayClient;
	private readonly monitor: LinkMonitor;
	private readonly directory: RelayDirectory;
	private readonly server: RelayServer;

	constructor(private readonly options: RelayTaskOptions) {
		const {clock, logger, self, upstreamPool, daemonPool, forwarder, upstreams, members, configuration, random, onChanged, onAccepted, onResponse, clients = unlimitedClients(clock)} = options;
		this.directory = new RelayDirectory(options);
		this.monitor = new LinkMonitor({
			clock,
			pool: upstreamPool,
			upstreams: () => upstreams().filter(({state}) => state === 'ready'),
			random,
			onChanged: isPartitioned => {
				logger.warn({event: 'upstream-links', isPartitioned}, isPartitioned ? 'no upstream can be reached from here' : 'upstreams can be reached again');
				this.directory.announce(isPartitioned);
				onChanged();
			},
		});
		const isPartitioned = () => this.monitor.isPartitioned;
		this.path = new RelayClient({
			clock,
			self,
			pool: daemonPool,
			candidates: () => this.directory.candidates(members(clock.now())),
			isPartitioned,
			configurationVersion: () => configuration()?.version ?? 0,
			random,
			onResponse,
		});
		this.server = new RelayServer({
			clock,
			key: this.directory.key,
			forwarder,
			isPartitioned,
			toRequest: (relayed, now) => this.toRequest(relayed, now),
			onRejected(from) {
				logger.warn({event: 'relay-rejected', from}, 'a call without the key of this daemon was rejected');
			},
			onAccepted,
			maxConnections: clients.maxDaemonConnections,
			onConnectionClosed(peer) {
				clients.report({reason: 'too many connections', peer});
			},
			memory: clients.memory,
			unread: clients.unread,
		});
	}

	async listen(address: ListenerAddress, onError: (err: Error) => void): Promise<void> {
		await this.server.listen(address, onError);
	}

	start(): void {
		this.directory.start();
	}

	/** Takes no further requests of other daemons. */
	startDraining(): void {
		this.server.startDraining();
	}

	get isIdle(): boolean {
		return this.server.isIdle;
	}

	stop(): void {
		this.monitor.stop();
		this.directory.stop();
		this.server.close();
		this.options.daemonPool.close();
	}

	/** Returns the members that reach upstreams as far as they have announced, or all members if none does. */
	linkedMembers(members: readonly MemberRecord[]): readonly MemberRecord[] {
		return this.directory.linkedMembers(members);
	}

	/** Whether an upstream other than `except` can be reached. True if none is listed. */
	async reachesAnother(except: UpstreamId): Promise<boolean> {
		return this.monitor.reachesAnother(except);
	}

	/** Routes a request of another daemon by this daemon's configuration, which must not be older than the one there. */
	private toRequest(relayed: RelayRequest, now: Millis): PlainRequest | Unavailable {
		const configuration = this.options.configuration();
		if (configuration === undefined || configuration.version < relayed.configuration) {
			return {unavailable: 'the configuration here is older'};
		}

		const call = this.options.protocol.parseCall({method: relayed.method, target: relayed.target, headers: relayed.headers});
		const route = call.kind === 'routed' ? matchRoute(configuration, call.host, call.path) : undefined;
		if (call.kind !== 'routed' || route === undefined || route.kind === 'batch') {
			return {unavailable: 'no plain route matches here'};
		}

		return {
			requestId: call.requestId,
			method: relayed.method,
			path: relayed.target,
			host: call.host,
			headers: relayed.headers,
			body: relayed.body,
			route: {...route, maxAttempts: Math.min(route.maxAttempts, relayed.maxAttempts)},
			...(call.continues === undefined ? {} : {continues: call.continues}),
			deadlineAt: now + relayed.deadlineMs,
		};
	}
}
