/**
The decisions of an agent, the only way to the server beside it.

Whatever must be decided once for a server is decided here: its queue, its memory, which attempts run, which were
voided. A refusal or a void from here is the only ground on which anyone says that a request did not run.
*/
import type {
	AgentAction, AgentEvent, AgentSettings, EngineReport, QueuePolicy,
} from './agent-types.js';
import {createAttemptRecords, isLive, type AttemptRecord} from './attempt-records.js';
import {createAttemptStreams} from './attempt-streams.js';
import type {StreamId} from './entry-types.js';
import {createMemoryLedger} from './memory-ledger.js';
import {getClassesAhead, getPromptClass, promptClasses} from './prompt-class.js';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, AttemptResult, Milliseconds, Permit, PromptClass, Ran, RefusalReason, ServingState,
	Timestamp, TokenCount, Work,
} from './types.js';
import {createRunningWork} from './running-work.js';
import {createWorkQueue, type QueuedAttempt} from './work-queue.js';

export type Agent = Readonly<{
	step(event: AgentEvent, now: Timestamp): readonly AgentAction[];
	/** Returns when `timePassed` is due next. */
	getWakeAt(): Timestamp;
	getStatus(now: Timestamp): AgentStatus;
	/** Returns how many attempts wait or run. */
	getLiveCount(): number;
	getTombstoneCount(): number;
	getReservedOwners(): readonly AttemptId[];
}>;

type RejectedAttempt = Readonly<{
	streamId: StreamId;
	attemptId: AttemptId;
	reason: RefusalReason;
	retryAfterMs: Milliseconds;
}>;

/** Settings that suit an engine of about 400,000 tokens of memory. */
export const defaultAgentSettings = {
	queuePolicy: {kind: 'byClass'},
	maximumActive: 24,
	maximumLongActive: 2,
	maximumPrefillTokens: 250_000,
	maximumWaitMs: {short: 2000, medium: 10_000, long: 120_000},
	ageingMs: 5000,
	heartbeatIntervalMs: 400,
	tokenIntervalMs: 25,
	permitLifeMs: 60_000,
	answerLifeMs: 15_000,
	orphanLifeMs: 4000,
	actionGraceMs: 30_000,
	assumedMemoryTokens: 400_000,
	assumedPrefillTokensPerSecond: 10_000,
} as const satisfies Omit<AgentSettings, 'server' | 'incarnation'>;

const millisecondsPerSecond = 1000;

function getWorkTokens(work: Work): TokenCount {
	return work.kind === 'prompt' ? work.promptTokens : 0;
}

function getMemoryTokens(work: Work): TokenCount {
	return work.kind === 'prompt' ? work.promptTokens + work.maximumTokens : 0;
}

/** Returns the class by which the work is queued. */
function getQueueClass(work: Work, policy: QueuePolicy): PromptClass {
	switch (policy.kind) {
		case 'firstCome': {
			return 'short';
		}

		case 'byClass': {
			return getPromptClass(getWorkTokens(work));
		}
	}
}

function isRepeatable(work: Work): boolean {
	return work.kind === 'prompt' || work.isIdempotent;
}

/** Creates the agent of one server. */
export function createAgent(settings: AgentSettings): Agent {
	const records = createAttemptRecords(settings);
	const ledger = createMemoryLedger(settings.assumedMemoryTokens);
	const queue = createWorkQueue(settings.ageingMs);
	const running = createRunningWork();
	const streams = createAttemptStreams(settings, {records, getStatus});
	let prefillTokensPerSecond = settings.assumedPrefillTokensPerSecond;
	let state: ServingState = 'serving';

	function getStatus(now: Timestamp): AgentStatus {
		return {
			server: settings.server,
			state,
			permit: {incarnation: settings.incarnation, stampedAt: now},
			load: {
				queuedTokens: {short: getWaitingTokens('short'), medium: getWaitingTokens('medium'), long: getWaitingTokens('long')},
				queuedRequests: queue.getSize(),
				activeRequests: running.getSize(),
				freeMemoryTokens: ledger.getFree(),
				prefillTokensPerSecond,
			},
		};
	}

	function getWaitingTokens(promptClass: PromptClass): TokenCount {
		return queue.getTokens(promptClass) + running.getPrefillTokens(promptClass);
	}

	function getPredictedWaitMs(attempt: Attempt): Milliseconds {
		let ahead = 0;
		for (const promptClass of getClassesAhead(getQueueClass(attempt.work, settings.queuePolicy))) {
			ahead += getWaitingTokens(promptClass);
		}

		return ahead / prefillTokensPerSecond * millisecondsPerSecond;
	}

	/** Refuses an attempt, and any copy of it that arrives later. */
	function refuseForGood(rejected: RejectedAttempt, now: Timestamp): readonly AgentAction[] {
		const {streamId, attemptId, reason, retryAfterMs} = rejected;
		records.addTombstone(attemptId, now);
		return streams.refuse(streamId, {kind: 'refused', reason, retryAfterMs}, now);
	}

	function listen(streamId: StreamId, record: AttemptRecord, nextOffset: number, now: Timestamp): readonly AgentAction[] {
		record.orphanedAt = undefined;
		return streams.listen(streamId, record, nextOffset, now);
	}

	function end(record: AttemptRecord, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		const {attemptId} = record.attempt;
		record.phase = {kind: 'ended', result, endedAt: now};
		queue.remove(attemptId);
		running.remove(attemptId);
		ledger.release(attemptId);
		return [...streams.end(record, result, now), ...startQueued(now)];
	}

	function cancel(record: AttemptRecord, now: Timestamp): readonly AgentAction[] {
		const {attempt, phase} = record;
		if (phase.kind === 'ended') {
			return [];
		}

		if (phase.kind === 'queued') {
			return end(record, {kind: 'cancelled', ran: 'no'}, now);
		}

		// An action that may not be repeated goes on, so that its outcome becomes known.
		if (!isRepeatable(attempt.work)) {
			return [];
		}

		const {attemptId} = attempt;
		return [{kind: 'cancelWork', attemptId}, {kind: 'releaseMemory', attemptId}, ...end(record, {kind: 'cancelled', ran: 'yes'}, now)];
	}

	function canStart(item: QueuedAttempt): boolean {
		if (running.getSize() >= settings.maximumActive) {
			return false;
		}

		const record = records.tryGet(item.attemptId);
		if (record === undefined || getMemoryTokens(record.attempt.work) > ledger.getFree()) {
			return false;
		}

		return item.promptClass !== 'long' || canStartLong(item);
	}

	function canStartLong(item: QueuedAttempt): boolean {
		const prefillTokens = running.getPrefillTokens();
		const hasPrefillRoom = prefillTokens === 0 || prefillTokens + item.tokens <= settings.maximumPrefillTokens;
		return hasPrefillRoom && running.getLongCount() < settings.maximumLongActive;
	}

	function startQueued(now: Timestamp): readonly AgentAction[] {
		const actions: AgentAction[] = [];
		let item = queue.tryTake(candidate => canStart(candidate), now);
		while (item !== undefined) {
			const record = records.tryGet(item.attemptId);
			if (record !== undefined) {
				actions.push(startWork(record, item, now));
			}

			item = queue.tryTake(candidate => canStart(candidate), now);
		}

		return actions;
	}

	function startWork(record: AttemptRecord, item: QueuedAttempt, now: Timestamp): AgentAction {
		record.phase = {kind: 'running'};
		running.add(item);
		ledger.tryReserve(item.attemptId, getMemoryTokens(record.attempt.work));
		return {
			kind: 'startWork', attempt: record.attempt, priority: promptClasses.indexOf(item.promptClass), remainingMs: record.deadlineAt - now,
		};
	}

	function findRefusal(attempt: Attempt, now: Timestamp): RefusalReason | undefined {
		if (records.isVoided(attempt.attemptId)) {
			return 'voided';
		}

		if (attempt.permit.incarnation !== settings.incarnation) {
			return 'incarnationMismatch';
		}

		if (now - attempt.permit.stampedAt > settings.permitLifeMs) {
			return 'permitExpired';
		}

		if (state !== 'serving') {
			return 'draining';
		}

		if (attempt.remainingMs <= 0) {
			return 'deadlinePassed';
		}

		return getMemoryTokens(attempt.work) > ledger.getTotal() ? 'memoryExhausted' : undefined;
	}

	function getMaximumWaitMs(promptClass: PromptClass, remainingMs: Milliseconds): Milliseconds {
		return settings.queuePolicy.kind === 'firstCome' ? Number.POSITIVE_INFINITY : Math.min(settings.maximumWaitMs[promptClass], remainingMs);
	}

	function submit(streamId: StreamId, attempt: Attempt, now: Timestamp): readonly AgentAction[] {
		const known = records.tryGet(attempt.attemptId);
		if (known !== undefined) {
			return listen(streamId, known, attempt.deliveredTokens.length, now);
		}

		const reason = findRefusal(attempt, now);
		if (reason !== undefined) {
			return refuseForGood({
				streamId, attemptId: attempt.attemptId, reason, retryAfterMs: 0,
			}, now);
		}

		const tokens = getWorkTokens(attempt.work);
		const promptClass = getQueueClass(attempt.work, settings.queuePolicy);
		const waitMs = getPredictedWaitMs(attempt);
		const maximumWaitMs = getMaximumWaitMs(promptClass, attempt.remainingMs);
		if (waitMs > maximumWaitMs) {
			return refuseForGood({
				streamId, attemptId: attempt.attemptId, reason: 'overloaded', retryAfterMs: waitMs - maximumWaitMs,
			}, now);
		}

		const record = records.add(attempt, now);
		queue.add({
			attemptId: attempt.attemptId, organisation: attempt.organisation, promptClass, tokens, queuedAt: now,
		});
		return [...listen(streamId, record, attempt.deliveredTokens.length, now), ...startQueued(now)];
	}

	function resume(event: Extract<AgentEvent, {kind: 'resumeArrived'}>, now: Timestamp): readonly AgentAction[] {
		const record = records.tryGet(event.attemptId);
		if (record !== undefined) {
			return listen(event.streamId, record, event.nextOffset, now);
		}

		if (!mayVoid(event.permit, now)) {
			const result = {kind: 'failed', ran: 'unknown', detail: 'the agent no longer knows of the attempt'} as const;
			return streams.refuse(event.streamId, result, now);
		}

		return refuseForGood({
			streamId: event.streamId, attemptId: event.attemptId, reason: 'voided', retryAfterMs: 0,
		}, now);
	}

	/**
	Returns whether an attempt that is not known can't have run: it was meant for this incarnation, and its permit is
	young enough that the agent would still remember it.
	*/
	function mayVoid(permit: Permit, now: Timestamp): boolean {
		return permit.incarnation === settings.incarnation && now - permit.stampedAt <= settings.permitLifeMs;
	}

	function voidAttempt(attemptId: AttemptId, permit: Permit, now: Timestamp): void {
		if (records.tryGet(attemptId) === undefined && mayVoid(permit, now)) {
			records.addTombstone(attemptId, now);
		}
	}

	function closeStream(streamId: StreamId, now: Timestamp): void {
		const attemptId = streams.remove(streamId);
		const record = attemptId === undefined ? undefined : records.tryGet(attemptId);
		if (record !== undefined) {
			record.orphanedAt = now;
		}
	}

	function receiveTokens(attemptId: AttemptId, tokens: readonly string[], now: Timestamp): readonly AgentAction[] {
		const record = records.tryGet(attemptId);
		if (record === undefined || !isLive(record)) {
			return [];
		}

		record.tokens.push(...tokens);
		const sent = streams.deliver(record, now);
		return running.endPrefill(attemptId) ? [...sent, ...startQueued(now)] : sent;
	}

	function endLive(attemptId: AttemptId, getResult: (record: AttemptRecord) => AttemptResult, now: Timestamp): readonly AgentAction[] {
		const record = records.tryGet(attemptId);
		return record === undefined || !isLive(record) ? [] : end(record, getResult(record), now);
	}

	function failWork(attemptId: AttemptId, ran: Ran, detail: string, now: Timestamp): readonly AgentAction[] {
		const actions = endLive(attemptId, () => ({kind: 'failed', ran, detail}), now);
		return [{kind: 'releaseMemory', attemptId}, ...actions];
	}

	function applyReport(report: EngineReport, now: Timestamp): readonly AgentAction[] {
		ledger.setTotal(report.totalMemoryTokens);
		prefillTokensPerSecond = report.prefillTokensPerSecond;
		const leaked = ledger.findLeaked(report.held);
		const releases = leaked.map(attemptId => ({kind: 'releaseMemory', attemptId} as const));
		return [...releases, ...startQueued(now)];
	}

	/** Returns until when the attempt may wait or run. */
	function getExpiryAt(record: AttemptRecord): Timestamp {
		const {attempt, phase, deadlineAt, orphanedAt} = record;
		if (isRepeatable(attempt.work)) {
			return Math.min(deadlineAt, (orphanedAt ?? Number.POSITIVE_INFINITY) + settings.orphanLifeMs);
		}

		return phase.kind === 'queued' ? deadlineAt : deadlineAt + settings.actionGraceMs;
	}

	function expire(record: AttemptRecord, now: Timestamp): readonly AgentAction[] {
		if (now < getExpiryAt(record)) {
			return [];
		}

		if (record.phase.kind === 'queued') {
			return end(record, {kind: 'refused', reason: 'deadlinePassed', retryAfterMs: 0}, now);
		}

		if (isRepeatable(record.attempt.work)) {
			return cancel(record, now);
		}

		return end(record, {kind: 'failed', ran: 'unknown', detail: 'the service did not answer'}, now);
	}

	function checkTime(now: Timestamp): readonly AgentAction[] {
		records.expire(now);
		const expiries = records.getLive().flatMap(record => expire(record, now));
		return [...expiries, ...streams.checkTime(now), ...startQueued(now)];
	}

	function step(event: AgentEvent, now: Timestamp): readonly AgentAction[] {
		switch (event.kind) {
			case 'submitArrived': {
				return submit(event.streamId, event.attempt, now);
			}

			case 'resumeArrived': {
				return resume(event, now);
			}

			case 'voidArrived': {
				voidAttempt(event.attemptId, event.permit, now);
				return [{kind: 'replyState', replyId: event.replyId, state: records.getState(event.attemptId)}];
			}

			case 'streamClosed': {
				closeStream(event.streamId, now);
				return [];
			}

			case 'cancelArrived': {
				const record = records.tryGet(event.attemptId);
				return record === undefined ? [] : cancel(record, now);
			}

			case 'tokensGenerated': {
				return receiveTokens(event.attemptId, event.tokens, now);
			}

			case 'promptCompleted': {
				const {finishReason} = event;
				return endLive(event.attemptId, record => ({kind: 'completed', tokenCount: record.tokens.length, finishReason}), now);
			}

			case 'serviceAnswered': {
				const {answer} = event;
				return endLive(event.attemptId, () => ({kind: 'answered', answer}), now);
			}

			case 'workFailed': {
				return failWork(event.attemptId, event.ran, event.detail, now);
			}

			case 'engineReported': {
				return applyReport(event.report, now);
			}

			case 'drainStarted': {
				state = 'draining';
				return [];
			}

			case 'timePassed': {
				return checkTime(now);
			}
		}
	}

	return {
		step,
		getWakeAt() {
			let wakeAt = Math.min(streams.getWakeAt(), records.tryGetExpiryAt() ?? Number.POSITIVE_INFINITY);
			for (const record of records.getLive()) {
				wakeAt = Math.min(wakeAt, getExpiryAt(record));
			}

			return wakeAt;
		},
		getStatus,
		getLiveCount: () => records.getLive().length,
		getTombstoneCount: () => records.getTombstoneCount(),
		getReservedOwners: () => ledger.getOwners(),
	};
}
