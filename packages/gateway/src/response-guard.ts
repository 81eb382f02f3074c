/**
Closes connections whose bytes bring no response any further: a head, or the framing of a chunk, that is never complete. The parser drops
such bytes, so that neither the length of the response nor its silence shows them.
*/
import process from 'node:process';
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';
import VError from 'verror';

export type ResponseGuard = Readonly<{
	/** Interceptor of all requests on the watched connections. */
	intercept: Dispatcher.DispatcherComposeInterceptor;
	/** Watches a new connection. */
	watchConnection(socket: Socket): void;
}>;

/** Maximum number of bytes without progress: more than the longest head and what the operating system hands over at once. */
const maximumUnproductiveBytes = 262_144;
/** Time for which bytes without progress may arrive. */
const maximumUnproductiveMs = 1000;
/** Number of bytes up to which this time doesn't count: the framing of a chunk that a slow stream sends before or after its data. */
const framingBytes = 128;

/** Creates a guard for the connections of one client. */
export function createResponseGuard(): ResponseGuard {
	let progressCount = 0;

	function recordProgress(): void {
		progressCount += 1;
	}

	return {
		watchConnection(socket) {
			let unproductiveBytes = 0;
			let unproductiveSince = 0;

			/** Returns the number of bytes that were parsed; those that wait while the response is paused are none of them. */
			function getParsedBytes(): number {
				return socket.bytesRead - socket.readableLength;
			}

			function checkProgress(countBefore: number, parsedBefore: number): void {
				if (progressCount !== countBefore) {
					unproductiveBytes = 0;
					return;
				}

				const now = performance.now();
				unproductiveSince = unproductiveBytes === 0 ? now : unproductiveSince;
				unproductiveBytes += getParsedBytes() - parsedBefore;
				const isOverdue = unproductiveBytes > framingBytes && now - unproductiveSince > maximumUnproductiveMs;
				if (isOverdue || unproductiveBytes > maximumUnproductiveBytes) {
					socket.destroy(new VError({name: 'UnproductiveResponse'}, '%d bytes brought the response no further', unproductiveBytes));
				}
			}

			// Runs before undici's own listener, and the check right after it.
			socket.on('readable', () => {
				process.nextTick(checkProgress, progressCount, getParsedBytes());
			});
		},
		intercept: dispatch => (options, handler) => dispatch(options, {
			onRequestStart(controller, context) {
				handler.onRequestStart?.(controller, context);
			},
			onResponseStart(controller, statusCode, headers, statusMessage) {
				recordProgress();
				handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
			},
			onResponseData(controller, chunk) {
				recordProgress();
				handler.onResponseData?.(controller, chunk);
			},
			onResponseEnd(controller, trailers) {
				recordProgress();
				handler.onResponseEnd?.(controller, trailers);
			},
			onResponseError(controller, error) {
				handler.onResponseError?.(controller, error);
			},
		}),
	};
}
