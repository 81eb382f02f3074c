/**
A replicated log on top of an object API that offers only conditional creates and reads.

A writer appends a batch of records by creating the object of the next sequence number. If two writers create the same
object, only one succeeds, so the log needs no lease for fencing. Every process applies the same entries in the same
order. The effect of a record is determined when it is applied, so a record that lost a race has no effect.

The state machine does no I/O: it takes events and returns the creates and reads that its driver performs. At most one
create or read is in progress at a time.

@example
Writers A and B are both at sequence 7 and create entry 8. A's create succeeds and B's fails because the object exists.
B reads entry 8, applies it, and creates entry 9 with its batch.
*/
import type {Milliseconds, Timestamp} from './types.js';

/** One log entry in its stored form. */
export type LogEntry<LogRecord> = Readonly<{
	sequence: number;
	writer: string;
	/** Sequential number of the batch, assigned by its writer. */
	batch: number;
	records: readonly LogRecord[];
}>;

/**
Outcome of a conditional create, or of a lease's conditional write. `exists` means that the condition was not met, and
`unknown` that the call may have succeeded.
*/
export type CreateOutcome = 'created' | 'exists' | 'unknown' | 'refused';

export type LogEvent<LogRecord>
	= | Readonly<{kind: 'submitted'; submissionId: string; record: LogRecord; expiresAt: Timestamp}>
		| Readonly<{kind: 'createAnswered'; sequence: number; outcome: CreateOutcome}>
		| Readonly<{kind: 'entriesRead'; entries: ReadonlyArray<LogEntry<LogRecord>>}>
		| Readonly<{kind: 'readFailed'}>
	/** The state up to `sequence` was obtained outside the log, for example from a peer. */
		| Readonly<{kind: 'stateTransferred'; sequence: number}>
	/** The log is known to have entries up to `sequence`. */
		| Readonly<{kind: 'tailLearned'; sequence: number}>
		| Readonly<{kind: 'timePassed'}>;

export type LogAction<LogRecord, Effect>
	= | Readonly<{kind: 'createEntry'; entry: LogEntry<LogRecord>}>
		| Readonly<{kind: 'readEntries'; after: number}>
		| Readonly<{kind: 'effectKnown'; submissionId: string; effect: Effect}>
	/** The submission expired. `mayTakeEffect` states whether its record may be in the log or may still be appended. */
		| Readonly<{kind: 'submissionExpired'; submissionId: string; mayTakeEffect: boolean}>;

/** How a submission ended. */
export type SubmissionOutcome<Effect>
	= | Readonly<{kind: 'applied'; effect: Effect}>
		| Readonly<{kind: 'expired'; mayTakeEffect: boolean}>;

export type LogSettings = Readonly<{
	writer: string;
	/** Minimum time between two creates. Records submitted in between form one batch. */
	minimumCreateIntervalMs: Milliseconds;
	/** Delay before a failed create or read is retried. */
	retryDelayMs: Milliseconds;
	maximumBatchRecords: number;
}>;

/** Applies one record and returns its effect. */
export type ApplyLogRecord<LogRecord, Effect> = (record: LogRecord, sequence: number) => Effect;

export type ReplicatedLog<LogRecord, Effect> = Readonly<{
	step(event: LogEvent<LogRecord>, now: Timestamp): ReadonlyArray<LogAction<LogRecord, Effect>>;
	/** Returns the sequence of the last entry that was applied. */
	getSequence(): number;
	/** Returns when the next `timePassed` event is due, or `undefined` if no timer is pending. */
	tryGetWakeAt(): Timestamp | undefined;
}>;

type Submission<LogRecord> = Readonly<{submissionId: string; record: LogRecord; expiresAt: Timestamp}>;

type Batch<LogRecord> = Readonly<{
	entry: LogEntry<LogRecord>;
	submissions: ReadonlyArray<Submission<LogRecord>>;
}>;

/**
Creates a log at sequence 0 whose records are applied by `applyRecord`. `getTransferredEffect` returns the effect of a record that was applied
where the state was transferred from; later records may have been, too.
*/
export function createReplicatedLog<LogRecord, Effect>(
	settings: LogSettings,
	applyRecord: ApplyLogRecord<LogRecord, Effect>,
	getTransferredEffect = applyRecord,
): ReplicatedLog<LogRecord, Effect> {
	type Action = LogAction<LogRecord, Effect>;
	let sequence = 0;
	let batchCount = 0;
	let pendingSubmissions: ReadonlyArray<Submission<LogRecord>> = [];
	let batch: Batch<LogRecord> | undefined;
	let isCreating = false;
	let isReading = false;
	let isTailUnknown = false;
	/** Whether the state was transferred of which the batch, or another one's entry in its place, is a part. */
	let isBatchTransferred = false;
	let nextCallAt: Timestamp = 0;

	function applyEntry(entry: LogEntry<LogRecord>): Action[] {
		const isOwnBatch = batch !== undefined && entry.writer === settings.writer && entry.batch === batch.entry.batch;
		const submissions = isOwnBatch ? batch?.submissions : undefined;
		const getEffect = entry.sequence > sequence ? applyRecord : getTransferredEffect;
		const actions: Action[] = [];
		for (const [index, record] of entry.records.entries()) {
			const effect = getEffect(record, entry.sequence);
			const submission = submissions?.[index];
			if (submission !== undefined) {
				actions.push({kind: 'effectKnown', submissionId: submission.submissionId, effect});
			}
		}

		sequence = Math.max(sequence, entry.sequence);
		if (isOwnBatch) {
			batch = undefined;
			isBatchTransferred = false;
		}

		return actions;
	}

	/** Applies the entry in the place of a transferred batch if it is the batch, and lets it conflict otherwise. */
	function applyTransferredBatch(entries: ReadonlyArray<LogEntry<LogRecord>>, now: Timestamp): Action[] {
		const entry = entries.find(candidate => candidate.sequence === batch?.entry.sequence);
		if (entry === undefined) {
			isTailUnknown = true;
			nextCallAt = now + settings.retryDelayMs;
			return [];
		}

		isBatchTransferred = false;
		return entry.writer === settings.writer && entry.batch === batch?.entry.batch ? applyEntry(entry) : [];
	}

	/** Moves the batch's submissions back to the front of the queue if another writer took its sequence number. */
	function retryConflictingBatch(): void {
		if (batch === undefined || isCreating || isBatchTransferred || batch.entry.sequence > sequence) {
			return;
		}

		pendingSubmissions = [...batch.submissions, ...pendingSubmissions];
		batch = undefined;
	}

	function applyEntries(entries: ReadonlyArray<LogEntry<LogRecord>>): Action[] {
		const actions: Action[] = [];
		for (const entry of entries) {
			if (entry.sequence === sequence + 1) {
				actions.push(...applyEntry(entry));
			}
		}

		return actions;
	}

	function applyCreateOutcome(entrySequence: number, outcome: CreateOutcome, now: Timestamp): Action[] {
		isCreating = false;
		if (batch?.entry.sequence !== entrySequence) {
			return [];
		}

		switch (outcome) {
			case 'created': {
				nextCallAt = now + settings.minimumCreateIntervalMs;
				return applyEntry(batch.entry);
			}

			case 'exists': {
				isTailUnknown = true;
				return [];
			}

			case 'unknown': {
				isTailUnknown = true;
				nextCallAt = now + settings.retryDelayMs;
				return [];
			}

			case 'refused': {
				nextCallAt = now + settings.retryDelayMs;
				return [];
			}
		}
	}

	function expireSubmissions(now: Timestamp): Action[] {
		const expired = pendingSubmissions.filter(submission => submission.expiresAt <= now);
		if (expired.length > 0) {
			pendingSubmissions = pendingSubmissions.filter(submission => submission.expiresAt > now);
		}

		const actions: Action[] = expired.map(submission => ({
			kind: 'submissionExpired', submissionId: submission.submissionId, mayTakeEffect: false,
		}));
		const expiredInBatch = batch?.submissions.filter(submission => submission.expiresAt <= now) ?? [];
		if (expiredInBatch.length === 0 || batch === undefined) {
			return actions;
		}

		// The records stay in the batch because its create may have succeeded, but nobody waits for their effects any longer.
		const submissions = batch.submissions.map(submission => submission.expiresAt <= now
			? {...submission, expiresAt: Number.POSITIVE_INFINITY}
			: submission);
		batch = {...batch, submissions};
		return [...actions, ...expiredInBatch.map(submission => ({
			kind: 'submissionExpired', submissionId: submission.submissionId, mayTakeEffect: true,
		} as const))];
	}

	function takeBatch(): Batch<LogRecord> {
		batchCount += 1;
		const submissions = pendingSubmissions.slice(0, settings.maximumBatchRecords);
		pendingSubmissions = pendingSubmissions.slice(settings.maximumBatchRecords);
		const records = submissions.map(submission => submission.record);
		return {
			entry: {
				sequence: sequence + 1, writer: settings.writer, batch: batchCount, records,
			}, submissions,
		};
	}

	function startNextCall(now: Timestamp): Action[] {
		if (isCreating || isReading || now < nextCallAt) {
			return [];
		}

		if (isTailUnknown) {
			isReading = true;
			return [{kind: 'readEntries', after: isBatchTransferred && batch !== undefined ? batch.entry.sequence - 1 : sequence}];
		}

		if (batch === undefined && pendingSubmissions.length > 0) {
			batch = takeBatch();
		}

		if (batch === undefined) {
			return [];
		}

		isCreating = true;
		return [{kind: 'createEntry', entry: batch.entry}];
	}

	function applyEvent(event: LogEvent<LogRecord>, now: Timestamp): Action[] {
		switch (event.kind) {
			case 'submitted': {
				const {submissionId, record, expiresAt} = event;
				pendingSubmissions = [...pendingSubmissions, {submissionId, record, expiresAt}];
				return [];
			}

			case 'createAnswered': {
				return applyCreateOutcome(event.sequence, event.outcome, now);
			}

			case 'entriesRead': {
				isReading = false;
				isTailUnknown = false;
				return [...isBatchTransferred ? applyTransferredBatch(event.entries, now) : [], ...applyEntries(event.entries)];
			}

			case 'readFailed': {
				isReading = false;
				nextCallAt = now + settings.retryDelayMs;
				return [];
			}

			case 'stateTransferred': {
				if (batch !== undefined && batch.entry.sequence > sequence && batch.entry.sequence <= event.sequence) {
					isBatchTransferred = true;
					isTailUnknown = true;
				}

				sequence = Math.max(sequence, event.sequence);
				return [];
			}

			case 'tailLearned': {
				isTailUnknown ||= event.sequence > sequence;
				return [];
			}

			case 'timePassed': {
				return [];
			}
		}
	}

	return {
		step(event, now) {
			const actions = applyEvent(event, now);
			retryConflictingBatch();
			return [...actions, ...expireSubmissions(now), ...startNextCall(now)];
		},
		getSequence: () => sequence,
		tryGetWakeAt() {
			const expiries = [...pendingSubmissions, ...batch?.submissions ?? []].map(submission => submission.expiresAt);
			const isCallDue = !isCreating && !isReading && (isTailUnknown || batch !== undefined || pendingSubmissions.length > 0);
			const wakeAt = Math.min(...expiries, isCallDue ? nextCallAt : Number.POSITIVE_INFINITY);
			return Number.isFinite(wakeAt) ? wakeAt : undefined;
		},
	};
}
