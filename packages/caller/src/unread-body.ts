/**
Frees the connection of a request whose response is complete before its body is.

A paused connection never reports that its peer has closed it, and a caller that sends without end never frees it. So the
rest of the body is read and discarded for a limited time, in which the caller can read the response, and then the
connection is closed. Closing it at once could reset it before the response has been read.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time for which the rest of a body is discarded after the response. */
export const discardTimeoutMs = 1000;

/** Discards what is left of the request's body after its response, and closes the connection if the body doesn't end soon. */
export function drainUnreadBody(message: IncomingMessage, response: ServerResponse): void {
	const {socket} = message;
	response.once('finish', () => {
		if (message.complete) {
			return;
		}

		const timer = setTimeout(() => {
			socket.destroy();
		}, discardTimeoutMs);
		message.once('close', () => {
			clearTimeout(timer);
		});
		message.resume();
	});
}
