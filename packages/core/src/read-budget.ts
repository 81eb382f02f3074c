/**
How much a process reads from each of its connections, and from all of them, before the rest of its work gets its turn.

Answers the load of peers that send their messages in very small parts, or without end: each part costs processor time, however few bytes
it has. A connection has an allowance of its own, which ordinary peers stay within. What goes beyond is shared by all connections, in the
order in which they exceed their allowance, so that it takes a bounded share of the processor, however many they are.
*/
import type {Milliseconds, Timestamp} from './types.js';

/** What is read from one connection. */
export type ReadAllowance = Readonly<{
	/** Records what was read. Returns the time for which the connection must not be read again, or 0. */
	record(units: number, now: Timestamp): Milliseconds;
}>;

export type ReadBudget = Readonly<{
	/** Creates the allowance of a connection from which nothing was read. */
	createAllowance(): ReadAllowance;
}>;

export type ReadBudgetSettings = Readonly<{
	/** Units of one connection that are read at once. */
	burstUnits: number;
	/** Units a second that each connection may go on with. */
	ownUnitsPerSecond: number;
	/** Units a second of all connections that are beyond their allowance. */
	sharedUnitsPerSecond: number;
}>;

/** Bytes that cost as much as a part of a message, besides the cost of the part that they are in. */
const bytesPerUnit = 128;
const millisecondsPerSecond = 1000;

/** Returns the cost of reading so many parts with so many bytes in all. */
export function getReadUnits(parts: number, bytes: number): number {
	return parts + (bytes / bytesPerUnit);
}

/** Creates a budget of which nothing is spent. */
export function createReadBudget({burstUnits, ownUnitsPerSecond, sharedUnitsPerSecond}: ReadBudgetSettings): ReadBudget {
	/** When what was read so far is paid for by the shared units. */
	let sharedUntil: Timestamp = Number.NEGATIVE_INFINITY;

	return {
		createAllowance() {
			let unitsLeft = burstUnits;
			let recordedAt: Timestamp | undefined;
			return {
				record(units, now) {
					const refilledUnits = (now - (recordedAt ?? now)) * ownUnitsPerSecond / millisecondsPerSecond;
					unitsLeft = Math.min(burstUnits, unitsLeft + refilledUnits) - units;
					recordedAt = now;
					if (unitsLeft >= 0) {
						return 0;
					}

					const ownMs = -unitsLeft * millisecondsPerSecond / ownUnitsPerSecond;
					const paidAt = Math.max(sharedUntil, now) - (unitsLeft * millisecondsPerSecond / sharedUnitsPerSecond);
					if (ownMs <= paidAt - now) {
						return ownMs;
					}

					sharedUntil = paidAt;
					unitsLeft = 0;
					return paidAt - now;
				},
			};
		},
	};
}
