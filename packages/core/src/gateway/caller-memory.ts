/**
What callers make a gateway hold, and who has to give way when it becomes too much.

Answers the load of callers that the operator doesn't control: many bodies that stop short of their end, and many responses that nobody
reads. Each is within the limits on a single request; together they exceed the host. Bodies that arrive and responses that wait to be
read can be given up. Who gives way is who has held most for longest, in bytes times time: neither the last to come, nor a caller that
sends or reads at an ordinary pace. What belongs to a request that has begun counts too, and can't be given up.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';

export type CallerMemory<Holder> = Readonly<{
	/** Sets what a holder that can be given up holds. Returns those that have to give way, which are removed. */
	setHeld(holder: Holder, bytes: number, now: Timestamp): readonly Holder[];
	/** Ends what a holder holds. Repeated calls have no effect. */
	remove(holder: Holder): void;
	/** Takes the holder that is furthest behind, whatever is held. */
	tryTakeFurthestBehind(now: Timestamp): Holder | undefined;
	/** Adds to the bytes, or with a negative number subtracts from them, that can't be given up. */
	addKept(bytes: number): void;
	setLimit(bytes: number): void;
	getHeldBytes(): number;
}>;

/** Holders give way until this share of the limit is held, so that not every further byte makes another one give way. */
const lowShare = 0.9;
/** Added to the time, so that of those that came at the same moment the one that holds most gives way. */
const minimumHeldMs: Milliseconds = 1;

type Holding = {bytes: number; readonly since: Timestamp};

/** Part of a host's memory, in bytes, that the process needs whatever callers do. */
const processBytes = 120_000_000;
/** Share of the rest that callers may hold; what was held and is not collected yet needs as much again. */
const callerShare = 0.3;
/** A host of any size has room for this many bodies of the greatest length. */
const minimumBodies = 2;
const bytesPerMegabyte = 1_000_000;

/** Returns how many bytes callers may hold at a gateway, `Infinity` if its memory is not known. */
export function getCallerMemoryLimit(memoryMb: number | undefined, maximumBodyBytes: number): number {
	return memoryMb === undefined ? Number.POSITIVE_INFINITY : Math.max(callerShare * ((memoryMb * bytesPerMegabyte) - processBytes), minimumBodies * maximumBodyBytes);
}

/** Memory that a request takes besides its head and its body. */
const requestBytes = 8192;
/** Memory that a name or a value in a head takes besides its characters, with its place in the table of the fields. */
export const headPartBytes = 96;

/** Returns the memory that a request with this head takes, without its body. */
export function getRequestBytes(rawHeaders: readonly string[]): number {
	let bytes = requestBytes;
	for (const part of rawHeaders) {
		bytes += headPartBytes + part.length;
	}

	return bytes;
}

/** Descriptors, of those that a process may have, for files and for its own connections to peers and to the platform. */
const ownDescriptors = 264;
const minimumConnections = 16;

/** Returns how many connections of callers a gateway may have open: half of the descriptors, since each open request has one to a server, too. */
export function getMaximumConnections(maximumDescriptors: number | undefined): number {
	return maximumDescriptors === undefined ? Number.POSITIVE_INFINITY : Math.max(minimumConnections, Math.floor((maximumDescriptors - ownDescriptors) / 2));
}

/** Creates an account without holders. */
export function createCallerMemory<Holder>(): CallerMemory<Holder> {
	const holdings = new Map<Holder, Holding>();
	let limitBytes = Number.POSITIVE_INFINITY;
	let keptBytes = 0;
	let releasableBytes = 0;

	function remove(holder: Holder): void {
		releasableBytes -= holdings.get(holder)?.bytes ?? 0;
		holdings.delete(holder);
	}

	function rankHolders(now: Timestamp): readonly Holder[] {
		return [...holdings].map(([holder, {bytes, since}]) => ({holder, cost: bytes * (now - since + minimumHeldMs)})).toSorted((a, b) => b.cost - a.cost).map(({holder}) => holder);
	}

	/** Takes holders, the furthest behind first, until the low share of what can be given up at all is held. */
	function takeFurthestBehind(now: Timestamp): readonly Holder[] {
		const taken: Holder[] = [];
		const aimBytes = lowShare * (limitBytes - keptBytes);
		for (const holder of rankHolders(now)) {
			// One that holds something alone is within the limit on a single request.
			if (releasableBytes <= aimBytes || (holdings.size === 1 && keptBytes === 0)) {
				break;
			}

			remove(holder);
			taken.push(holder);
		}

		return taken;
	}

	return {
		setHeld(holder, bytes, now) {
			const holding = holdings.get(holder) ?? {bytes: 0, since: now};
			const isGrowing = bytes > holding.bytes;
			releasableBytes += bytes - holding.bytes;
			holding.bytes = bytes;
			holdings.set(holder, holding);
			return isGrowing && keptBytes + releasableBytes > limitBytes ? takeFurthestBehind(now) : [];
		},
		remove,
		tryTakeFurthestBehind(now) {
			const [first] = rankHolders(now);
			if (first !== undefined) {
				remove(first);
			}

			return first;
		},
		addKept(bytes) {
			keptBytes += bytes;
		},
		setLimit(bytes) {
			limitBytes = bytes;
		},
		getHeldBytes: () => keptBytes + releasableBytes,
	};
}

/** Shortest time after which a caller that gave way may come back; the callers of one moment are spread over as long again. */
const boundRetryMs: Milliseconds = 1000;
/** Number of different times to come back. */
const retrySteps = 16;

/** Returns the failure of the `index`th request that gives way. */
export function getBoundFailure(index: number): Failure {
	const spreadMs = boundRetryMs * (index % retrySteps) / retrySteps;
	return createNotRunFailure('overloaded', 'callers make the gateway hold too much', Math.ceil(boundRetryMs + spreadMs));
}
