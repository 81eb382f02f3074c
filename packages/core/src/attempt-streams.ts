/**
The streams on which entries receive an attempt's tokens from an offset, heartbeats while idle, and its result.
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

export type StreamDependencies = Readonly<{
	records: AttemptRecords;
	getStatus(now: Timestamp): AgentStatus;
}>;

export type AttemptStreams = Readonly<{
	/** Opens a stream of an attempt from an offset; if the attempt has ended, sends the remaining tokens and ends the stream. */
	open(streamId: StreamId, record: AttemptRecord, nextOffset: number, now: Timestamp): readonly AgentAction[];
	/** Ends a stream whose attempt was not accepted or has no record. */
	refuse(streamId: StreamId, result: AttemptResult, now: Timestamp): readonly AgentAction[];
	/** Sends an attempt's new tokens on each stream whose last token message is at least the token interval old. */
	sendNewTokens(record: AttemptRecord, now: Timestamp): readonly AgentAction[];
	/** Sends the remaining tokens and the result on all streams of an attempt, and ends them. */
	end(record: AttemptRecord, result: AttemptResult, now: Timestamp): readonly AgentAction[];
	/** Removes a stream that its entry closed; returns its attempt if that has no other open stream. */
	remove(streamId: StreamId): AttemptId | undefined;
	/** Sends the batched tokens and the heartbeats that are due. */
	handleTimePassed(now: Timestamp): readonly AgentAction[];
	/** Returns when `handleTimePassed` is due next. */
	getWakeAt(): Timestamp;
}>;

/** An open stream of an attempt. */
type AttemptStream = {
	readonly streamId: StreamId;
	readonly record: AttemptRecord;
	lastSentAt: Timestamp;
	lastTokensAt: Timestamp;
	nextOffset: number;
};

/** Initial `lastTokensAt` of a stream, so that its first tokens are sent without delay. */
const noTokensSent = Number.NEGATIVE_INFINITY;

/** Creates the streams of one agent. */
export function createAttemptStreams(settings: StreamSettings, dependencies: StreamDependencies): AttemptStreams {
	const streams = new Map<StreamId, AttemptStream>();
	const streamsByAttempt = new Map<AttemptId, Set<AttemptStream>>();

	function getStreams(attemptId: AttemptId): readonly AttemptStream[] {
		return [...streamsByAttempt.get(attemptId) ?? []];
	}

	function addStream(stream: AttemptStream): void {
		const {attemptId} = stream.record.attempt;
		const attemptStreams = streamsByAttempt.get(attemptId) ?? new Set();
		attemptStreams.add(stream);
		streamsByAttempt.set(attemptId, attemptStreams);
		streams.set(stream.streamId, stream);
	}

	function removeStream(stream: AttemptStream): void {
		const {attemptId} = stream.record.attempt;
		const attemptStreams = streamsByAttempt.get(attemptId);
		streams.delete(stream.streamId);
		attemptStreams?.delete(stream);
		if (attemptStreams?.size === 0) {
			streamsByAttempt.delete(attemptId);
		}
	}

	function send(stream: AttemptStream, message: AttemptMessage, now: Timestamp): AgentAction {
		stream.lastSentAt = now;
		return {kind: 'sendMessage', streamId: stream.streamId, message};
	}

	/** Sends the final message of a stream and ends it. */
	function sendEnd(streamId: StreamId, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		const message = {kind: 'ended', result, status: dependencies.getStatus(now)} as const;
		return [{kind: 'sendMessage', streamId, message}, {kind: 'endStream', streamId}];
	}

	function endStream(stream: AttemptStream, result: AttemptResult, now: Timestamp): readonly AgentAction[] {
		removeStream(stream);
		return sendEnd(stream.streamId, result, now);
	}

	function hasTokensToSend({record, nextOffset}: AttemptStream): boolean {
		return nextOffset < record.tokens.length;
	}

	function getNextTokensAt(stream: AttemptStream): Timestamp {
		return stream.lastTokensAt + settings.tokenIntervalMs;
	}

	/** Sends all tokens from the stream's next offset. */
	function sendTokens(stream: AttemptStream, now: Timestamp): readonly AgentAction[] {
		if (!hasTokensToSend(stream)) {
			return [];
		}

		const offset = stream.nextOffset;
		const {tokens} = stream.record;
		stream.nextOffset = tokens.length;
		stream.lastTokensAt = now;
		return [send(stream, {kind: 'tokens', offset, tokens: tokens.slice(offset)}, now)];
	}

	function sendDueTokens(candidates: Iterable<AttemptStream>, now: Timestamp): readonly AgentAction[] {
		const due = [...candidates].filter(stream => now >= getNextTokensAt(stream));
		return due.flatMap(stream => sendTokens(stream, now));
	}

	function sendHeartbeats(now: Timestamp): readonly AgentAction[] {
		const due = [...streams.values()].filter(stream => now >= stream.lastSentAt + settings.heartbeatIntervalMs);
		return due.map(stream => send(stream, {kind: 'heartbeat', status: dependencies.getStatus(now)}, now));
	}

	return {
		open(streamId, record, nextOffset, now) {
			const stream: AttemptStream = {
				streamId, record, lastSentAt: now, lastTokensAt: noTokensSent, nextOffset,
			};
			addStream(stream);
			const accepted = send(stream, {kind: 'accepted', status: dependencies.getStatus(now)}, now);
			if (record.phase.kind !== 'ended') {
				return [accepted, ...sendTokens(stream, now)];
			}

			if (record.isAnswerDiscarded) {
				const result = {kind: 'failed', ran: 'yes', detail: 'the answer is no longer kept'} as const;
				return [accepted, ...endStream(stream, result, now)];
			}

			return [accepted, ...sendTokens(stream, now), ...endStream(stream, record.phase.result, now)];
		},
		refuse: sendEnd,
		sendNewTokens: (record, now) => sendDueTokens(getStreams(record.attempt.attemptId), now),
		end: (record, result, now) => getStreams(record.attempt.attemptId).flatMap(stream => [
			...sendTokens(stream, now),
			...endStream(stream, result, now),
		]),
		remove(streamId) {
			const stream = streams.get(streamId);
			if (stream === undefined) {
				return undefined;
			}

			removeStream(stream);
			const {attemptId} = stream.record.attempt;
			return streamsByAttempt.has(attemptId) ? undefined : attemptId;
		},
		handleTimePassed: now => [...sendDueTokens(streams.values(), now), ...sendHeartbeats(now)],
		getWakeAt() {
			let wakeAt = Number.POSITIVE_INFINITY;
			for (const stream of streams.values()) {
				const tokensAt = hasTokensToSend(stream) ? getNextTokensAt(stream) : Number.POSITIVE_INFINITY;
				wakeAt = Math.min(wakeAt, tokensAt, stream.lastSentAt + settings.heartbeatIntervalMs);
			}

			return wakeAt;
		},
	};
}
