/**
Bounds the volume of logs: each kind of event may write so many lines a second, and lines beyond are counted.
*/
import type {Timestamp} from '@currantcross/core/types';

export type LogLimiter = Readonly<{
	/** Takes one line of an event; returns false when it has to be left out. */
	tryTake(event: string, now: Timestamp): boolean;
	/** Returns how many lines of each event were left out since the last call. */
	takeDropped(): ReadonlyMap<string, number>;
}>;

const windowMs = 1000;

type Window = {startedAt: Timestamp; lines: number};

/** Creates a limiter that lets each event write `linesPerSecond`. */
export function createLogLimiter(linesPerSecond: number): LogLimiter {
	const windows = new Map<string, Window>();
	let dropped = new Map<string, number>();

	function getWindow(event: string, now: Timestamp): Window {
		const window = windows.get(event);
		if (window !== undefined && now - window.startedAt < windowMs) {
			return window;
		}

		const fresh = {startedAt: now, lines: 0};
		windows.set(event, fresh);
		return fresh;
	}

	return {
		tryTake(event, now) {
			const window = getWindow(event, now);
			if (window.lines >= linesPerSecond) {
				dropped.set(event, (dropped.get(event) ?? 0) + 1);
				return false;
			}

			window.lines += 1;
			return true;
		},
		takeDropped() {
			const taken = dropped;
			dropped = new Map();
			return taken;
		},
	};
}
