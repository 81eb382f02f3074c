/**
How long what a connection brings may have waited before its process took note of it. The operating system doesn't say when data
arrived, so each time is an upper bound, and 0 means that nothing has waited for longer than usual.
*/
import type {Milliseconds} from './types.js';

export type ArrivalDelays = Readonly<{
	/** Time for which its connection can have waited to be accepted and read for the first time. */
	acceptMs: Milliseconds;
	/** Time for which its connection was not read, or what was read of it not parsed, because it was held. */
	heldMs: Milliseconds;
	/** Time for which it can have waited because the event loop was late. */
	unreadMs: Milliseconds;
	/** Time for which it can have waited in all. The others may overlap. */
	totalMs: Milliseconds;
}>;

export const noDelays: ArrivalDelays = {
	acceptMs: 0, heldMs: 0, unreadMs: 0, totalMs: 0,
};

/** Returns the delays in whole milliseconds, for the log. */
export function formatDelays({acceptMs, heldMs, unreadMs}: ArrivalDelays): Readonly<Record<'acceptMs' | 'heldMs' | 'unreadMs', number>> {
	return {acceptMs: Math.round(acceptMs), heldMs: Math.round(heldMs), unreadMs: Math.round(unreadMs)};
}
