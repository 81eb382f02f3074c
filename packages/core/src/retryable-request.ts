/**
A request that may run more than once: a prompt, or an idempotent service call.

The session tries one server after another until one answers or the deadline passes. Retries after a refusal are cheap
and limited by `maximumRefusals`; all other retries are charged to the entry's retry budget. A retried prompt resumes
after the tokens that have been delivered to the caller.
*/
import {createAttemptTracker, type AttemptTracker, type TrackerStep} from './attempt-tracker.js';
import type {AdmittedRequest, EntryAction} from './entry-types.js';
import {getErrorDefinition, notRunStatuses, type ErrorKind} from './errors.js';
import {
	createAttempt, createServerLookup, findPermit, isUsableAfterProbe, type RequestSession, type SessionEvent, type SessionHost,
} from './request-session.js';
import type {
	AttemptResult, Milliseconds, Ran, Server, ServerName, Timestamp,
} from './types.js';

type Phase
	= | Readonly<{kind: 'idle'}>
		| Readonly<{kind: 'probing'; server: Server}>
		| Readonly<{kind: 'attempting'; server: Server; tracker: AttemptTracker; attemptId: string}>
		| Readonly<{kind: 'ended'}>;

/** How often a silent or broken stream is reopened before the request is retried on another server. */
const maximumReopens = 1;

const defaultRetryAfterMs = 1000;

/** Returns the kind by which a failure is reported, whose status must not say that a request was not run which may have run. */
function getReportedKind(kind: ErrorKind, ran: Ran): ErrorKind {
	return ran === 'no' || !notRunStatuses.has(getErrorDefinition(kind).status) ? kind : 'serverLost';
}

/** Creates the session of an admitted request. `mayRepeat` tells whether the request may run more than once by the configuration in force. */
export function createRetryableRequest(request: AdmittedRequest, mayRepeat: () => boolean, host: SessionHost): RequestSession {
	const excluded = new Set<ServerName>();
	const deliveredTokens: string[] = [];
	let phase: Phase = {kind: 'idle'};
	let attemptCount = 0;
	let refusalCount = 0;
	let mayHaveRun = false;
	let hasRun = false;
	let retryAfterMs: Milliseconds | undefined;
	let failureDetail: string | undefined;

	function getRan(): Ran {
		if (hasRun) {
			return 'yes';
		}

		const isOutstanding = phase.kind === 'attempting' && phase.tracker.mayHaveBeenSent();
		return mayHaveRun || isOutstanding ? 'unknown' : 'no';
	}

	function endAttempt(): void {
		if (phase.kind === 'attempting') {
			host.router.recordEnd(phase.attemptId);
		}
	}

	function fail(kind: ErrorKind): readonly EntryAction[] {
		const ran = getRan();
		const cancelActions = phase.kind === 'attempting' ? phase.tracker.cancel() : [];
		endAttempt();
		phase = {kind: 'ended'};
		return [...cancelActions, {
			kind: 'failRequest',
			requestId: request.requestId,
			failure: {
				kind: getReportedKind(kind, ran), ran, detail: failureDetail, retryAfterMs,
			},
		}];
	}

	function startAttempt(server: Server, now: Timestamp): readonly EntryAction[] {
		if (getRan() !== 'no' && !mayRepeat()) {
			return fail('serverLost');
		}

		const lookup = findPermit(host, server, host.settings.maximumPermitAgeMs, now);
		if (lookup.kind === 'probing') {
			phase = {kind: 'probing', server};
			return [lookup.action];
		}

		attemptCount += 1;
		const attempt = createAttempt(request, attemptCount, lookup.permit, {deliveredTokens: [...deliveredTokens], now});
		const tracker = createAttemptTracker(host.settings, {
			requestId: request.requestId, getServer: createServerLookup(host, server), attempt, maximumReopens,
		});
		phase = {
			kind: 'attempting', server, tracker, attemptId: attempt.attemptId,
		};
		host.router.recordSent(attempt.attemptId, server.name, request.work, now);
		return tracker.start({kind: 'submit'}, now);
	}

	function startNextAttempt(errorKind: ErrorKind, now: Timestamp): readonly EntryAction[] {
		endAttempt();
		phase = {kind: 'idle'};
		const server = host.router.findServer(request.pool, request.work, excluded, now);
		if (server === undefined) {
			retryAfterMs ??= defaultRetryAfterMs;
			return fail(errorKind);
		}

		return startAttempt(server, now);
	}

	/** Retries the request on another server after its attempt failed, was cancelled or was lost, if the budget allows. */
	function retryOnAnotherServer(server: ServerName, kind: ErrorKind, now: Timestamp): readonly EntryAction[] {
		excluded.add(server);
		endAttempt();
		phase = {kind: 'idle'};
		return host.retryBudget.trySpend() ? startNextAttempt(kind, now) : fail(kind);
	}

	function handleRefusal(server: ServerName, result: Extract<AttemptResult, {kind: 'refused'}>, now: Timestamp): readonly EntryAction[] {
		refusalCount += 1;
		retryAfterMs = Math.min(retryAfterMs ?? Number.POSITIVE_INFINITY, Math.max(1, result.retryAfterMs));
		failureDetail = `the last server answered ${result.reason}`;
		excluded.add(server);
		if (refusalCount >= host.settings.maximumRefusals) {
			endAttempt();
			phase = {kind: 'idle'};
			return fail('overloaded');
		}

		return startNextAttempt('overloaded', now);
	}

	function handleResult(server: ServerName, result: AttemptResult, now: Timestamp): readonly EntryAction[] {
		const {requestId} = request;
		switch (result.kind) {
			case 'completed': {
				endAttempt();
				phase = {kind: 'ended'};
				const {finishReason, tokenCount} = result;
				return [{
					kind: 'completeRequest', requestId, summary: {
						server, finishReason, tokenCount, tries: attemptCount,
					},
				}];
			}

			case 'answered': {
				endAttempt();
				phase = {kind: 'ended'};
				return [{
					kind: 'answerRequest', requestId, answer: result.answer, server, isReplay: false,
				}];
			}

			case 'refused': {
				return handleRefusal(server, result, now);
			}

			case 'failed': {
				hasRun ||= result.ran === 'yes';
				mayHaveRun ||= result.ran === 'unknown';
				failureDetail = result.detail;
				return retryOnAnotherServer(server, 'serverFailed', now);
			}

			case 'cancelled': {
				hasRun ||= result.ran === 'yes';
				mayHaveRun ||= result.ran === 'unknown';
				failureDetail = 'the server cancelled the attempt';
				return retryOnAnotherServer(server, 'serverFailed', now);
			}
		}
	}

	function handleTrackerStep(step: TrackerStep, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'attempting') {
			return step.actions;
		}

		const {server} = phase;
		switch (step.outcome.kind) {
			case 'pending': {
				return step.actions;
			}

			case 'tokens': {
				hasRun = true;
				host.router.recordFirstToken(phase.attemptId);
				deliveredTokens.push(...step.outcome.tokens);
				return [...step.actions, {kind: 'deliverTokens', requestId: request.requestId, tokens: step.outcome.tokens}];
			}

			case 'ended': {
				return [...step.actions, ...handleResult(server.name, step.outcome.result, now)];
			}

			case 'lost': {
				host.membership.recordUnreachable(server.name, now);
				const cancelActions = step.outcome.wasSent ? phase.tracker.cancel() : [];
				mayHaveRun ||= step.outcome.wasSent;
				failureDetail = undefined;
				return [...step.actions, ...cancelActions, ...retryOnAnotherServer(server.name, 'serverLost', now)];
			}
		}
	}

	function handleProbe(server: ServerName, now: Timestamp): readonly EntryAction[] {
		if (phase.kind !== 'probing' || phase.server.name !== server) {
			return [];
		}

		if (!isUsableAfterProbe(host, server, now)) {
			excluded.add(server);
			return startNextAttempt('serverLost', now);
		}

		return startAttempt(phase.server, now);
	}

	function handleTimePassed(now: Timestamp): readonly EntryAction[] {
		if (now >= request.deadlineAt) {
			failureDetail = undefined;
			return fail('deadlineExceeded');
		}

		return phase.kind === 'attempting' ? handleTrackerStep(phase.tracker.checkTimeouts(now), now) : [];
	}

	function handleEvent(event: SessionEvent, now: Timestamp): readonly EntryAction[] {
		switch (event.kind) {
			case 'started': {
				host.retryBudget.recordFirstAttempt();
				return startNextAttempt('overloaded', now);
			}

			case 'messageReceived': {
				return phase.kind === 'attempting' ? handleTrackerStep(phase.tracker.receive(event.streamId, event.message, now), now) : [];
			}

			case 'streamBroken': {
				return phase.kind === 'attempting' ? handleTrackerStep(phase.tracker.handleStreamBroken(event.streamId, event.wasSent, now), now) : [];
			}

			case 'serverProbed': {
				return handleProbe(event.server, now);
			}

			case 'callerGone': {
				return fail('cancelled');
			}

			case 'timePassed': {
				return handleTimePassed(now);
			}

			case 'claimKnown':
			case 'claimExpired': {
				return [];
			}
		}
	}

	return {
		step: (event, now) => phase.kind === 'ended' ? [] : handleEvent(event, now),
		getWakeAt: () => Math.min(request.deadlineAt, phase.kind === 'attempting' ? phase.tracker.getWakeAt() : Number.POSITIVE_INFINITY),
	};
}
