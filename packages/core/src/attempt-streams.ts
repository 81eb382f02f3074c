/**
The streams on which entries listen to attempts: tokens from an offset, heartbeats in silence, and the end.
*/
import type {AgentAction} from './agent-types.js';
import type {AttemptRecord, AttemptRecords} from './attempt-records.js';
import type {StreamId} from './entry-types.js';
import type {
	AgentStatus, AttemptId, AttemptMessage, AttemptResult, Milliseconds, Timestamp,
} from './types.js';

export type StreamSettings = Readonly<{
	heartbeatIntervalMs: Milliseconds;
	tokenIntervalMs: Milliseconds;
}>;

export type StreamsHost = Readonly<{
	records: AttemptRecords;
	getStatus(now: Timestamp): AgentStatus;
}>;

export type AttemptStreams = Readonly<{
	/** Lets a stream listen to an attempt, from an offset; one that ended is told whole. */
	listen(streamId: StreamId, record: AttemptRecord, nextOffset: number, now: Timestamp): readonly AgentAction[];
	/** Ends a stream that listens to no attempt. */
	refuse(streamId: StreamId, result: AttemptResult, now: Timestamp): readonly AgentAction[];
	/** Sends an attempt's new tokens to the streams that had none for the token interval. */
	deliver(record: AttemptRecord, now: Timestamp): readonly AgentAction[];
	/** Ends all streams of an attempt with its result, after what they lack. */
	end(record: AttemptRecord, result: AttemptResult, now: Timestamp): readonly AgentAction[];
	/** Forgets a stream that its entry closed; returns its attempt if no other stream listens to it. */
	remove(streamId: StreamId): AttemptId | undefined;
	/** Sends the tokens that were held back, and heartbeats. */
	checkTime(now: Timestamp): readonly AgentAction[];
	getWakeAt(): Timestamp;
}>;

type Listener = {
	readonly streamId: StreamId;
	readonly record: AttemptRecord;
	lastSentAt: Timestamp;
	lastTokensAt: Timestamp;
	nextOffset: number;
};

/** Time of the last tokens on a stream that had none: the first ones are never held back. */
const noTokensYet = Number.NEGATIVE_INFINITY;

/** Creates the streams of one agent. */
export function createAttemptStreams(settings: StreamSettings, host: StreamsHost): AttemptStreams {
	const listeners = new Map<StreamId, Listener>();
	const listenersByAttempt = new Map<AttemptId, Set<Listener>>();

	function getListeners(attemptId: AttemptId): readonly Listener[] {
		return [...listenersByAttempt.get(attemptId) ?? []];
	}

	function addListener(listener: Listener): void {
		const {attemptId} = listener.record.attempt;
		const others = listenersByAttempt.get(attemptId) ?? new Set();
		others.add(listener);
		listenersByAttempt.set(attemptId, others);
		listeners.set(listener.streamId, listener);
	}

	function removeListener(listener: Listener): void {
		const {attemptId} = listener.record.attempt;
		const others = listenersByAttempt.get(attemptId);
		listeners.delete(listener.streamId);
		others?.delete(listener);
		if (others?.size === 0) {
			listenersByAttempt.delete(attemptId);
		}
	}

	function send(listener: Listener, message: AttemptMessage, now: Timestamp): AgentAction {
		listener.lastSentAt = now;
		return {kind: 'sendMessage', streamId: listener.streamId, message};
	}

	function endStream(streamId: StreamId, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		const message = {kind: 'ended', result, status: host.getStatus(now)} as const;
		return [{kind: 'sendMessage', streamId, message}, {kind: 'endStream', streamId}];
	}

	function endListener(listener: Listener, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		removeListener(listener);
		return endStream(listener.streamId, result, now);
	}

	function hasTokensToSend({record, nextOffset}: Listener): boolean {
		return nextOffset < record.tokens.length;
	}

	function getTokensDueAt(listener: Listener): Timestamp {
		return listener.lastTokensAt + settings.tokenIntervalMs;
	}

	function sendTokens(listener: Listener, now: Timestamp): readonly AgentAction[] {
		if (!hasTokensToSend(listener)) {
			return [];
		}

		const offset = listener.nextOffset;
		const {tokens} = listener.record;
		listener.nextOffset = tokens.length;
		listener.lastTokensAt = now;
		return [send(listener, {kind: 'tokens', offset, tokens: tokens.slice(offset)}, now)];
	}

	function sendDueTokens(candidates: Iterable<Listener>, now: Timestamp): readonly AgentAction[] {
		const due = [...candidates].filter(listener => now >= getTokensDueAt(listener));
		return due.flatMap(listener => sendTokens(listener, now));
	}

	function sendHeartbeats(now: Timestamp): readonly AgentAction[] {
		const due = [...listeners.values()].filter(listener => now >= listener.lastSentAt + settings.heartbeatIntervalMs);
		return due.map(listener => send(listener, {kind: 'heartbeat', status: host.getStatus(now)}, now));
	}

	return {
		listen(streamId, record, nextOffset, now) {
			const listener: Listener = {
				streamId, record, lastSentAt: now, lastTokensAt: noTokensYet, nextOffset,
			};
			addListener(listener);
			const accepted = send(listener, {kind: 'accepted', status: host.getStatus(now)}, now);
			if (record.phase.kind !== 'ended') {
				return [accepted, ...sendTokens(listener, now)];
			}

			if (record.isAnswerDropped) {
				const result = {kind: 'failed', ran: 'yes', detail: 'the answer is no longer kept'} as const;
				return [accepted, ...endListener(listener, result, now)];
			}

			return [accepted, ...sendTokens(listener, now), ...endListener(listener, record.phase.result, now)];
		},
		refuse: endStream,
		deliver: (record, now) => sendDueTokens(getListeners(record.attempt.attemptId), now),
		end: (record, result, now) => getListeners(record.attempt.attemptId).flatMap(listener => [
			...sendTokens(listener, now),
			...endListener(listener, result, now),
		]),
		remove(streamId) {
			const listener = listeners.get(streamId);
			if (listener === undefined) {
				return undefined;
			}

			removeListener(listener);
			const {attemptId} = listener.record.attempt;
			return listenersByAttempt.has(attemptId) ? undefined : attemptId;
		},
		checkTime: now => [...sendDueTokens(listeners.values(), now), ...sendHeartbeats(now)],
		getWakeAt() {
			let wakeAt = Number.POSITIVE_INFINITY;
			for (const listener of listeners.values()) {
				const tokensAt = hasTokensToSend(listener) ? getTokensDueAt(listener) : Number.POSITIVE_INFINITY;
				wakeAt = Math.min(wakeAt, tokensAt, listener.lastSentAt + settings.heartbeatIntervalMs);
			}

			return wakeAt;
		},
	};
}
