/**
Holds requests that were about to be written to open connections for longer than a short turn of the event loop. What cancels a request may
have arrived meanwhile and not been read, so the loop reads once more before the request is written.

undici writes a request in the turn after the one in which it chose an idle connection.
*/
import type {Socket} from 'node:net';
import {isReadRecent, waitForRecentReads} from '@currantcross/core/loop-monitor';
import type {Timestamp} from '@currantcross/core/types';

export type LateWrites = Readonly<{
	/** Watches a new connection, which was opened by a connector that passes it on after the loop has read. */
	watchConnection(socket: Socket): void;
	/**
	Holds what is written next, if the loop may not have read for long when it is; `dispatchedAt` is when undici was given the request.
	Calls the function before it is written then, in which the connection may be destroyed.
	*/
	hold(dispatchedAt: Timestamp, onRelease: () => void): void;
}>;

type HeldWrite = Readonly<{onRelease: () => void}>;

/** Creates a record for the connections of one client. */
export function createLateWrites(): LateWrites {
	let openedAt: Timestamp = Number.NEGATIVE_INFINITY;
	let nextWrite: HeldWrite | undefined;

	return {
		watchConnection(socket) {
			openedAt = performance.now();
			const write = socket.write.bind(socket) as (...parameters: readonly unknown[]) => boolean; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- passes on whatever parameters the overloads have
			socket.write = (...parameters: readonly unknown[]) => {
				if (nextWrite !== undefined) {
					const {onRelease} = nextWrite;
					nextWrite = undefined;
					socket.cork();
					waitForRecentReads(() => {
						onRelease();
						socket.uncork();
					});
				}

				return write(...parameters);
			};
		},
		hold(dispatchedAt, onRelease) {
			nextWrite = isReadRecent(Math.max(dispatchedAt, openedAt)) ? undefined : {onRelease};
		},
	};
}
