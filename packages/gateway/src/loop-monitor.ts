/**
Measures how long the event loop has read nothing. Meanwhile requests, and the closes of callers that leave, wait in the
buffers of the sockets, and the loop can't tell when they arrived.
*/
import type {Milliseconds, Timestamp} from '@currantcross/core/types';

export type LoopMonitor = Readonly<{
	/** Returns the longest time that data which is read now can have waited, or 0 while the loop reads without delay. */
	getUnreadMs(): Milliseconds;
	close(): void;
}>;

export type LoopMonitorHost = Readonly<{
	/** Called after each tick with the time by which it was late. */
	onTick(delayMs: Milliseconds): void;
}>;

const tickIntervalMs: Milliseconds = 100;
/** Delay of a tick that is normal for timers. */
const toleranceMs: Milliseconds = 50;

/** Starts to watch the event loop of this process. */
export function startLoopMonitor(host: LoopMonitorHost): LoopMonitor {
	let tickedAt: Timestamp = performance.now();
	/** All data that had arrived before this time has been read. */
	let readUntil = tickedAt;

	const timer = setInterval(() => {
		const now = performance.now();
		const delayMs = Math.max(0, now - tickedAt - tickIntervalMs);
		tickedAt = now;
		waitForReads(() => {
			readUntil = now;
		});
		host.onTick(delayMs);
	}, tickIntervalMs);

	return {
		getUnreadMs() {
			const unreadMs = performance.now() - readUntil;
			return unreadMs > tickIntervalMs + toleranceMs ? unreadMs : 0;
		},
		close() {
			clearInterval(timer);
		},
	};
}

/**
Calls the function once the loop has read what has arrived by now. A new connection is accepted in one turn and read in the next
one, and so are a request and the close behind it.
*/
export function waitForReads(callback: () => void): void {
	setImmediate(() => {
		setImmediate(callback);
	});
}
