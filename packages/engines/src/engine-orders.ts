import type {Millis} from '@cicadapost/types';
import {
	Agent, DecoratorHandler, request, type Dispatcher,
} from 'undici';

/** Longest time an order may be in flight; the next holder of the lease waits for it. */
const orderTimeoutMs = 2000;

export type LoadVersionOrder = Readonly<{
	url: string;
	version: number;
	fence: number;
	/** The order must not be sent at or after this time. */
	notAfter: Millis;
	/** The monotonic clock that `notAfter` belongs to. */
	now: () => Millis;
}>;

class LeaseExpiredError extends Error {}

/** Checks the time when the request is about to be written to the connection, however long it waited for one. */
class LeaseCheckHandler extends DecoratorHandler {
	constructor(private readonly inner: Dispatcher.DispatchHandler, private readonly order: LoadVersionOrder) {
		super(inner);
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		if (this.order.now() >= this.order.notAfter) {
			controller.abort(new LeaseExpiredError('the lease ended before the order was sent'));
		}

		this.inner.onRequestStart?.(controller, context);
	}
}

const agent = new Agent({connect: {timeout: orderTimeoutMs}, keepAliveTimeout: 4000});

/** Sends `load-version`. False if the engine refused it, the time had passed, or no answer came. */
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
