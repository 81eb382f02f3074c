/**
Pauses of responses that take effect on their connections: while a response is paused, nothing is read from the connection, and its end isn't
either. The parser of undici is never paused itself; it fails with an error that nothing catches if the connection then ends.
*/
import type {Socket} from 'node:net';
import type {buildConnector, Dispatcher} from 'undici';
import {createWrappedController} from './wrapped-controller.js';

export type HeldConnections = Readonly<{
	/** Interceptor of all requests on the watched connections. */
	intercept: Dispatcher.DispatcherComposeInterceptor;
	/** Makes a new connection one that can be held, before it is used. */
	watchConnection(socket: Socket): void;
	/** Returns the number of bytes that were read from the connection whose response is being parsed, framing included. */
	getReadBytes(): number;
}>;

type HeldConnection = Readonly<{hold(): void; release(): void; getReadBytes(): number}>;

/** Bytes that are read from a connection in one turn of the event loop, as many as the operating system hands over at once. */
const bytesPerTurn = 65_536;

/** Lets a connection be held. What has arrived stays in its buffer, and beyond that with the operating system. */
function createHeldConnection(socket: Socket): HeldConnection {
	const read = socket.read.bind(socket);
	let isHeld = false;
	let isTurnOver = false;
	let readBytes = 0;

	/** Lets undici read in a turn of its own: it can't parse two responses at a time. */
	function scheduleRead(): void {
		setImmediate(() => {
			isTurnOver = false;
			if (!isHeld && !socket.destroyed) {
				socket.emit('readable');
			}
		});
	}

	socket.read = size => {
		if (isHeld || isTurnOver) {
			return null; // eslint-disable-line @typescript-eslint/no-restricted-types -- the contract of streams
		}

		const lengthBefore = socket.readableLength;
		const bytes: unknown = read(size === undefined && lengthBefore > bytesPerTurn ? bytesPerTurn : size);
		readBytes += lengthBefore - socket.readableLength;
		if (bytes !== null && socket.readableLength > 0) {
			isTurnOver = true;
			scheduleRead();
		}

		return bytes;
	};

	return {
		hold() {
			isHeld = true;
		},
		release() {
			if (isHeld) {
				isHeld = false;
				scheduleRead();
			}
		},
		getReadBytes: () => readBytes,
	};
}

/** Returns a connector whose connections, which `connect` opens, can be held. */
export function createHeldConnector(connect: buildConnector.connector, {watchConnection}: HeldConnections): buildConnector.connector {
	return (connectOptions, callback) => {
		connect(connectOptions, (...[error, socket]) => {
			if (error !== null) {
				callback(error, socket);
				return;
			}

			watchConnection(socket);
			callback(error, socket);
		});
	};
}

/** Creates a record for the connections of one client. */
export function createHeldConnections(): HeldConnections {
	/** Connection from which undici has read last, so that what it parses comes from there. */
	let parsedConnection: HeldConnection | undefined;

	return {
		watchConnection(socket) {
			const connection = createHeldConnection(socket);
			// Runs before undici's own listener.
			socket.on('readable', () => {
				parsedConnection = connection;
			});
		},
		getReadBytes: () => parsedConnection?.getReadBytes() ?? 0,
		intercept: dispatch => (options, handler) => {
			let connection: HeldConnection | undefined;
			let isPaused = false;
			let controllerOfHandler: Dispatcher.DispatchController | undefined;

			function getController(controller: Dispatcher.DispatchController): Dispatcher.DispatchController {
				controllerOfHandler ??= createWrappedController(controller, {
					isPaused: () => isPaused,
					pause() {
						isPaused = true;
						connection?.hold();
					},
					resume() {
						isPaused = false;
						connection?.release();
					},
				});
				return controllerOfHandler;
			}

			return dispatch(options, {
				onRequestStart(controller, context) {
					handler.onRequestStart?.(getController(controller), context);
				},
				onResponseStart(controller, statusCode, headers, statusMessage) {
					connection = parsedConnection;
					if (isPaused) {
						connection?.hold();
					}

					handler.onResponseStart?.(getController(controller), statusCode, headers, statusMessage);
				},
				onResponseData(controller, chunk) {
					handler.onResponseData?.(getController(controller), chunk);
				},
				onResponseEnd(controller, trailers) {
					connection?.release();
					connection = undefined;
					handler.onResponseEnd?.(getController(controller), trailers);
				},
				onResponseError(controller, error) {
					connection?.release();
					connection = undefined;
					handler.onResponseError?.(getController(controller), error);
				},
			});
		},
	};
}
