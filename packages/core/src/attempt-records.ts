/**
What an agent remembers of attempts: those it has, those that ended, and tombstones of those it voided.

A tombstone refuses a copy of the attempt that arrives late. It may be forgotten after the life of a permit: an attempt
keeps the permit with which it was made, that permit was stamped before the attempt was voided, and so any copy that
comes after the tombstone's end carries a permit too old to be taken. The same holds for attempts that ended.
*/
import type {
	Attempt, AttemptId, AttemptResult, AttemptState, Milliseconds, Timestamp,
} from './types.js';

type RecordPhase
	= | Readonly<{kind: 'queued'}>
		| Readonly<{kind: 'running'}>
		| Readonly<{kind: 'ended'; result: AttemptResult; endedAt: Timestamp}>;

/** An attempt that the agent took. */
export type AttemptRecord = {
	readonly attempt: Attempt;
	readonly deadlineAt: Timestamp;
	/** Tokens of the answer, also those that the caller had before this attempt. */
	readonly tokens: string[];
	phase: RecordPhase;
	/** Whether the tokens were dropped to save memory. */
	isAnswerDropped: boolean;
	/** Since when no stream listens. */
	orphanedAt: Timestamp | undefined;
};

export type AttemptRecords = Readonly<{
	add(attempt: Attempt, now: Timestamp): AttemptRecord;
	tryGet(attemptId: AttemptId): AttemptRecord | undefined;
	isVoided(attemptId: AttemptId): boolean;
	/** Leaves a tombstone for an attempt that is not known. */
	addTombstone(attemptId: AttemptId, now: Timestamp): void;
	getState(attemptId: AttemptId): AttemptState;
	/** Forgets what is past its life. */
	expire(now: Timestamp): void;
	/** Returns when `expire` is due next, or `undefined` when nothing is remembered. */
	tryGetExpiryAt(): Timestamp | undefined;
	getLive(): readonly AttemptRecord[];
	getTombstoneCount(): number;
}>;

export type RecordSettings = Readonly<{
	permitLifeMs: Milliseconds;
	answerLifeMs: Milliseconds;
}>;

/** Returns whether the attempt waits or runs. */
export function isLive(record: AttemptRecord): boolean {
	return record.phase.kind !== 'ended';
}

/** Creates empty records. */
export function createAttemptRecords(settings: RecordSettings): AttemptRecords {
	const records = new Map<AttemptId, AttemptRecord>();
	const live = new Set<AttemptRecord>();
	const tombstones = new Map<AttemptId, Timestamp>();
	let nextExpiryAt: Timestamp = 0;

	function expireRecord(attemptId: AttemptId, record: AttemptRecord, now: Timestamp): void {
		if (record.phase.kind !== 'ended') {
			return;
		}

		live.delete(record);
		const ageMs = now - record.phase.endedAt;
		if (ageMs > settings.permitLifeMs) {
			records.delete(attemptId);
			return;
		}

		if (ageMs > settings.answerLifeMs && record.tokens.length > 0) {
			record.tokens.length = 0;
			record.isAnswerDropped = true;
		}
	}

	return {
		add(attempt, now) {
			const record: AttemptRecord = {
				attempt,
				deadlineAt: now + attempt.remainingMs,
				tokens: [...attempt.deliveredTokens],
				phase: {kind: 'queued'},
				isAnswerDropped: false,
				orphanedAt: undefined,
			};
			records.set(attempt.attemptId, record);
			live.add(record);
			return record;
		},
		tryGet: attemptId => records.get(attemptId),
		isVoided: attemptId => tombstones.has(attemptId),
		addTombstone(attemptId, now) {
			tombstones.set(attemptId, now + settings.permitLifeMs);
		},
		getState(attemptId) {
			const record = records.get(attemptId);
			if (record === undefined) {
				return tombstones.has(attemptId) ? {kind: 'voided'} : {kind: 'unknown'};
			}

			return record.phase.kind === 'ended'
				? {kind: 'ended', result: record.phase.result}
				: {kind: 'running', nextOffset: record.tokens.length};
		},
		expire(now) {
			if (now < nextExpiryAt) {
				return;
			}

			nextExpiryAt = now + (settings.answerLifeMs / 4);
			for (const [attemptId, record] of records) {
				expireRecord(attemptId, record, now);
			}

			for (const [attemptId, expiresAt] of tombstones) {
				if (expiresAt < now) {
					tombstones.delete(attemptId);
				}
			}
		},
		tryGetExpiryAt: () => records.size === 0 && tombstones.size === 0 ? undefined : nextExpiryAt,
		getLive: () => [...live].filter(record => isLive(record)),
		getTombstoneCount: () => tombstones.size,
	};
}
