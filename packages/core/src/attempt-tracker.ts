/**
Follows one attempt over as many streams as it takes.

Liveness belongs to the attempt, not to the connection. After silence the stream is dropped and the agent is asked for
the attempt over a new connection, from the first offset that is missing. Only messages of the current stream count;
tokens that came before are cut off, and a gap makes the tracker ask again.
*/
import type {
	EntryAction, EntrySettings, StreamId, StreamMode,
} from './entry-types.js';
import type {
	Attempt, AttemptMessage, AttemptResult, RequestId, Server, Timestamp,
} from './types.js';

/** What a step of the tracker means for its request. */
export type TrackerOutcome
	= | Readonly<{kind: 'pending'}>
		| Readonly<{kind: 'tokens'; tokens: readonly string[]}>
		| Readonly<{kind: 'ended'; result: AttemptResult}>
	/** The attempt can't be found again. `wasSent` is false only if it never reached the agent. */
		| Readonly<{kind: 'lost'; wasSent: boolean}>;

export type TrackerStep = Readonly<{
	actions: readonly EntryAction[];
	outcome: TrackerOutcome;
}>;

export type TrackedAttempt = Readonly<{
	requestId: RequestId;
	attempt: Attempt;
	/** How often a stream is reopened in a row without a word from the agent. */
	maximumReopens: number;
	/** Returns the server as it is known now; a restarted agent may have another address. */
	getServer(): Server;
}>;

export type AttemptTracker = Readonly<{
	/** Opens the first stream. */
	start(mode: StreamMode, now: Timestamp): readonly EntryAction[];
	receive(streamId: StreamId, message: AttemptMessage, now: Timestamp): TrackerStep;
	breakStream(streamId: StreamId, wasSent: boolean, now: Timestamp): TrackerStep;
	checkTime(now: Timestamp): TrackerStep;
	/** Gives the attempt up and asks the agent to cancel it. */
	cancel(): readonly EntryAction[];
	getWakeAt(): Timestamp;
	/** Returns whether the attempt may have come to the agent; silence is no proof that it has not. */
	wasSent(): boolean;
}>;

const pending = {kind: 'pending'} as const satisfies TrackerOutcome;
const nothing = {actions: [], outcome: pending} as const satisfies TrackerStep;

/** Creates the tracker of one attempt. */
export function createAttemptTracker(settings: EntrySettings, tracked: TrackedAttempt): AttemptTracker {
	const {requestId, attempt} = tracked;
	let streamCount = 0;
	let streamId: StreamId | undefined;
	let lastHeardAt: Timestamp = 0;
	let reopenAt: Timestamp | undefined;
	let reopens = 0;
	let nextOffset = attempt.deliveredTokens.length;
	let hasHeard = false;
	let isKnownUnsent = false;

	function openStream(mode: StreamMode, now: Timestamp): EntryAction {
		streamCount += 1;
		streamId = `${attempt.attemptId}/${streamCount}`;
		lastHeardAt = now;
		reopenAt = undefined;
		return {
			kind: 'openStream', requestId, streamId, server: tracked.getServer(), attempt, mode, needsFreshConnection: streamCount > 1,
		};
	}

	function closeStream(): readonly EntryAction[] {
		if (streamId === undefined) {
			return [];
		}

		const closed = streamId;
		streamId = undefined;
		return [{kind: 'closeStream', streamId: closed}];
	}

	function retryStream(delayMs: number, now: Timestamp): TrackerStep {
		const actions = closeStream();
		if (reopens >= tracked.maximumReopens) {
			return {actions, outcome: {kind: 'lost', wasSent: true}};
		}

		reopens += 1;
		if (delayMs > 0) {
			reopenAt = now + delayMs;
			return {actions, outcome: pending};
		}

		return {actions: [...actions, openStream({kind: 'resume', nextOffset}, now)], outcome: pending};
	}

	function receiveTokens(offset: number, tokens: readonly string[], now: Timestamp): TrackerStep {
		if (offset > nextOffset) {
			return retryStream(0, now);
		}

		const fresh = tokens.slice(nextOffset - offset);
		if (fresh.length === 0) {
			return nothing;
		}

		nextOffset += fresh.length;
		return {actions: [], outcome: {kind: 'tokens', tokens: fresh}};
	}

	function receiveEnd(result: AttemptResult, now: Timestamp): TrackerStep {
		// A whole answer has no tokens that did not arrive.
		if (result.kind === 'completed' && result.tokenCount !== nextOffset) {
			return retryStream(settings.reopenDelayMs, now);
		}

		return {actions: closeStream(), outcome: {kind: 'ended', result}};
	}

	function receiveMessage(message: AttemptMessage, now: Timestamp): TrackerStep {
		switch (message.kind) {
			case 'accepted':
			case 'heartbeat': {
				return nothing;
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
			hasHeard = mode.kind === 'resume';
			return [openStream(mode, now)];
		},
		receive(messageStreamId, message, now) {
			if (messageStreamId !== streamId) {
				return nothing;
			}

			hasHeard = true;
			lastHeardAt = now;
			const step = receiveMessage(message, now);
			if (step.outcome.kind === 'tokens') {
				reopens = 0;
			}

			return step;
		},
		breakStream(brokenStreamId, wasSent, now) {
			if (brokenStreamId !== streamId) {
				return nothing;
			}

			streamId = undefined;
			isKnownUnsent = !wasSent && !hasHeard && streamCount === 1;
			if (isKnownUnsent) {
				return {actions: [], outcome: {kind: 'lost', wasSent: false}};
			}

			return retryStream(reopens === 0 ? 0 : settings.reopenDelayMs, now);
		},
		checkTime(now) {
			if (reopenAt !== undefined && now >= reopenAt) {
				return {actions: [openStream({kind: 'resume', nextOffset}, now)], outcome: pending};
			}

			if (streamId !== undefined && now >= lastHeardAt + settings.heartbeatTimeoutMs) {
				return retryStream(0, now);
			}

			return nothing;
		},
		cancel: () => [...closeStream(), {kind: 'cancelAttempt', server: tracked.getServer(), attemptId: attempt.attemptId}],
		getWakeAt() {
			if (reopenAt !== undefined) {
				return reopenAt;
			}

			return streamId === undefined ? Number.POSITIVE_INFINITY : lastHeardAt + settings.heartbeatTimeoutMs;
		},
		wasSent: () => streamCount > 0 && !isKnownUnsent,
	};
}
