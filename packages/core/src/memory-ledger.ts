/**
Reservations of an engine's memory, each with the attempt that owns it.

The ledger is compared with what the engine says it holds. The report is late: memory that no live attempt owns is only
released when two reports in a row name it, since the first may have been written before the attempt ended.
*/
import type {HeldMemory} from './agent-types.js';
import type {AttemptId, TokenCount} from './types.js';

export type MemoryLedger = Readonly<{
	/** Reserves memory for an attempt; returns false when it does not fit now. */
	tryReserve(owner: AttemptId, tokens: TokenCount): boolean;
	/** Releases an attempt's memory; a repeat changes nothing. */
	release(owner: AttemptId): void;
	setTotal(tokens: TokenCount): void;
	getTotal(): TokenCount;
	getFree(): TokenCount;
	getOwners(): readonly AttemptId[];
	/** Compares with the engine's report and returns the attempts whose memory the engine must release. */
	findLeaked(held: readonly HeldMemory[]): readonly AttemptId[];
}>;

/** Creates a ledger without reservations. */
export function createMemoryLedger(initialTotal: TokenCount): MemoryLedger {
	const reservations = new Map<AttemptId, TokenCount>();
	let total = initialTotal;
	let reserved = 0;
	let suspects: ReadonlySet<AttemptId> = new Set();

	return {
		tryReserve(owner, tokens) {
			if (reservations.has(owner) || reserved + tokens > total) {
				return false;
			}

			reservations.set(owner, tokens);
			reserved += tokens;
			return true;
		},
		release(owner) {
			reserved -= reservations.get(owner) ?? 0;
			reservations.delete(owner);
		},
		setTotal(tokens) {
			total = tokens;
		},
		getTotal: () => total,
		getFree: () => Math.max(0, total - reserved),
		getOwners: () => [...reservations.keys()],
		findLeaked(held) {
			const ownerless = held.map(item => item.attemptId).filter(attemptId => !reservations.has(attemptId));
			const leaked = ownerless.filter(attemptId => suspects.has(attemptId));
			suspects = new Set(ownerless);
			return leaked;
		},
	};
}
