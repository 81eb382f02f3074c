/**
The state machine of an agent, the process through which all work for one server passes.

The agent is the only authority on its server's queue and memory, and on which attempts run or have been voided. A
request may be reported as not run only if an agent refused or voided its attempt.
*/
import type {
	AgentAction, AgentEvent, AgentSettings, EngineReport, QueuePolicy,
} from './agent-types.js';
import {createAttemptRecords, isLive, type AttemptRecord} from './attempt-records.js';
import {createAttemptStreams} from './attempt-streams.js';
import type {StreamId} from './entry-types.js';
import {createMemoryReservations} from './memory-reservations.js';
import {getClassesAhead, getPromptClass, promptClasses} from './prompt-class.js';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, AttemptResult, Milliseconds, Permit, PromptClass, Ran, RefusalReason, ServingState,
	Timestamp, TokenCount, Work,
} from './types.js';
import {createRunningWork} from './running-work.js';
import {createWorkQueue, type QueuedAttempt} from './work-queue.js';

export type Agent = Readonly<{
	/** Handles an event and returns the actions to perform. */
	step(event: AgentEvent, now: Timestamp): readonly AgentAction[];
	/** Returns when the next `timePassed` event is due. */
	getWakeAt(): Timestamp;
	getStatus(now: Timestamp): AgentStatus;
	/** Returns the number of attempts that are queued or running. */
	getLiveCount(): number;
	getTombstoneCount(): number;
	/** Returns the attempts that have memory reserved. */
	getReservationOwners(): readonly AttemptId[];
}>;

type RefusedAttempt = Readonly<{
	streamId: StreamId;
	attemptId: AttemptId;
	reason: RefusalReason;
	retryAfterMs: Milliseconds;
}>;

/** Default settings, suited to an engine with memory for about 400,000 tokens. */
export const defaultAgentSettings = {
	queuePolicy: {kind: 'byClass'},
	maximumActive: 24,
	maximumLongActive: 2,
	maximumPrefillTokens: 250_000,
	maximumWaitMs: {short: 2000, medium: 10_000, long: 120_000},
	ageingIntervalMs: 5000,
	heartbeatIntervalMs: 400,
	tokenIntervalMs: 25,
	permitLifetimeMs: 60_000,
	answerRetentionMs: 15_000,
	orphanTimeoutMs: 4000,
	outcomeGraceMs: 30_000,
	assumedMemoryTokens: 400_000,
	assumedPrefillTokensPerSecond: 10_000,
} as const satisfies Omit<AgentSettings, 'server' | 'incarnation'>;

const millisecondsPerSecond = 1000;

function getPromptTokens(work: Work): TokenCount {
	return work.kind === 'prompt' ? work.promptTokens : 0;
}

function getRequiredMemoryTokens(work: Work): TokenCount {
	return work.kind === 'prompt' ? work.promptTokens + work.maximumTokens : 0;
}

/** Returns the class under which the work is queued; service calls are queued as short prompts. */
function getQueueClass(work: Work, policy: QueuePolicy): PromptClass {
	switch (policy.kind) {
		case 'firstCome': {
			return 'short';
		}

		case 'byClass': {
			return getPromptClass(getPromptTokens(work));
		}
	}
}

/** Returns whether the work can safely run more than once. */
function isIdempotent(work: Work): boolean {
	return work.kind === 'prompt' || work.isIdempotent;
}

/** Creates the agent of one server. */
export function createAgent(settings: AgentSettings): Agent {
	const records = createAttemptRecords(settings);
	const reservations = createMemoryReservations(settings.assumedMemoryTokens);
	const queue = createWorkQueue(settings.ageingIntervalMs);
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
				queuedTokens: {short: getPendingPrefillTokens('short'), medium: getPendingPrefillTokens('medium'), long: getPendingPrefillTokens('long')},
				queuedRequests: queue.getSize(),
				activeRequests: running.getSize(),
				freeMemoryTokens: reservations.getFree(),
				prefillTokensPerSecond,
			},
		};
	}

	/** Returns the prompt tokens of a class that are queued or in prefill. */
	function getPendingPrefillTokens(promptClass: PromptClass): TokenCount {
		return queue.getTokens(promptClass) + running.getPrefillTokens(promptClass);
	}

	function getPredictedWaitMs(attempt: Attempt): Milliseconds {
		let aheadTokens = 0;
		for (const promptClass of getClassesAhead(getQueueClass(attempt.work, settings.queuePolicy))) {
			aheadTokens += getPendingPrefillTokens(promptClass);
		}

		return aheadTokens / prefillTokensPerSecond * millisecondsPerSecond;
	}

	/** Refuses an attempt and adds a tombstone, so that copies that arrive later are refused too. */
	function refusePermanently(refused: RefusedAttempt, now: Timestamp): readonly AgentAction[] {
		const {streamId, attemptId, reason, retryAfterMs} = refused;
		records.addTombstone(attemptId, now);
		return streams.refuse(streamId, {kind: 'refused', reason, retryAfterMs}, now);
	}

	function openStream(streamId: StreamId, record: AttemptRecord, nextOffset: number, now: Timestamp): readonly AgentAction[] {
		record.orphanedAt = undefined;
		return streams.open(streamId, record, nextOffset, now);
	}

	/** Ends an attempt, and starts the queued ones that fit into the capacity that this frees. */
	function end(record: AttemptRecord, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		const {attemptId} = record.attempt;
		record.phase = {kind: 'ended', result, endedAt: now};
		queue.remove(attemptId);
		running.remove(attemptId);
		reservations.release(attemptId);
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

		// Non-idempotent work keeps running, so that its outcome becomes known.
		if (!isIdempotent(attempt.work)) {
			return [];
		}

		const {attemptId} = attempt;
		return [{kind: 'cancelWork', attemptId}, {kind: 'releaseMemory', attemptId}, ...end(record, {kind: 'cancelled', ran: 'yes'}, now)];
	}

	function canStart(item: QueuedAttempt, now: Timestamp): boolean {
		if (running.getSize() >= settings.maximumActive) {
			return false;
		}

		const record = records.tryGet(item.attemptId);
		if (record === undefined || now >= record.deadlineAt || getRequiredMemoryTokens(record.attempt.work) > reservations.getFree()) {
			return false;
		}

		return item.promptClass !== 'long' || canStartLongPrompt(item);
	}

	function canStartLongPrompt(item: QueuedAttempt): boolean {
		const prefillTokens = running.getPrefillTokens();
		const hasPrefillCapacity = prefillTokens === 0 || prefillTokens + item.tokens <= settings.maximumPrefillTokens;
		return hasPrefillCapacity && running.getLongPromptCount() < settings.maximumLongActive;
	}

	/** Starts queued attempts in queue order while any of them can start. */
	function startQueued(now: Timestamp): readonly AgentAction[] {
		const actions: AgentAction[] = [];
		let item = queue.tryTake(candidate => canStart(candidate, now), now);
		while (item !== undefined) {
			const record = records.tryGet(item.attemptId);
			if (record !== undefined) {
				actions.push(startWork(record, item, now));
			}

			item = queue.tryTake(candidate => canStart(candidate, now), now);
		}

		return actions;
	}

	function startWork(record: AttemptRecord, item: QueuedAttempt, now: Timestamp): AgentAction {
		record.phase = {kind: 'running'};
		running.add(item);
		reservations.tryReserve(item.attemptId, getRequiredMemoryTokens(record.attempt.work));
		return {
			kind: 'startWork', attempt: record.attempt, priority: promptClasses.indexOf(item.promptClass), remainingMs: record.deadlineAt - now,
		};
	}

	function findRefusalReason(attempt: Attempt, now: Timestamp): RefusalReason | undefined {
		if (records.hasTombstone(attempt.attemptId)) {
			return 'voided';
		}

		if (attempt.permit.incarnation !== settings.incarnation) {
			return 'incarnationMismatch';
		}

		if (now - attempt.permit.stampedAt > settings.permitLifetimeMs) {
			return 'permitExpired';
		}

		if (state !== 'serving') {
			return 'draining';
		}

		if (attempt.remainingMs <= 0) {
			return 'deadlinePassed';
		}

		return getRequiredMemoryTokens(attempt.work) > reservations.getTotal() ? 'memoryExhausted' : undefined;
	}

	/** Returns the longest predicted wait with which an attempt is accepted. */
	function getMaximumWaitMs(promptClass: PromptClass, remainingMs: Milliseconds): Milliseconds {
		return settings.queuePolicy.kind === 'firstCome' ? Number.POSITIVE_INFINITY : Math.min(settings.maximumWaitMs[promptClass], remainingMs);
	}

	function submit(streamId: StreamId, attempt: Attempt, now: Timestamp): readonly AgentAction[] {
		const existing = records.tryGet(attempt.attemptId);
		if (existing !== undefined) {
			return openStream(streamId, existing, attempt.deliveredTokens.length, now);
		}

		const reason = findRefusalReason(attempt, now);
		if (reason !== undefined) {
			return refusePermanently({
				streamId, attemptId: attempt.attemptId, reason, retryAfterMs: 0,
			}, now);
		}

		const tokens = getPromptTokens(attempt.work);
		const promptClass = getQueueClass(attempt.work, settings.queuePolicy);
		const predictedWaitMs = getPredictedWaitMs(attempt);
		const maximumWaitMs = getMaximumWaitMs(promptClass, attempt.remainingMs);
		if (predictedWaitMs > maximumWaitMs) {
			return refusePermanently({
				streamId, attemptId: attempt.attemptId, reason: 'overloaded', retryAfterMs: predictedWaitMs - maximumWaitMs,
			}, now);
		}

		const record = records.add(attempt, now);
		queue.add({
			attemptId: attempt.attemptId, organisation: attempt.organisation, promptClass, tokens, queuedAt: now,
		});
		return [...openStream(streamId, record, attempt.deliveredTokens.length, now), ...startQueued(now)];
	}

	function resume(event: Extract<AgentEvent, {kind: 'resumeArrived'}>, now: Timestamp): readonly AgentAction[] {
		const record = records.tryGet(event.attemptId);
		if (record !== undefined) {
			return openStream(event.streamId, record, event.nextOffset, now);
		}

		if (!mayVoid(event.permit, now)) {
			const result = {kind: 'failed', ran: 'unknown', detail: 'the agent no longer knows of the attempt'} as const;
			return streams.refuse(event.streamId, result, now);
		}

		return refusePermanently({
			streamId: event.streamId, attemptId: event.attemptId, reason: 'voided', retryAfterMs: 0,
		}, now);
	}

	/**
	Returns whether an attempt without a record can be voided. This incarnation must have issued its permit, recently
	enough that the agent would still have a record if it had accepted the attempt.
	*/
	function mayVoid(permit: Permit, now: Timestamp): boolean {
		return permit.incarnation === settings.incarnation && now - permit.stampedAt <= settings.permitLifetimeMs;
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
		const messages = streams.sendNewTokens(record, now);
		return running.endPrefill(attemptId) ? [...messages, ...startQueued(now)] : messages;
	}

	function endIfLive(attemptId: AttemptId, getResult: (record: AttemptRecord) => AttemptResult, now: Timestamp): readonly AgentAction[] {
		const record = records.tryGet(attemptId);
		return record === undefined || !isLive(record) ? [] : end(record, getResult(record), now);
	}

	function failWork(attemptId: AttemptId, ran: Ran, detail: string, now: Timestamp): readonly AgentAction[] {
		const actions = endIfLive(attemptId, () => ({kind: 'failed', ran, detail}), now);
		return [{kind: 'releaseMemory', attemptId}, ...actions];
	}

	function applyEngineReport(report: EngineReport, now: Timestamp): readonly AgentAction[] {
		reservations.setTotal(report.totalMemoryTokens);
		prefillTokensPerSecond = report.prefillTokensPerSecond;
		const leakedAttemptIds = reservations.findLeaked(report.held);
		const releaseActions = leakedAttemptIds.map(attemptId => ({kind: 'releaseMemory', attemptId} as const));
		return [...releaseActions, ...startQueued(now)];
	}

	/** Returns when a queued or running attempt expires. */
	function getExpiresAt(record: AttemptRecord): Timestamp {
		const {attempt, phase, deadlineAt, orphanedAt} = record;
		if (isIdempotent(attempt.work)) {
			return Math.min(deadlineAt, (orphanedAt ?? Number.POSITIVE_INFINITY) + settings.orphanTimeoutMs);
		}

		return phase.kind === 'queued' ? deadlineAt : deadlineAt + settings.outcomeGraceMs;
	}

	function expire(record: AttemptRecord, now: Timestamp): readonly AgentAction[] {
		if (now < getExpiresAt(record)) {
			return [];
		}

		if (record.phase.kind === 'queued') {
			return end(record, {kind: 'refused', reason: 'deadlinePassed', retryAfterMs: 0}, now);
		}

		if (isIdempotent(record.attempt.work)) {
			return cancel(record, now);
		}

		return end(record, {kind: 'failed', ran: 'unknown', detail: 'the service did not answer'}, now);
	}

	function handleTimePassed(now: Timestamp): readonly AgentAction[] {
		records.expire(now);
		const expiryActions = records.getLive().flatMap(record => expire(record, now));
		return [...expiryActions, ...streams.handleTimePassed(now), ...startQueued(now)];
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
				return endIfLive(event.attemptId, record => ({kind: 'completed', tokenCount: record.tokens.length, finishReason}), now);
			}

			case 'serviceAnswered': {
				const {answer} = event;
				return endIfLive(event.attemptId, () => ({kind: 'answered', answer}), now);
			}

			case 'workFailed': {
				return failWork(event.attemptId, event.ran, event.detail, now);
			}

			case 'engineReported': {
				return applyEngineReport(event.report, now);
			}

			case 'drainStarted': {
				state = 'draining';
				return [];
			}

			case 'timePassed': {
				return handleTimePassed(now);
			}
		}
	}

	return {
		step,
		getWakeAt() {
			let wakeAt = Math.min(streams.getWakeAt(), records.tryGetNextExpiryAt() ?? Number.POSITIVE_INFINITY);
			for (const record of records.getLive()) {
				wakeAt = Math.min(wakeAt, getExpiresAt(record));
			}

			return wakeAt;
		},
		getStatus,
		getLiveCount: () => records.getLive().length,
		getTombstoneCount: () => records.getTombstoneCount(),
		getReservationOwners: () => reservations.getOwners(),
	};
}
