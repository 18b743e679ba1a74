import type {ConnectionPool} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import type {EntryMetrics} from './entry-metrics.js';

/** Counts the responses of upstreams that end with their connection, and logs those that were cut. */
export function observePool(pool: ConnectionPool, {metrics, logger}: Readonly<{metrics: EntryMetrics; logger: Logger}>): void {
	pool.on('closeDelimited', (upstream, end, cause) => {
		metrics.recordCloseDelimited(end);
		if (end === 'failed') {
			logger.info({event: 'response-cut', upstream, cause}, 'the connection failed before the end of a response without a length');
		}
	});
}
