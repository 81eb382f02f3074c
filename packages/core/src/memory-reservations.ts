/**
Reservations of an engine's memory, each owned by an attempt.

They are compared with the memory that the engine reports as held, in order to find leaks. A report may be stale:
memory without a reservation counts as leaked only when two reports in a row list it, since the first may have been
written before the attempt ended.
*/
import type {HeldMemory} from './agent-types.js';
import type {AttemptId, TokenCount} from './types.js';

export type MemoryReservations = Readonly<{
	/** Reserves memory for an attempt; returns false if too little is free or the attempt already has a reservation. */
	tryReserve(owner: AttemptId, tokens: TokenCount): boolean;
	/** Releases an attempt's reservation, if it has one. */
	release(owner: AttemptId): void;
	/** Sets the engine's memory capacity. */
	setTotal(tokens: TokenCount): void;
	getTotal(): TokenCount;
	getFree(): TokenCount;
	getOwners(): readonly AttemptId[];
	/** Compares the reservations with an engine's report and returns the attempts whose memory has leaked. */
	findLeaked(held: readonly HeldMemory[]): readonly AttemptId[];
}>;

/** Creates an empty set of reservations. */
export function createMemoryReservations(initialTotal: TokenCount): MemoryReservations {
	const reservations = new Map<AttemptId, TokenCount>();
	let total = initialTotal;
	let totalReserved = 0;
	let previousUnowned: ReadonlySet<AttemptId> = new Set();

	return {
		tryReserve(owner, tokens) {
			if (reservations.has(owner) || totalReserved + tokens > total) {
				return false;
			}

			reservations.set(owner, tokens);
			totalReserved += tokens;
			return true;
		},
		release(owner) {
			totalReserved -= reservations.get(owner) ?? 0;
			reservations.delete(owner);
		},
		setTotal(tokens) {
			total = tokens;
		},
		getTotal: () => total,
		getFree: () => Math.max(0, total - totalReserved),
		getOwners: () => [...reservations.keys()],
		findLeaked(held) {
			const unowned = held.map(item => item.attemptId).filter(attemptId => !reservations.has(attemptId));
			const leaked = unowned.filter(attemptId => previousUnowned.has(attemptId));
			previousUnowned = new Set(unowned);
			return leaked;
		},
	};
}
