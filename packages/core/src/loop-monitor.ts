/**
Measures how long the event loop has read nothing, and how long the connections of one server wait to be accepted. Meanwhile requests, and
the closes of callers that leave, wait in the buffers of the sockets, and the loop can't tell when they arrived.
*/
import type {Milliseconds, Timestamp} from './types.js';

export type LoopMonitor = Readonly<{
	/** Returns the longest time that data on an accepted connection which is read now can have waited, or 0 while the loop reads without delay. */
	getUnreadMs(): Milliseconds;
	/** Returns the longest time that a connection which is accepted now can have waited, or 0 while none waits. */
	getUnacceptedMs(): Milliseconds;
	/** Records that the server has accepted a connection. */
	recordAccept(): void;
	/** Records that all connections have been accepted that had arrived before the given time. */
	recordAcceptedUntil(at: Timestamp): void;
	close(): void;
}>;

export type LoopMonitorHost = Readonly<{
	/** Called after each tick with the time by which it was late, and the longest time that a connection which is accepted now can have waited. */
	onTick(delayMs: Milliseconds, unacceptedMs: Milliseconds): void;
	/** Called at each tick while connections have been accepted in each turn since the last one, so that others may have waited all the time. */
	onAcceptsBehind?(): void;
}>;

const tickIntervalMs: Milliseconds = 100;
/** Delay of a tick that is normal for timers. */
const toleranceMs: Milliseconds = 50;
/** Half of the time after which work for a caller who has left is late. */
const maximumReadAgeMs: Milliseconds = 250;

/** Returns the time since `until`, or 0 if it is normal between ticks. */
function getDelayMs(until: Timestamp): Milliseconds {
	const delayMs = performance.now() - until;
	return delayMs > tickIntervalMs + toleranceMs ? delayMs : 0;
}

/** Starts to watch the event loop of this process. */
export function startLoopMonitor(host: LoopMonitorHost): LoopMonitor {
	let tickedAt: Timestamp = performance.now();
	/** All data that had arrived before this time on accepted connections has been read. */
	let readUntil = tickedAt;
	/** All connections that had arrived before this time have been accepted. */
	let acceptedUntil = tickedAt;
	let acceptedCount = 0;
	let isCheckingAccepts = false;

	function recordAcceptedUntil(at: Timestamp): void {
		acceptedUntil = Math.max(acceptedUntil, at);
	}

	/** Notes the time of the first complete turn of the loop that accepts nothing. A turn accepts one connection of those that wait. */
	function checkAccepts(): void {
		const now = performance.now();
		const countBefore = acceptedCount;
		isCheckingAccepts = true;
		waitForReads(() => {
			if (acceptedCount > countBefore) {
				checkAccepts();
				return;
			}

			isCheckingAccepts = false;
			recordAcceptedUntil(now);
		});
	}

	const timer = setInterval(() => {
		const now = performance.now();
		const delayMs = Math.max(0, now - tickedAt - tickIntervalMs);
		tickedAt = now;
		host.onTick(delayMs, getDelayMs(acceptedUntil));
		waitForReads(() => {
			readUntil = now;
		});
		if (isCheckingAccepts) {
			host.onAcceptsBehind?.();
		} else {
			checkAccepts();
		}
	}, tickIntervalMs);

	return {
		getUnreadMs: () => getDelayMs(readUntil),
		getUnacceptedMs: () => getDelayMs(acceptedUntil),
		recordAccept() {
			acceptedCount += 1;
		},
		recordAcceptedUntil,
		close() {
			clearInterval(timer);
		},
	};
}

/** Calls the function once the loop has read what has arrived by now on accepted connections, such as the close behind a request. */
export function waitForReads(callback: () => void): void {
	setImmediate(() => {
		setImmediate(callback);
	});
}

/** Returns whether what the loop has read by now is recent, if it began to read after the given time. */
export function isReadRecent(readAfter: Timestamp): boolean {
	return performance.now() - readAfter <= maximumReadAgeMs;
}

/** Calls the function as `waitForReads` does, in the first turn that is short enough for what arrived until then to have been read. */
export function waitForRecentReads(callback: () => void): void {
	setImmediate(() => {
		waitForShortTurn(callback);
	});
}

function waitForShortTurn(callback: () => void): void {
	const startedAt = performance.now();
	setImmediate(() => {
		if (isReadRecent(startedAt)) {
			callback();
		} else {
			waitForShortTurn(callback);
		}
	});
}
