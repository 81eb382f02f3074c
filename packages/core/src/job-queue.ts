/**
Jobs in virtual time, in order of their times, and of their making where times are equal.
*/
import TinyQueue from 'tinyqueue';
import type {Timestamp} from './types.js';

/** Something that happens at its time. */
export type Job = Readonly<{at: Timestamp; run: () => void}>;

export type JobQueue = Readonly<{
	add(at: Timestamp, run: () => void): void;
	/** Takes the next job, or `undefined` when none is left. */
	tryTake(): Job | undefined;
}>;

type OrderedJob = Job & Readonly<{order: number}>;

/** Creates an empty queue. */
export function createJobQueue(): JobQueue {
	const jobs = new TinyQueue<OrderedJob>([], (left, right) => left.at - right.at || left.order - right.order);
	let jobCount = 0;
	return {
		add(at, run) {
			jobCount += 1;
			jobs.push({at, run, order: jobCount});
		},
		tryTake: () => jobs.pop(),
	};
}
