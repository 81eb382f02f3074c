/**
Tells a connection that is reset from one that its peer closes. A response with neither a length nor chunks ends with its connection,
and undici ends it as complete in both cases.

A reset is reported by an `error` event, but for one that is read in the same turn as the last bytes: the runtime then reports an
ordinary `end`. Only the operating system still knows, and has no peer's address for the connection.
*/
import type {Socket} from 'node:net';
import process from 'node:process';
import type {buildConnector, Dispatcher} from 'undici';
import VError from 'verror';

export type ResetDetector = Readonly<{
	/** Opens connections whose resets are detected. */
	connect: buildConnector.connector;
	/** Interceptor of all requests on these connections. Fails each response that a reset ends. */
	intercept: Dispatcher.DispatcherComposeInterceptor;
}>;

/** Creates a detector for the connections that a client opens with `connect`. `onConnection` is called with each of them before it is used. */
export function createResetDetector(connect: buildConnector.connector, onConnection?: (socket: Socket) => void): ResetDetector {
	/** Whether the response that ends at this moment is ended by a reset of its connection. */
	let isHandlingReset = false;

	/** Responses end synchronously while undici handles the events of their socket. */
	function recordReset(): void {
		isHandlingReset = true;
		process.nextTick(() => {
			isHandlingReset = false;
		});
	}

	return {
		connect(connectOptions, callback) {
			connect(connectOptions, (...[error, socket]) => {
				if (error !== null) {
					callback(error, socket);
					return;
				}

				socket.on('error', recordReset);
				socket.on('end', () => {
					if (socket.remoteAddress === undefined) {
						recordReset();
					}
				});
				onConnection?.(socket);
				callback(error, socket);
			});
		},
		intercept: dispatch => (options, handler) => dispatch(options, {
			onRequestStart(controller, context) {
				handler.onRequestStart?.(controller, context);
			},
			onResponseStart(controller, statusCode, headers, statusMessage) {
				handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
			},
			onResponseData(controller, chunk) {
				handler.onResponseData?.(controller, chunk);
			},
			onResponseEnd(controller, trailers) {
				if (isHandlingReset) {
					handler.onResponseError?.(controller, new VError({name: 'ConnectionReset'}, 'the connection was reset'));
				} else {
					handler.onResponseEnd?.(controller, trailers);
				}
			},
			onResponseError(controller, error) {
				handler.onResponseError?.(controller, error);
			},
		}),
	};
}
