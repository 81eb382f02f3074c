/**
A replicated log on an object API that offers nothing but conditional creates and reads.

An append is the create of the next sequence number and carries a batch of records. Two writers collide on the create,
so the log fences itself without a lease. Every process folds the same entries in the same order; what a record
achieved is decided by the fold, so a record that came late is simply without effect.

The machine does no I/O: it takes events, and returns the creates and reads that its driver is to perform. At most one
create and one read are under way at a time.

@example
Writers A and B both stand at sequence 7 and create entry 8. The API lets A's create pass and refuses B's. B reads
entry 8, folds it, and creates entry 9 with its batch.
*/
import type {Milliseconds, Timestamp} from './types.js';

/** One entry of the log, as it is stored. */
export type LogEntry<LogRecord> = Readonly<{
	sequence: number;
	writer: string;
	/** Number of the batch, counted by its writer. */
	batch: number;
	records: readonly LogRecord[];
}>;

/** Outcome of a conditional create. After `unknown` the create may have taken effect. */
export type CreateOutcome = 'created' | 'exists' | 'unknown' | 'refused';

export type LogEvent<LogRecord>
	= | Readonly<{kind: 'submitted'; submissionId: string; record: LogRecord; expiresAt: Timestamp}>
		| Readonly<{kind: 'createAnswered'; sequence: number; outcome: CreateOutcome}>
		| Readonly<{kind: 'entriesRead'; entries: ReadonlyArray<LogEntry<LogRecord>>}>
		| Readonly<{kind: 'readFailed'}>
	/** The state up to `sequence` came from elsewhere, for instance from a peer. */
		| Readonly<{kind: 'stateTransferred'; sequence: number}>
	/** Somebody knows of entries up to `sequence`. */
		| Readonly<{kind: 'tailLearned'; sequence: number}>
		| Readonly<{kind: 'timePassed'}>;

export type LogAction<LogRecord, Effect>
	= | Readonly<{kind: 'createEntry'; entry: LogEntry<LogRecord>}>
		| Readonly<{kind: 'readEntries'; after: number}>
		| Readonly<{kind: 'effectKnown'; submissionId: string; effect: Effect}>
	/** The submission expired; `mayTakeEffect` says whether its record may still stand in the log. */
		| Readonly<{kind: 'submissionExpired'; submissionId: string; mayTakeEffect: boolean}>;

/** How a submission ended. */
export type SubmissionOutcome<Effect>
	= | Readonly<{kind: 'applied'; effect: Effect}>
		| Readonly<{kind: 'expired'; mayTakeEffect: boolean}>;

export type LogSettings = Readonly<{
	writer: string;
	/** Least time between two creates; records that come meanwhile share a batch. */
	minimumCreateIntervalMs: Milliseconds;
	/** Wait before a failed create or read is tried again. */
	retryDelayMs: Milliseconds;
	maximumBatchRecords: number;
}>;

/** Applies one record and returns what it achieved. */
export type ApplyLogRecord<LogRecord, Effect> = (record: LogRecord, sequence: number) => Effect;

export type ReplicatedLog<LogRecord, Effect> = Readonly<{
	step(event: LogEvent<LogRecord>, now: Timestamp): ReadonlyArray<LogAction<LogRecord, Effect>>;
	/** Returns the highest sequence that was folded. */
	getSequence(): number;
	/** Returns when `timePassed` is due next. */
	tryGetWakeAt(): Timestamp | undefined;
}>;

type Submission<LogRecord> = Readonly<{submissionId: string; record: LogRecord; expiresAt: Timestamp}>;

type Batch<LogRecord> = Readonly<{
	entry: LogEntry<LogRecord>;
	submissions: ReadonlyArray<Submission<LogRecord>>;
}>;

/** Creates a log at sequence 0 whose records are applied by `fold`. */
export function createReplicatedLog<LogRecord, Effect>(
	settings: LogSettings,
	applyRecord: ApplyLogRecord<LogRecord, Effect>,
): ReplicatedLog<LogRecord, Effect> {
	type Action = LogAction<LogRecord, Effect>;
	let sequence = 0;
	let batchCount = 0;
	let pending: ReadonlyArray<Submission<LogRecord>> = [];
	let batch: Batch<LogRecord> | undefined;
	let isCreating = false;
	let isReading = false;
	let isTailUnknown = false;
	let nextCallAt: Timestamp = 0;

	function applyEntry(entry: LogEntry<LogRecord>): Action[] {
		const isOwn = batch !== undefined && entry.writer === settings.writer && entry.batch === batch.entry.batch;
		const submissions = isOwn ? batch?.submissions : undefined;
		const actions: Action[] = [];
		for (const [index, record] of entry.records.entries()) {
			const effect = applyRecord(record, entry.sequence);
			const submission = submissions?.[index];
			if (submission !== undefined) {
				actions.push({kind: 'effectKnown', submissionId: submission.submissionId, effect});
			}
		}

		sequence = entry.sequence;
		if (isOwn) {
			batch = undefined;
		}

		return actions;
	}

	/** Puts the batch's submissions back in front when its sequence was taken by another writer. */
	function retryConflictingBatch(): void {
		if (batch === undefined || isCreating || batch.entry.sequence > sequence) {
			return;
		}

		pending = [...batch.submissions, ...pending];
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
				if (entrySequence === sequence + 1) {
					return applyEntry(batch.entry);
				}

				isTailUnknown = true;
				return [];
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
		const expired = pending.filter(submission => submission.expiresAt <= now);
		if (expired.length > 0) {
			pending = pending.filter(submission => submission.expiresAt > now);
		}

		const actions: Action[] = expired.map(submission => ({
			kind: 'submissionExpired', submissionId: submission.submissionId, mayTakeEffect: false,
		}));
		const expiredInBatch = batch?.submissions.filter(submission => submission.expiresAt <= now) ?? [];
		if (expiredInBatch.length === 0 || batch === undefined) {
			return actions;
		}

		// The records stay in the batch, since the create may have landed; only nobody waits for them any longer.
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
		const submissions = pending.slice(0, settings.maximumBatchRecords);
		pending = pending.slice(settings.maximumBatchRecords);
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
			return [{kind: 'readEntries', after: sequence}];
		}

		if (batch === undefined && pending.length > 0) {
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
				pending = [...pending, {submissionId, record, expiresAt}];
				return [];
			}

			case 'createAnswered': {
				return applyCreateOutcome(event.sequence, event.outcome, now);
			}

			case 'entriesRead': {
				isReading = false;
				isTailUnknown = false;
				return applyEntries(event.entries);
			}

			case 'readFailed': {
				isReading = false;
				nextCallAt = now + settings.retryDelayMs;
				return [];
			}

			case 'stateTransferred': {
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
			const expiries = [...pending, ...batch?.submissions ?? []].map(submission => submission.expiresAt);
			const isCallDue = !isCreating && !isReading && (isTailUnknown || batch !== undefined || pending.length > 0);
			const wakeAt = Math.min(...expiries, isCallDue ? nextCallAt : Number.POSITIVE_INFINITY);
			return Number.isFinite(wakeAt) ? wakeAt : undefined;
		},
	};
}
