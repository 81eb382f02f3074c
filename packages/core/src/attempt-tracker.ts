/**
Tracks one attempt across the streams that are opened for it.

An attempt outlives its connections. When a stream times out, the tracker closes it and resumes the attempt over a new
connection from the first missing token. Messages of earlier streams are ignored, tokens that were already received are
dropped, and a gap in the token offsets makes the tracker resume again.
*/
import type {
	EntryAction, EntrySettings, StreamId, StreamMode,
} from './entry-types.js';
import type {
	Attempt, AttemptMessage, AttemptResult, RequestId, Server, Timestamp,
} from './types.js';

/** The effect of a tracker step on the request. */
export type TrackerOutcome
	= | Readonly<{kind: 'pending'}>
		| Readonly<{kind: 'tokens'; tokens: readonly string[]}>
		| Readonly<{kind: 'ended'; result: AttemptResult}>
	/** The stream broke or timed out, and is not reopened. `wasSent` is false only if the attempt certainly never reached the agent. */
		| Readonly<{kind: 'lost'; wasSent: boolean}>;

export type TrackerStep = Readonly<{
	actions: readonly EntryAction[];
	outcome: TrackerOutcome;
}>;

export type TrackedAttempt = Readonly<{
	requestId: RequestId;
	attempt: Attempt;
	/** Maximum number of times in a row that the stream is reopened without receiving new tokens. */
	maximumReopens: number;
	/** Returns the server as currently known; the address of a restarted agent may differ. */
	getServer(): Server;
}>;

export type AttemptTracker = Readonly<{
	/** Opens the first stream. */
	start(mode: StreamMode, now: Timestamp): readonly EntryAction[];
	receive(streamId: StreamId, message: AttemptMessage, now: Timestamp): TrackerStep;
	/** Handles a stream that ended without an end message: reopens it, or reports the attempt as lost. */
	handleStreamBroken(streamId: StreamId, wasSent: boolean, now: Timestamp): TrackerStep;
	/** Reopens the stream if its heartbeat timed out or a delayed reopen is due. */
	checkTimeouts(now: Timestamp): TrackerStep;
	/** Closes the stream and asks the agent to cancel the attempt. */
	cancel(): readonly EntryAction[];
	/** Returns when `checkTimeouts` is due next. */
	getWakeAt(): Timestamp;
	/** Returns whether the attempt may have reached the agent; a missing reply doesn't prove that it has not. */
	mayHaveBeenSent(): boolean;
}>;

const pending = {kind: 'pending'} as const satisfies TrackerOutcome;
const noChange = {actions: [], outcome: pending} as const satisfies TrackerStep;

/** Creates a tracker for one attempt. */
export function createAttemptTracker(settings: EntrySettings, tracked: TrackedAttempt): AttemptTracker {
	const {requestId, attempt} = tracked;
	let streamCount = 0;
	let streamId: StreamId | undefined;
	let lastActivityAt: Timestamp = 0;
	let reopenAt: Timestamp | undefined;
	let reopenCount = 0;
	let nextOffset = attempt.deliveredTokens.length;
	let hasReceivedMessage = false;
	let isKnownNotSent = false;

	function openStream(mode: StreamMode, now: Timestamp): EntryAction {
		streamCount += 1;
		streamId = `${attempt.attemptId}/${streamCount}`;
		lastActivityAt = now;
		reopenAt = undefined;
		return {
			kind: 'openStream', requestId, streamId, server: tracked.getServer(), attempt, mode, needsFreshConnection: streamCount > 1,
		};
	}

	function closeStream(): readonly EntryAction[] {
		if (streamId === undefined) {
			return [];
		}

		const closedStreamId = streamId;
		streamId = undefined;
		return [{kind: 'closeStream', streamId: closedStreamId}];
	}

	/** Closes the stream and resumes the attempt on a new one after the delay; the attempt is lost after too many reopens. */
	function reopenStream(delayMs: number, now: Timestamp): TrackerStep {
		const actions = closeStream();
		if (reopenCount >= tracked.maximumReopens) {
			return {actions, outcome: {kind: 'lost', wasSent: true}};
		}

		reopenCount += 1;
		if (delayMs > 0) {
			reopenAt = now + delayMs;
			return {actions, outcome: pending};
		}

		return {actions: [...actions, openStream({kind: 'resume', nextOffset}, now)], outcome: pending};
	}

	function receiveTokens(offset: number, tokens: readonly string[], now: Timestamp): TrackerStep {
		if (offset > nextOffset) {
			return reopenStream(0, now);
		}

		const newTokens = tokens.slice(nextOffset - offset);
		if (newTokens.length === 0) {
			return noChange;
		}

		nextOffset += newTokens.length;
		return {actions: [], outcome: {kind: 'tokens', tokens: newTokens}};
	}

	function receiveEnd(result: AttemptResult, now: Timestamp): TrackerStep {
		// If the answer is complete but tokens are missing here, resume the attempt to receive them.
		if (result.kind === 'completed' && result.tokenCount !== nextOffset) {
			return reopenStream(settings.reopenDelayMs, now);
		}

		return {actions: closeStream(), outcome: {kind: 'ended', result}};
	}

	function receiveMessage(message: AttemptMessage, now: Timestamp): TrackerStep {
		switch (message.kind) {
			case 'accepted':
			case 'heartbeat': {
				return noChange;
			}

			case 'tokens': {
				return receiveTokens(message.offset, message.tokens, now);
			}

			case 'ended': {
				return receiveEnd(message.result, now);
			}
		}
	}

	return {
		start(mode, now) {
			// A resumed attempt may have been sent earlier, so a broken first stream doesn't prove that it was never sent.
			hasReceivedMessage = mode.kind === 'resume';
			return [openStream(mode, now)];
		},
		receive(messageStreamId, message, now) {
			if (messageStreamId !== streamId) {
				return noChange;
			}

			hasReceivedMessage = true;
			lastActivityAt = now;
			const step = receiveMessage(message, now);
			if (step.outcome.kind === 'tokens') {
				reopenCount = 0;
			}

			return step;
		},
		handleStreamBroken(brokenStreamId, wasSent, now) {
			if (brokenStreamId !== streamId) {
				return noChange;
			}

			streamId = undefined;
			isKnownNotSent = !wasSent && !hasReceivedMessage && streamCount === 1;
			if (isKnownNotSent) {
				return {actions: [], outcome: {kind: 'lost', wasSent: false}};
			}

			return reopenStream(reopenCount === 0 ? 0 : settings.reopenDelayMs, now);
		},
		checkTimeouts(now) {
			if (reopenAt !== undefined && now >= reopenAt) {
				return {actions: [openStream({kind: 'resume', nextOffset}, now)], outcome: pending};
			}

			if (streamId !== undefined && now >= lastActivityAt + settings.heartbeatTimeoutMs) {
				return reopenStream(0, now);
			}

			return noChange;
		},
		cancel: () => [...closeStream(), {kind: 'cancelAttempt', server: tracked.getServer(), attemptId: attempt.attemptId}],
		getWakeAt() {
			if (reopenAt !== undefined) {
				return reopenAt;
			}

			return streamId === undefined ? Number.POSITIVE_INFINITY : lastActivityAt + settings.heartbeatTimeoutMs;
		},
		mayHaveBeenSent: () => streamCount > 0 && !isKnownNotSent,
	};
}
