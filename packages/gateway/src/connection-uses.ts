/**
Tells for each request of a client on which connection it is written, after how many others, and how much of it, for the log.
*/
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';

/** What is known of a request that was written to a connection. */
export type ConnectionUse = Readonly<{
	/** Number of the connection among those of the client. */
	connection: number;
	/** Number of requests that were written to it, including this one. */
	requestNumber: number;
	/** Bytes of the request that were handed to the connection. */
	writtenBytes: number;
}>;

export type ConnectionUses = Readonly<{
	/** Interceptor of all requests of the client. */
	intercept: Dispatcher.DispatcherComposeInterceptor;
	/** Watches a new connection. */
	watchConnection(socket: Socket): void;
	/** Returns a function that tells the use of the request that is being started; `undefined` until it is written. */
	getStarted(): () => ConnectionUse | undefined;
}>;

type StartedRequest = {use: (() => ConnectionUse) | undefined};

/** Creates a record for the connections of one client. */
export function createConnectionUses(): ConnectionUses {
	let connectionCount = 0;
	/** Request that has been started and not written yet; undici writes it synchronously. */
	let started: StartedRequest | undefined;

	return {
		intercept: dispatch => (options, handler) => dispatch(options, {
			onRequestStart(controller, context) {
				started = {use: undefined};
				handler.onRequestStart?.(controller, context);
			},
			onResponseStart(controller, statusCode, headers, statusMessage) {
				handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
			},
			onResponseData(controller, chunk) {
				handler.onResponseData?.(controller, chunk);
			},
			onResponseEnd(controller, trailers) {
				handler.onResponseEnd?.(controller, trailers);
			},
			onResponseError(controller, error) {
				handler.onResponseError?.(controller, error);
			},
		}),
		watchConnection(socket) {
			connectionCount += 1;
			const connection = connectionCount;
			let requestCount = 0;
			const write = socket.write.bind(socket) as (...parameters: readonly unknown[]) => boolean; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- passes on whatever parameters the overloads have
			socket.write = (...parameters: readonly unknown[]) => {
				if (started !== undefined) {
					requestCount += 1;
					const requestNumber = requestCount;
					const bytesBefore = socket.bytesWritten;
					started.use = () => ({connection, requestNumber, writtenBytes: socket.bytesWritten - bytesBefore});
					started = undefined;
				}

				return write(...parameters);
			};
		},
		getStarted() {
			const request = started;
			return () => request?.use?.();
		},
	};
}
