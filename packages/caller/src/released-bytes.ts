/**
Releases the memory of bytes that are needed no longer, without a garbage collection. Callers can send far more between two collections than
a small host may hold.
*/
import {MessageChannel} from 'node:worker_threads';

/** Length from which on a buffer is released at once. Less isn't worth the call. */
const largeBufferBytes = 16_384;

/** What is transferred to a closed port is gone. */
const {port1: closedPort} = new MessageChannel();
closedPort.close();

/** Releases bytes to which nothing refers any more. Has no effect on small ones, and on a part of a buffer. */
export function releaseBytes({buffer, byteLength}: Uint8Array): void {
	if (buffer instanceof ArrayBuffer && byteLength >= largeBufferBytes && byteLength === buffer.byteLength) {
		closedPort.postMessage(undefined, [buffer]);
	}
}
