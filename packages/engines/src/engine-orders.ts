import type {Millis} from '@cicadapost/types';
import {
	Agent, DecoratorHandler, request, type Dispatcher,
} from 'undici';

/** Maximum time an order may be in flight. The next lease holder waits this long before it sends orders. */
const orderTimeoutMs = 2000;

export type LoadVersionOrder = Readonly<{
	url: string;
	version: number;
	/** Fencing token of the lease. */
	fence: number;
	/** The order must not be sent at or after this time. */
	notAfter: Millis;
	/** The monotonic clock on which `notAfter` is measured. */
	now: () => Millis;
}>;

class LeaseExpiredError extends Error {}

/** Checks the lease right before the request is written, since it may have waited a long time for a connection. */
class LeaseCheckHandler extends DecoratorHandler {
	constructor(private readonly inner: Dispatcher.DispatchHandler, private readonly order: LoadVersionOrder) {
		super(inner);
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		if (this.order.now() >= this.order.notAfter) {
			controller.abort(new LeaseExpiredError('the lease expired before the order was sent'));
		}

		this.inner.onRequestStart?.(controller, context);
	}
}

const agent = new Agent({connect: {timeout: orderTimeoutMs}, keepAliveTimeout: 4000});

/** Sends a `load-version` order. Returns false if the engine rejected it, the lease had expired, or no response arrived. */
export async function sendLoadVersion(order: LoadVersionOrder): Promise<boolean> {
	try {
		const res = await request(`${order.url}/orders`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({order: 'load-version', version: order.version, fence: order.fence}),
			dispatcher: agent.compose(dispatch => (options, handler) => dispatch(options, new LeaseCheckHandler(handler, order))),
			signal: AbortSignal.timeout(orderTimeoutMs),
		});
		await res.body.dump();
		return res.statusCode >= 200 && res.statusCode < 300;
	} catch {
		return false;
	}
}
