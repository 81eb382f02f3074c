/**
Tells a connection that is reset from one that its peer closes. A response with neither a length nor chunks ends with its connection,
and undici ends it as complete in both cases.

A reset is reported by an `error` event, but for one that is read in the same turn as the last bytes: the runtime then reports an
ordinary `end`. Only the operating system still knows, and has no peer's address for the connection.

A peer that closes before it has received a whole request sends an end, and a reset once more of the request arrives. The end of such a
response is therefore passed on late.
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

/** Length of a request of which a peer may answer the beginning before the rest arrives: the first flight of a connection. */
const firstFlightBytes = 14_600;
/** Time after the end of a connection, and after the last write to it, in which a reset may follow; the latency between distant data centres. */
const resetDelayMs = 100;

/** A connection whose end can be passed on late. */
type WatchedConnection = {isEndDelayed: boolean};

function isLong(body: unknown): boolean {
	return (typeof body === 'string' || body instanceof Uint8Array) && body.length > firstFlightBytes;
}

/** Calls back once a reset that an unread request causes would have arrived, unless the connection is destroyed by then. */
function waitForReset(socket: Socket, callback: () => void): void {
	const isWritten = socket.writableLength === 0;
	setTimeout(() => {
		if (socket.destroyed) {
			return;
		}

		if (isWritten) {
			callback();
		} else {
			waitForReset(socket, callback);
		}
	}, resetDelayMs);
}

/** Lets the end of a connection be delayed. Until it is passed on, the request is written on. */
function createWatchedConnection(socket: Socket): WatchedConnection {
	const connection: WatchedConnection = {isEndDelayed: false};
	const push = socket.push.bind(socket);
	socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
		if (chunk !== null || !connection.isEndDelayed) {
			return push(chunk, encoding);
		}

		waitForReset(socket, () => {
			push(null);
			socket.read(0);
		});
		return false;
	};

	return connection;
}

/** Creates a detector for the connections that a client opens with `connect`. `onConnection` is called with each of them before it is used. */
export function createResetDetector(connect: buildConnector.connector, onConnection?: (socket: Socket) => void): ResetDetector {
	/** Whether the response that ends at this moment is ended by a reset of its connection. */
	let isHandlingReset = false;
	/** Connection from which undici has read last, so that what it parses comes from there. */
	let parsedConnection: WatchedConnection | undefined;

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

				const connection = createWatchedConnection(socket);
				socket.on('readable', () => {
					parsedConnection = connection;
				});
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
		intercept: dispatch => (options, handler) => {
			let connection: WatchedConnection | undefined;
			return dispatch(options, {
				onRequestStart(controller, context) {
					handler.onRequestStart?.(controller, context);
				},
				onResponseStart(controller, statusCode, headers, statusMessage) {
					connection = parsedConnection;
					if (connection !== undefined) {
						connection.isEndDelayed = isLong(options.body) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
					}

					handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
				},
				onResponseData(controller, chunk) {
					handler.onResponseData?.(controller, chunk);
				},
				onResponseEnd(controller, trailers) {
					if (connection !== undefined) {
						connection.isEndDelayed = false;
					}

					if (isHandlingReset) {
						handler.onResponseError?.(controller, new VError({name: 'ConnectionReset'}, 'the connection was reset'));
					} else {
						handler.onResponseEnd?.(controller, trailers);
					}
				},
				onResponseError(controller, error) {
					handler.onResponseError?.(controller, error);
				},
			});
		},
	};
}
