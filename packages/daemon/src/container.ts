import 'reflect-metadata';
import {UpstreamConnections} from '@cicadapost/engines';
import {
	createLogger, Metrics, NoopMetricsSink, StatsdSink, type MetricsSink,
} from '@cicadapost/observability';
import {PeerConnections} from '@cicadapost/peers';
import {
	HttpObjectStore, HttpTableService, HttpVmList, HttpWeightStore,
} from '@cicadapost/platform';
import type {DaemonSettings} from '@cicadapost/settings';
import {SystemClock, type DaemonId} from '@cicadapost/types';
import {container, type DependencyContainer} from 'tsyringe';
import {tokens} from './tokens.js';

/** Creates a container with the dependencies of a daemon. Tests can override them with their own registrations. */
export function createContainer(settings: DaemonSettings): DependencyContainer {
	const child = container.createChildContainer();
	child.registerInstance(tokens.settings, settings);
	child.registerInstance(tokens.clock, new SystemClock());
	child.registerInstance(tokens.logger, createLogger({daemon: settings.daemon, dataCentre: settings.dataCentre, level: settings.log.level}));
	child.registerInstance(tokens.tableService, new HttpTableService({baseUrl: settings.platform.tableService}));
	child.registerInstance(tokens.objectStore, new HttpObjectStore({baseUrl: settings.platform.objectStore}));
	child.registerInstance(tokens.vmList, new HttpVmList({baseUrl: settings.platform.vmList}));
	child.registerInstance(tokens.metrics, new Metrics(createMetricsSink(settings)));
	child.registerInstance(tokens.weightStore, new HttpWeightStore({baseUrl: settings.platform.weightStore ?? settings.platform.objectStore}));
	child.registerInstance(tokens.upstreams, new UpstreamConnections());
	child.registerInstance(tokens.peers, new PeerConnections({
		self: settings.daemon as DaemonId, secret: settings.peerSecret, host: settings.listen.peers.host, port: settings.listen.peers.port,
	}));
	return child;
}

function createMetricsSink(settings: DaemonSettings): MetricsSink {
	const {enabled, host, port} = settings.metrics;
	return enabled
		? new StatsdSink({
			host, port, daemon: settings.daemon, dataCentre: settings.dataCentre,
		})
		: new NoopMetricsSink();
}
