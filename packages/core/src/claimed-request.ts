/**
A service call that must run at most once.

The idempotency key is claimed in the replicated log before anything is sent. A session that finds an existing claim asks
the agent named in the claim for the attempt. If the agent knows the attempt, its result is the result of the call. If it
does not, it voids the attempt, and only then may the claim move to another attempt. If the agent has restarted or may
have forgotten the attempt, it can't be determined whether the call ran, and the outcome is permanently recorded as unknown.
*/
import {createAttemptTracker, type AttemptTracker, type TrackerStep} from './attempt-tracker.js';
import type {
	Claim, ClaimHolder, ClaimOutcome, ClaimRecord,
} from './claims.js';
import type {AdmittedRequest, EntryAction} from './entry-types.js';
import type {ErrorKind} from './errors.js';
import {
	createAttempt, createServerLookup, findPermit, getAttemptId, isUsableAfterProbe, type RequestSession, type SessionEvent, type SessionHost,
} from './request-session.js';
import type {
	AttemptId, AttemptResult, Permit, Ran, Server, ServerName, ServiceAnswer, Timestamp,
} from './types.js';

/** The key of a claim, and the hash of the call that uses it. */
export type ClaimKey = Readonly<{key: string; bodyHash: string}>;

type Candidate = Readonly<{server: Server; permit: Permit; attemptId: AttemptId}>;

type Phase
	= | Readonly<{kind: 'idle'}>
		| Readonly<{kind: 'probing'; server: Server; fromAttemptId: AttemptId | undefined}>
		| Readonly<{kind: 'claiming'; candidate: Candidate}>
		| Readonly<{kind: 'attempting'; server: Server; attemptId: AttemptId; tracker: AttemptTracker}>
	/** Asks the agent of the attempt that holds an existing claim for the state of that attempt. */
		| Readonly<{kind: 'asking'; server: Server; attemptId: AttemptId; tracker: AttemptTracker}>
		| Readonly<{kind: 'ended'}>;

/** Retry delay that is returned while a claim or its outcome is pending. */
const pendingRetryAfterMs = 2000;

/** Creates the session of an admitted call with an idempotency key. */
export function createClaimedRequest(request: AdmittedRequest, claimKey: ClaimKey, host: SessionHost): RequestSession {
	const {requestId} = request;
	const excluded = new Set<ServerName>();
	let phase: Phase = {kind: 'idle'};
	let attemptCount = 0;
	let failureDetail: string | undefined;

	function fail(kind: ErrorKind, ran: Ran, retryAfterMs?: number): readonly EntryAction[] {
		phase = {kind: 'ended'};
		return [{
			kind: 'failRequest', requestId, failure: {
				kind, ran, detail: failureDetail, retryAfterMs,
			},
		}];
	}

	function answer(server: ServerName, serviceAnswer: ServiceAnswer, isReplay: boolean): readonly EntryAction[] {
		phase = {kind: 'ended'};
		return [{
			kind: 'answerRequest', requestId, answer: serviceAnswer, server, isReplay,
		}];
	}

	function recordOutcome(attemptId: AttemptId, outcome: ClaimOutcome): EntryAction {
		return {
			kind: 'recordOutcome', record: {
				kind: 'ended', key: claimKey.key, attemptId, outcome,
			},
		};
	}

	function createClaimRecord(holder: ClaimHolder, fromAttemptId: AttemptId | undefined): ClaimRecord {
		const {key, bodyHash} = claimKey;
		return fromAttemptId === undefined
			? {
				kind: 'claimed', key, bodyHash, holder,
			}
			: {
				kind: 'moved', key, fromAttemptId, holder,
			};
	}

	function submitClaim(server: Server, fromAttemptId: AttemptId | undefined, now: Timestamp): readonly EntryAction[] {
		const lookup = findPermit(host, server, host.settings.maximumPermitAgeMs, now);
		if (lookup.kind === 'probing') {
			phase = {kind: 'probing', server, fromAttemptId};
			return [lookup.action];
		}

		const budgetMs = request.deadlineAt - now - host.settings.answerReserveMs;
		if (budgetMs <= 0) {
			return fail('deadlineExceeded', 'no');
		}

		attemptCount += 1;
		const {permit} = lookup;
		const attemptId = getAttemptId(request, attemptCount);
		phase = {kind: 'claiming', candidate: {server, permit, attemptId}};
		const holder = {attemptId, server: server.name, permit};
		return [{
			kind: 'submitClaim', requestId, record: createClaimRecord(holder, fromAttemptId), budgetMs,
		}];
	}

	function submitClaimForNextServer(fromAttemptId: AttemptId | undefined, now: Timestamp): readonly EntryAction[] {
		phase = {kind: 'idle'};
		const server = host.router.findServer(request.pool, request.work, excluded, now);
		return server === undefined ? fail('overloaded', 'no') : submitClaim(server, fromAttemptId, now);
	}

	function startAttempt(candidate: Candidate, now: Timestamp): readonly EntryAction[] {
		const {server, permit, attemptId} = candidate;
		const attempt = createAttempt(request, attemptCount, permit, {deliveredTokens: [], now});
		const tracker = createAttemptTracker(host.settings, {
			requestId, getServer: createServerLookup(host, server), attempt, maximumReopens: Number.POSITIVE_INFINITY,
		});
		phase = {
			kind: 'attempting', server, attemptId, tracker,
		};
		host.router.recordSent(attemptId, server.name, request.work, now);
		return tracker.start({kind: 'submit'}, now);
	}

	function askHolder(holder: ClaimHolder, now: Timestamp): readonly EntryAction[] {
		const member = host.membership.tryGetMember(holder.server);
		if (member === undefined) {
			failureDetail = 'the server that held the call has left';
			return fail('outcomeUnknown', 'unknown');
		}

		const {server} = member;
		const {permit} = holder;
		const attempt = {...createAttempt(request, attemptCount, permit, {deliveredTokens: [], now}), attemptId: holder.attemptId};
		const tracker = createAttemptTracker(host.settings, {
			requestId, getServer: createServerLookup(host, server), attempt, maximumReopens: Number.POSITIVE_INFINITY,
		});
		phase = {
			kind: 'asking', server, attemptId: holder.attemptId, tracker,
		};
		return tracker.start({kind: 'resume', nextOffset: 0}, now);
	}

	function handleOutcome(claim: Claim, outcome: ClaimOutcome): readonly EntryAction[] {
		switch (outcome.kind) {
			case 'answered': {
				return answer(claim.holder.server, outcome.answer, true);
			}

			case 'unknown': {
				return fail('outcomeUnknown', 'unknown');
			}
		}
	}

	function handleClaim(claim: Claim | undefined, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'claiming') {
			return [];
		}

		if (claim === undefined) {
			failureDetail = 'the claim is gone';
			return fail('internal', 'no');
		}

		if (claim.bodyHash !== claimKey.bodyHash) {
			return fail('idempotencyKeyReused', 'no');
		}

		if (claim.outcome !== undefined) {
			return handleOutcome(claim, claim.outcome);
		}

		const {candidate} = phase;
		return claim.holder.attemptId === candidate.attemptId ? startAttempt(candidate, now) : askHolder(claim.holder, now);
	}

	/** Moves the claim to a new attempt, unless too many attempts were made. The previous attempt did not run and never will. */
	function moveClaim(server: ServerName, attemptId: AttemptId, now: Timestamp): readonly EntryAction[] {
		if (phase.kind === 'attempting') {
			excluded.add(server);
		}

		if (attemptCount >= host.settings.maximumRefusals) {
			return fail('overloaded', 'no');
		}

		return submitClaimForNextServer(attemptId, now);
	}

	function failWithUnknownOutcome(attemptId: AttemptId, detail: string): readonly EntryAction[] {
		failureDetail = detail;
		return [recordOutcome(attemptId, {kind: 'unknown'}), ...fail('outcomeUnknown', 'unknown')];
	}

	function handleResult(server: ServerName, attemptId: AttemptId, result: AttemptResult, now: Timestamp): readonly EntryAction[] {
		switch (result.kind) {
			case 'answered': {
				const isReplay = phase.kind === 'asking';
				return [recordOutcome(attemptId, {kind: 'answered', answer: result.answer}), ...answer(server, result.answer, isReplay)];
			}

			case 'refused': {
				failureDetail = `the server answered ${result.reason}`;
				return moveClaim(server, attemptId, now);
			}

			case 'failed': {
				failureDetail = result.detail;
				return result.ran === 'no' ? moveClaim(server, attemptId, now) : failWithUnknownOutcome(attemptId, result.detail);
			}

			case 'cancelled': {
				return result.ran === 'no' ? moveClaim(server, attemptId, now) : failWithUnknownOutcome(attemptId, 'the call was cancelled');
			}

			case 'completed': {
				return failWithUnknownOutcome(attemptId, 'the server answered as for a prompt');
			}
		}
	}

	function handleTrackerStep(step: TrackerStep, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'attempting' && phase.kind !== 'asking') {
			return step.actions;
		}

		const {server, attemptId, kind} = phase;
		switch (step.outcome.kind) {
			case 'pending':
			case 'tokens': {
				return step.actions;
			}

			case 'ended': {
				host.router.recordEnd(attemptId);
				return [...step.actions, ...handleResult(server.name, attemptId, step.outcome.result, now)];
			}

			case 'lost': {
				host.router.recordEnd(attemptId);
				host.membership.recordUnreachable(server.name, now);
				failureDetail = undefined;
				const isNotRun = kind === 'attempting' && !step.outcome.wasSent;
				return [...step.actions, ...(isNotRun ? moveClaim(server.name, attemptId, now) : fail('outcomeUnknown', 'unknown'))];
			}
		}
	}

	function handleProbe(server: ServerName, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'probing' || phase.server.name !== server) {
			return [];
		}

		if (!isUsableAfterProbe(host, server, now)) {
			excluded.add(server);
			return submitClaimForNextServer(phase.fromAttemptId, now);
		}

		return submitClaim(phase.server, phase.fromAttemptId, now);
	}

	/** Fails the request at its deadline, and reports whether its call may have run. */
	function handleDeadline(): readonly EntryAction[] {
		switch (phase.kind) {
			case 'attempting':
			case 'asking': {
				host.router.recordEnd(phase.attemptId);
				const isSent = phase.kind === 'asking' || phase.tracker.mayHaveBeenSent();
				return fail('outcomePending', isSent ? 'unknown' : 'no', pendingRetryAfterMs);
			}

			case 'idle':
			case 'probing':
			case 'claiming': {
				return fail('deadlineExceeded', 'no');
			}

			case 'ended': {
				return [];
			}
		}
	}

	function handleTimePassed(now: Timestamp): readonly EntryAction[] {
		if (now >= request.deadlineAt) {
			return handleDeadline();
		}

		return phase.kind === 'attempting' || phase.kind === 'asking' ? handleTrackerStep(phase.tracker.checkTimeouts(now), now) : [];
	}

	function handleStreamEvent(event: Extract<SessionEvent, {kind: 'messageReceived' | 'streamBroken'}>, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'attempting' && phase.kind !== 'asking') {
			return [];
		}

		const step = event.kind === 'messageReceived'
			? phase.tracker.receive(event.streamId, event.message, now)
			: phase.tracker.handleStreamBroken(event.streamId, event.wasSent, now);
		return handleTrackerStep(step, now);
	}

	function handleEvent(event: SessionEvent, now: Timestamp): readonly EntryAction[] {
		switch (event.kind) {
			case 'started': {
				return submitClaimForNextServer(undefined, now);
			}

			case 'messageReceived':
			case 'streamBroken': {
				return handleStreamEvent(event, now);
			}

			case 'serverProbed': {
				return handleProbe(event.server, now);
			}

			case 'claimKnown': {
				return handleClaim(event.claim, now);
			}

			case 'claimExpired': {
				return phase.kind === 'claiming' ? fail('platformUnavailable', 'no', pendingRetryAfterMs) : [];
			}

			// The call continues after its caller has disconnected, so that a repeated call finds its outcome.
			case 'callerGone': {
				return [];
			}

			case 'timePassed': {
				return handleTimePassed(now);
			}
		}
	}

	function getTrackerWakeAt(): Timestamp {
		return phase.kind === 'attempting' || phase.kind === 'asking' ? phase.tracker.getWakeAt() : Number.POSITIVE_INFINITY;
	}

	return {
		step: (event, now) => phase.kind === 'ended' ? [] : handleEvent(event, now),
		getWakeAt: () => phase.kind === 'ended' ? Number.POSITIVE_INFINITY : Math.min(request.deadlineAt, getTrackerWakeAt()),
	};
}
