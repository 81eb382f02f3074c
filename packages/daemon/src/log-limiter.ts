/**
Limits the rate of log lines for each event and counts the dropped lines.
*/
import type {Timestamp} from '@currantcross/core/types';

export type LogLimiter = Readonly<{
	/** Counts one line of an event; returns false if the line must be dropped. */
	tryTake(event: string, now: Timestamp): boolean;
	/** Returns how many lines of each event were dropped since the last call. */
	takeDroppedCounts(): ReadonlyMap<string, number>;
}>;

const windowMs = 1000;

type Window = {startedAt: Timestamp; lines: number};

/** Creates a limiter that allows `linesPerSecond` for each event. */
export function createLogLimiter(linesPerSecond: number): LogLimiter {
	const windows = new Map<string, Window>();
	let droppedCounts = new Map<string, number>();

	function getWindow(event: string, now: Timestamp): Window {
		const window = windows.get(event);
		if (window !== undefined && now - window.startedAt < windowMs) {
			return window;
		}

		const newWindow = {startedAt: now, lines: 0};
		windows.set(event, newWindow);
		return newWindow;
	}

	return {
		tryTake(event, now) {
			const window = getWindow(event, now);
			if (window.lines >= linesPerSecond) {
				droppedCounts.set(event, (droppedCounts.get(event) ?? 0) + 1);
				return false;
			}

			window.lines += 1;
			return true;
		},
		takeDroppedCounts() {
			const counts = droppedCounts;
			droppedCounts = new Map();
			return counts;
		},
	};
}
