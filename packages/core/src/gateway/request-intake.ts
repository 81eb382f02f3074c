/**
Requests that have been read and not yet begun, while the gateway reads more than it can begin.

The newest one is begun first: its caller is the one most likely to wait still. In order of arrival, every request would be
begun only when its caller is about to leave. A request that has waited too long is refused, so that its caller can come back.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';

export type RequestIntake<Entry> = Readonly<{
	add(entry: Entry, now: Timestamp): void;
	/** Records that all that had arrived when the requests were added has been read, so that they can be taken. */
	recordReads(): void;
	/** Takes the newest request that can be taken. */
	tryTakeNewest(): Entry | undefined;
	/** Takes the requests that have waited too long, oldest first, of those that can be taken. */
	takeOverdue(now: Timestamp): readonly Entry[];
	isEmpty(): boolean;
}>;

/** Longest time for which a request waits to be begun; a part of the time after which callers leave. */
export const maximumIntakeWaitMs: Milliseconds = 400;
/** Shortest time after which a refused caller may come back; the callers of one backlog are spread over as long again. */
const overloadRetryMs: Milliseconds = 1000;
/** Number of different times to come back. */
const retrySteps = 16;

/** Creates an intake without requests. */
export function createRequestIntake<Entry>(): RequestIntake<Entry> {
	/** Requests that can't be taken yet, oldest first. */
	let added: Array<Readonly<{entry: Entry; addedAt: Timestamp}>> = [];
	/** Requests that can be taken, oldest first. */
	let waiting: typeof added = [];
	return {
		add(entry, now) {
			added.push({entry, addedAt: now});
		},
		recordReads() {
			waiting.push(...added);
			added = [];
		},
		tryTakeNewest: () => waiting.pop()?.entry,
		takeOverdue(now) {
			const firstTimely = waiting.findIndex(({addedAt}) => now - addedAt <= maximumIntakeWaitMs);
			const overdueCount = firstTimely === -1 ? waiting.length : firstTimely;
			const overdue = waiting.slice(0, overdueCount);
			waiting = overdueCount === 0 ? waiting : waiting.slice(overdueCount);
			return overdue.map(({entry}) => entry);
		},
		isEmpty: () => waiting.length === 0 && added.length === 0,
	};
}

/** Returns the failure of the `index`th request that is refused since it waited too long to be begun. */
export function getOverdueFailure(index: number): Failure {
	const spreadMs = overloadRetryMs * (index % retrySteps) / retrySteps;
	return createNotRunFailure('overloaded', 'the gateway receives more than it can begin', Math.ceil(overloadRetryMs + spreadMs));
}
