/**
Which responses a gateway stops reading for a time, since their callers have left too much of them unread.

Answers the load of callers that read more slowly than endpoints send, one by one or many at once. A response is paused at a mark of its own
and goes on at a lower one, so that it isn't paused and resumed with every event. While all together hold much, the mark is lower for each.
What callers may hold in all (`caller-memory.ts`) stays the last resort.
*/
import type {Milliseconds, Timestamp} from '../types.js';

export type FlowChange
	= | Readonly<{kind: 'unchanged'}>
		| Readonly<{kind: 'paused'}>
		| Readonly<{kind: 'resumed'; pausedMs: Milliseconds}>;

export type ResponseFlow<Key> = Readonly<{
	/** Sets how much of a response its caller has left unread. */
	setUnread(key: Key, bytes: number, now: Timestamp): FlowChange;
	/** Ends a response. Returns for how long it has been paused if it is. */
	remove(key: Key, now: Timestamp): Milliseconds | undefined;
	getPausedCount(): number;
}>;

/** Unread bytes at which a response is paused; about twice what is handed to a connection at once. */
export const pauseBytes = 32_768;
/** Unread bytes at which it is paused while all responses together hold much. */
export const pressedPauseBytes = 16_384;
/** Unread bytes at which a paused response goes on. */
export const resumeBytes = 8192;
/** Share of what callers may hold in all from which on their responses hold much. */
const pressureShare = 0.5;

type Flow = {unreadBytes: number; pausedAt: Timestamp | undefined};

/** Creates the state of a gateway whose callers may hold `limitBytes` in all; if that is `Infinity`, no response is paused. */
export function createResponseFlow<Key>(limitBytes: number): ResponseFlow<Key> {
	const flows = new Map<Key, Flow>();
	let allUnreadBytes = 0;
	let pausedCount = 0;

	function mayPause(unreadBytes: number): boolean {
		return Number.isFinite(limitBytes) && unreadBytes >= (allUnreadBytes > pressureShare * limitBytes ? pressedPauseBytes : pauseBytes);
	}

	return {
		setUnread(key, bytes, now) {
			const flow = flows.get(key) ?? {unreadBytes: 0, pausedAt: undefined};
			flows.set(key, flow);
			allUnreadBytes += bytes - flow.unreadBytes;
			flow.unreadBytes = bytes;
			if (flow.pausedAt === undefined && mayPause(bytes)) {
				flow.pausedAt = now;
				pausedCount += 1;
				return {kind: 'paused'};
			}

			if (flow.pausedAt !== undefined && bytes <= resumeBytes) {
				const pausedMs = now - flow.pausedAt;
				flow.pausedAt = undefined;
				pausedCount -= 1;
				return {kind: 'resumed', pausedMs};
			}

			return {kind: 'unchanged'};
		},
		remove(key, now) {
			const flow = flows.get(key);
			flows.delete(key);
			allUnreadBytes -= flow?.unreadBytes ?? 0;
			if (flow?.pausedAt === undefined) {
				return undefined;
			}

			pausedCount -= 1;
			return now - flow.pausedAt;
		},
		getPausedCount: () => pausedCount,
	};
}
