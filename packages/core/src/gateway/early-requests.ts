/**
Requests that reach a gateway before it has read what it needs to check them.

Answers the load after many gateways have started at the same time: while few of a data centre's gateways are ready, a load balancer uses
all of them, and the callers whose connections broke come back at once. A request is held for a short part of the time that it has left,
and checked as any other once the gateway knows enough. It is refused at once where the hold would hardly end well: while the platform's
store fails, when the request has too little time, or when too many are held already.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';

/** A request whose hold has ended without success. */
export type RefusedEntry<Entry> = Readonly<{entry: Entry; failure: Failure}>;

/** The time that a request has left, as far as its caller has stated it, and the longest time that it can have waited before it was read. */
export type EarlyTimes = Readonly<{remainingMs: Milliseconds | undefined; unreadMs: Milliseconds}>;

export type EarlyRequests<Entry> = Readonly<{
	/** Holds a request, or returns the failure if it is refused. */
	admit(entry: Entry, times: EarlyTimes, now: Timestamp): Failure | undefined;
	/** Ends the hold of a request whose caller has left, or that was refused for another reason. Returns whether it was held. */
	remove(entry: Entry): boolean;
	/** Records the outcome of a call of the platform's store. Returns the requests that are refused because of it. */
	recordCall(isAnswered: boolean): ReadonlyArray<RefusedEntry<Entry>>;
	/** Takes the requests that have been held for as long as they may be. */
	takeOverdue(now: Timestamp): ReadonlyArray<RefusedEntry<Entry>>;
	/** Takes all requests, the newest first, whose callers are the most likely to wait still, since they can be checked now. */
	takeAll(): readonly Entry[];
	/** Returns when the next request will have been held for as long as it may be, or infinity. */
	getWakeAt(): Timestamp;
}>;

/** Longest time for which a request waits, unread and held. Callers leave a stream that has shown nothing for two seconds, in which it has to be placed and answered, too. */
export const maximumEarlyWaitMs: Milliseconds = 1200;
/** Share of a request's remaining time for which it may wait; most of it is left to serve it, or to come back after a refusal. */
export const maximumEarlyWaitShare = 1 / 3;
/** A request that can't be held for longer is refused at once. */
const minimumHoldMs: Milliseconds = 50;
/** Number of requests that are held at a time; a small host begins as many within the time for which a backlog may wait. */
export const maximumHeldRequests = 64;
/** Calls of the store that fail in a row, from which on nothing is held; a single one can be the fault of its connection. */
const maximumFailedCalls = 2;
/** Shortest time after which a refused caller may come back; the callers of one start are spread over as long again. */
const earlyRetryMs: Milliseconds = 500;
/** Number of different times to come back. */
const retrySteps = 16;

/** Returns the failure of the `index`th request that is refused. */
function getEarlyFailure(index: number): Failure {
	const spreadMs = earlyRetryMs * (index % retrySteps) / retrySteps;
	return createNotRunFailure('notReady', undefined, Math.ceil(earlyRetryMs + spreadMs));
}

/** Creates a state without requests. */
export function createEarlyRequests<Entry>(): EarlyRequests<Entry> {
	/** When the hold of each request ends, oldest first. */
	const held = new Map<Entry, Timestamp>();
	let failedCalls = 0;
	let refusedCount = 0;

	function refuse(): Failure {
		refusedCount += 1;
		return getEarlyFailure(refusedCount);
	}

	function takeRefused(entries: readonly Entry[]): ReadonlyArray<RefusedEntry<Entry>> {
		return entries.map(entry => {
			held.delete(entry);
			return {entry, failure: refuse()};
		});
	}

	return {
		admit(entry, {remainingMs = Number.POSITIVE_INFINITY, unreadMs}, now) {
			const holdMs = Math.min(maximumEarlyWaitMs, maximumEarlyWaitShare * remainingMs) - unreadMs;
			if (failedCalls >= maximumFailedCalls || holdMs < minimumHoldMs || held.size >= maximumHeldRequests) {
				return refuse();
			}

			held.set(entry, now + holdMs);
			return undefined;
		},
		remove: entry => held.delete(entry),
		recordCall(isAnswered) {
			failedCalls = isAnswered ? 0 : failedCalls + 1;
			return failedCalls < maximumFailedCalls ? [] : takeRefused([...held.keys()]);
		},
		takeOverdue: now => takeRefused([...held].filter(([, endsAt]) => endsAt <= now).map(([entry]) => entry)),
		takeAll() {
			const entries = [...held.keys()].toReversed();
			held.clear();
			return entries;
		},
		getWakeAt: () => Math.min(Number.POSITIVE_INFINITY, ...held.values()),
	};
}
