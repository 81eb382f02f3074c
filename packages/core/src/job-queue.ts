/**
A queue of jobs in virtual time, ordered by due time and then by insertion.
*/
import TinyQueue from 'tinyqueue';
import type {Timestamp} from './types.js';

/** A callback that is due at a point in virtual time. */
export type Job = Readonly<{at: Timestamp; run: () => void}>;

export type JobQueue = Readonly<{
	add(at: Timestamp, run: () => void): void;
	/** Removes and returns the next job, or returns `undefined` if the queue is empty. */
	tryTake(): Job | undefined;
}>;

type OrderedJob = Job & Readonly<{insertionOrder: number}>;

/** Creates an empty queue. */
export function createJobQueue(): JobQueue {
	const jobs = new TinyQueue<OrderedJob>([], (left, right) => left.at - right.at || left.insertionOrder - right.insertionOrder);
	let jobCount = 0;
	return {
		add(at, run) {
			jobCount += 1;
			jobs.push({at, run, insertionOrder: jobCount});
		},
		tryTake: () => jobs.pop(),
	};
}
