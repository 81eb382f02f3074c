/**
A lease on an object of the object API, with a fencing number that grows with each new holder.

No clock is compared between processes. A holder counts from when it sent its last write that took effect, and stops
well before the lease's duration is over. Another takes over only when it has seen the same version for the whole
duration on its own clock. A holder that was paused finds by its own clock that its time is over.
*/
import type {CreateOutcome} from './replicated-log.js';
import type {Milliseconds, Timestamp} from './types.js';

/** The lease as it is stored. */
export type LeaseRecord = Readonly<{
	/** Unique to one life of a process. */
	holder: string;
	fencingNumber: number;
	durationMs: Milliseconds;
}>;

/** The stored lease with its version. */
export type StoredLease = Readonly<{record: LeaseRecord; version: number}>;

export type LeaseEvent
	= | Readonly<{kind: 'leaseRead'; stored: StoredLease | undefined}>
		| Readonly<{kind: 'readFailed'}>
		| Readonly<{kind: 'writeAnswered'; outcome: CreateOutcome}>
		| Readonly<{kind: 'timePassed'}>;

export type LeaseAction
	= | Readonly<{kind: 'readLease'}>
		/** Writes the record if the version still stands; without a version, if there is no lease. */
		| Readonly<{kind: 'writeLease'; record: LeaseRecord; version: number | undefined}>;

export type LeaseSettings = Readonly<{
	holder: string;
	durationMs: Milliseconds;
	retryDelayMs: Milliseconds;
}>;

export type Lease = Readonly<{
	step(event: LeaseEvent, now: Timestamp): readonly LeaseAction[];
	/** Returns the fencing number while the lease is held for certain. */
	tryGetFencingNumber(now: Timestamp): number | undefined;
	/** Returns when `timePassed` is due next. */
	getWakeAt(): Timestamp;
}>;

/** Share of the duration for which a holder trusts its lease. */
const holdShare = 0.7;

/** Share of the duration after which a holder renews, and others look again. */
const renewalShare = 0.3;

type ObservedLease = Readonly<{stored: StoredLease; firstSeenAt: Timestamp}>;
type PendingWrite = Readonly<{record: LeaseRecord; sentAt: Timestamp}>;

/** Creates a process's view of a lease that it wants to hold. */
export function createLease(settings: LeaseSettings): Lease {
	let observed: ObservedLease | undefined;
	let pendingWrite: PendingWrite | undefined;
	let isReading = false;
	let fencingNumber = 0;
	let validUntil: Timestamp = Number.NEGATIVE_INFINITY;
	let nextReadAt: Timestamp = Number.NEGATIVE_INFINITY;

	function writeLease(newFencingNumber: number, version: number | undefined, now: Timestamp): readonly LeaseAction[] {
		const {holder, durationMs} = settings;
		const record = {holder, fencingNumber: newFencingNumber, durationMs};
		pendingWrite = {record, sentAt: now};
		return [{kind: 'writeLease', record, version}];
	}

	function observe(stored: StoredLease, now: Timestamp): ObservedLease {
		const isSame = observed?.stored.version === stored.version;
		observed = isSame && observed !== undefined ? observed : {stored, firstSeenAt: now};
		return observed;
	}

	function handleRead(stored: StoredLease | undefined, now: Timestamp): readonly LeaseAction[] {
		isReading = false;
		nextReadAt = now + (settings.durationMs * renewalShare);
		if (stored === undefined) {
			return writeLease(1, undefined, now);
		}

		const {record, version} = stored;
		const {firstSeenAt} = observe(stored, now);
		if (record.holder === settings.holder) {
			return writeLease(record.fencingNumber, version, now);
		}

		const isExpired = now - firstSeenAt >= record.durationMs;
		return isExpired ? writeLease(record.fencingNumber + 1, version, now) : [];
	}

	function handleWriteAnswer(outcome: CreateOutcome, now: Timestamp): void {
		const written = pendingWrite;
		pendingWrite = undefined;
		if (outcome === 'created' && written !== undefined) {
			fencingNumber = written.record.fencingNumber;
			validUntil = written.sentAt + (settings.durationMs * holdShare);
			return;
		}

		// Another holder may stand there, or the own write whose answer was lost: reading tells.
		nextReadAt = now + settings.retryDelayMs;
	}

	function handleEvent(event: LeaseEvent, now: Timestamp): readonly LeaseAction[] {
		switch (event.kind) {
			case 'leaseRead': {
				return handleRead(event.stored, now);
			}

			case 'readFailed': {
				isReading = false;
				nextReadAt = now + settings.retryDelayMs;
				return [];
			}

			case 'writeAnswered': {
				handleWriteAnswer(event.outcome, now);
				return [];
			}

			case 'timePassed': {
				return [];
			}
		}
	}

	return {
		step(event, now) {
			const actions = handleEvent(event, now);
			if (isReading || pendingWrite !== undefined || now < nextReadAt) {
				return actions;
			}

			isReading = true;
			return [...actions, {kind: 'readLease'}];
		},
		tryGetFencingNumber: now => now < validUntil ? fencingNumber : undefined,
		getWakeAt: () => isReading || pendingWrite !== undefined ? Number.POSITIVE_INFINITY : nextReadAt,
	};
}
