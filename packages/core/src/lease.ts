/**
A lease stored in an object of the object API, with a fencing number that increases with each new holder.

Clocks are never compared between processes. A holder measures from the time it sent its last successful write, and stops
using the lease well before its duration has elapsed. Another process takes over only after it has observed the same
version for the whole duration on its own clock. A holder that was paused detects the expiry by its own clock.
*/
import type {CreateOutcome} from './replicated-log.js';
import type {Milliseconds, Timestamp} from './types.js';

/** The lease in its stored form. */
export type LeaseRecord = Readonly<{
	/** Identifies one run of a process; a restarted process has another. */
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
		/** Writes the record if the stored version is still `version`, or, without a version, if there is no lease. */
		| Readonly<{kind: 'writeLease'; record: LeaseRecord; version: number | undefined}>;

export type LeaseSettings = Readonly<{
	holder: string;
	durationMs: Milliseconds;
	retryDelayMs: Milliseconds;
}>;

export type Lease = Readonly<{
	step(event: LeaseEvent, now: Timestamp): readonly LeaseAction[];
	/** Returns the fencing number while the lease is certain to be held, otherwise `undefined`. */
	tryGetFencingNumber(now: Timestamp): number | undefined;
	/** Returns when the next `timePassed` event is due, or infinity while a call is in progress. */
	getWakeAt(): Timestamp;
}>;

/** Fraction of the duration for which a holder considers its lease valid. */
const validFraction = 0.7;

/** Fraction of the duration after which the holder renews the lease and other processes read it again. */
const renewalFraction = 0.3;

type ObservedLease = Readonly<{stored: StoredLease; firstSeenAt: Timestamp}>;
type PendingWrite = Readonly<{record: LeaseRecord; sentAt: Timestamp}>;

/** Creates the state machine with which a process acquires and renews a lease. */
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
		const isSameVersion = observed?.stored.version === stored.version;
		observed = isSameVersion && observed !== undefined ? observed : {stored, firstSeenAt: now};
		return observed;
	}

	function handleRead(stored: StoredLease | undefined, now: Timestamp): readonly LeaseAction[] {
		isReading = false;
		nextReadAt = now + (settings.durationMs * renewalFraction);
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

	function handleWriteResponse(outcome: CreateOutcome, now: Timestamp): void {
		const written = pendingWrite;
		pendingWrite = undefined;
		if (outcome === 'created' && written !== undefined) {
			fencingNumber = written.record.fencingNumber;
			validUntil = written.sentAt + (settings.durationMs * validFraction);
			return;
		}

		// The lease may belong to another holder, or this write may have succeeded although its response was lost. Read it again.
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
				handleWriteResponse(event.outcome, now);
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
