import type {Socket} from 'node:net';
import {DecoratorHandler, type buildConnector, type Dispatcher} from 'undici';

/**
Keeps responses without a length from counting as complete after a reset of their connection. Undici ends them with any end of the
connection, and tells its handlers neither which socket it was nor how it ended. It does so while the socket emits that event, so
a failure that this class has seen in the same event is that of the response.
*/
export class ResetGuard {
	private failure: Error | undefined;

	/** Returns a connector whose sockets this guard watches. */
	watch(connect: buildConnector.connector): buildConnector.connector {
		return (options, callback) => {
			connect(options, (...result) => {
				const [err, socket] = result;
				if (!err) {
					this.watchSocket(socket);
				}

				callback(...result);
			});
		};
	}

	/** Returns a handler that gets an error in place of the end of a response whose connection has failed. */
	protect(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
		return new GuardedHandler(handler, () => this.failure);
	}

	private watchSocket(socket: Socket): void {
		socket.on('error', err => {
			this.record(err);
		});
		socket.on('end', () => {
			// A socket that was reset together with its last bytes emits no error, but is no longer connected.
			if (socket.remoteAddress === undefined) {
				this.record(Object.assign(new Error('the connection was reset'), {code: 'ECONNRESET'}));
			}
		});
	}

	private record(err: Error): void {
		this.failure = err;
		queueMicrotask(() => {
			this.failure = undefined;
		});
	}
}

class GuardedHandler extends DecoratorHandler {
	constructor(private readonly inner: Dispatcher.DispatchHandler, private readonly failure: () => Error | undefined) {
		super(inner);
	}

	onResponseEnd(controller: Dispatcher.DispatchController, trailers: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>[1]): void {
		const failure = this.failure();
		if (failure === undefined) {
			this.inner.onResponseEnd?.(controller, trailers);
		} else {
			this.inner.onResponseError?.(controller, failure);
		}
	}
}
