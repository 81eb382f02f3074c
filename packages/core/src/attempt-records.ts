/**
An agent's records of accepted attempts, and its tombstones of refused and voided ones.

A tombstone causes late copies of an attempt to be refused. It can be removed once a permit's lifetime has passed: all
copies of an attempt carry the same permit, which was stamped before the attempt was voided, so a copy that arrives
after the tombstone was removed has an expired permit. The same holds for the records of ended attempts.
*/
import type {
	Attempt, AttemptId, AttemptResult, AttemptState, Milliseconds, Timestamp,
} from './types.js';

type RecordPhase
	= | Readonly<{kind: 'queued'}>
		| Readonly<{kind: 'running'}>
		| Readonly<{kind: 'ended'; result: AttemptResult; endedAt: Timestamp}>;

/** An attempt that the agent accepted. */
export type AttemptRecord = {
	readonly attempt: Attempt;
	readonly deadlineAt: Timestamp;
	/** Tokens of the answer, including those that the caller had received before this attempt. */
	readonly tokens: string[];
	phase: RecordPhase;
	/** Whether the tokens were discarded to save memory. */
	isAnswerDiscarded: boolean;
	/** When the last open stream of the attempt was closed; `undefined` while a stream is open. */
	orphanedAt: Timestamp | undefined;
};

export type AttemptRecords = Readonly<{
	add(attempt: Attempt, now: Timestamp): AttemptRecord;
	tryGet(attemptId: AttemptId): AttemptRecord | undefined;
	/** Returns whether the attempt was refused or voided and its tombstone has not been removed yet. */
	hasTombstone(attemptId: AttemptId): boolean;
	/** Adds a tombstone for a refused or voided attempt. */
	addTombstone(attemptId: AttemptId, now: Timestamp): void;
	getState(attemptId: AttemptId): AttemptState;
	/** Removes expired records and tombstones, and discards the tokens of attempts that ended more than `answerRetentionMs` ago. */
	expire(now: Timestamp): void;
	/** Returns when `expire` is due next, or `undefined` if there are no records or tombstones. */
	tryGetNextExpiryAt(): Timestamp | undefined;
	/** Returns the attempts that are queued or running. */
	getLive(): readonly AttemptRecord[];
	getTombstoneCount(): number;
}>;

export type RecordSettings = Readonly<{
	permitLifetimeMs: Milliseconds;
	answerRetentionMs: Milliseconds;
}>;

/** Returns whether the attempt is queued or running. */
export function isLive(record: AttemptRecord): boolean {
	return record.phase.kind !== 'ended';
}

/** Creates an empty collection of records and tombstones. */
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
		if (ageMs > settings.permitLifetimeMs) {
			records.delete(attemptId);
			return;
		}

		if (ageMs > settings.answerRetentionMs && record.tokens.length > 0) {
			record.tokens.length = 0;
			record.isAnswerDiscarded = true;
		}
	}

	return {
		add(attempt, now) {
			const record: AttemptRecord = {
				attempt,
				deadlineAt: now + attempt.remainingMs,
				tokens: [...attempt.deliveredTokens],
				phase: {kind: 'queued'},
				isAnswerDiscarded: false,
				orphanedAt: undefined,
			};
			records.set(attempt.attemptId, record);
			live.add(record);
			return record;
		},
		tryGet: attemptId => records.get(attemptId),
		hasTombstone: attemptId => tombstones.has(attemptId),
		addTombstone(attemptId, now) {
			tombstones.set(attemptId, now + settings.permitLifetimeMs);
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

			nextExpiryAt = now + (settings.answerRetentionMs / 4);
			for (const [attemptId, record] of records) {
				expireRecord(attemptId, record, now);
			}

			for (const [attemptId, expiresAt] of tombstones) {
				if (expiresAt < now) {
					tombstones.delete(attemptId);
				}
			}
		},
		tryGetNextExpiryAt: () => records.size === 0 && tombstones.size === 0 ? undefined : nextExpiryAt,
		getLive: () => [...live].filter(record => isLive(record)),
		getTombstoneCount: () => tombstones.size,
	};
}
