/**
What the sessions of requests share: their surroundings, and the interface through which the entry drives them.
*/
import type {Claim} from './claims.js';
import type {
	AdmittedRequest, EntryAction, EntrySettings, StreamId,
} from './entry-types.js';
import {isAvailable, type Membership} from './membership.js';
import type {RetryBudget} from './retry-budget.js';
import type {Router} from './routing.js';
import type {
	Attempt, AttemptId, AttemptMessage, Permit, Server, ServerName, Timestamp,
} from './types.js';

/** What a session shares with the other sessions of its entry. */
export type SessionHost = Readonly<{
	settings: EntrySettings;
	membership: Membership;
	router: Router;
	retryBudget: RetryBudget;
}>;

export type SessionEvent
	= | Readonly<{kind: 'started'}>
		| Readonly<{kind: 'messageReceived'; streamId: StreamId; message: AttemptMessage}>
		| Readonly<{kind: 'streamBroken'; streamId: StreamId; wasSent: boolean}>
		| Readonly<{kind: 'serverProbed'; server: string}>
		| Readonly<{kind: 'claimKnown'; claim: Claim | undefined}>
		| Readonly<{kind: 'claimExpired'}>
		| Readonly<{kind: 'callerGone'}>
		| Readonly<{kind: 'timePassed'}>;

/** One request on its way. It has ended once it gave a `completeRequest`, `answerRequest` or `failRequest`. */
export type RequestSession = Readonly<{
	step(event: SessionEvent, now: Timestamp): readonly EntryAction[];
	getWakeAt(): Timestamp;
}>;

/** Returns the identity of a try, unique over all entries since request ids are. */
export function getAttemptId(request: AdmittedRequest, attemptNumber: number): AttemptId {
	return `${request.requestId}.${attemptNumber}`;
}

/** Creates an attempt of the request for a server whose permit is known. */
export function createAttempt(
	request: AdmittedRequest,
	attemptNumber: number,
	permit: Permit,
	options: Readonly<{deliveredTokens: readonly string[]; now: Timestamp}>,
): Attempt {
	return {
		attemptId: getAttemptId(request, attemptNumber),
		organisation: request.organisation,
		work: request.work,
		permit,
		remainingMs: Math.max(0, request.deadlineAt - options.now),
		deliveredTokens: options.deliveredTokens,
	};
}

/** Returns a function that gives the server as the membership knows it, also after a change of its address. */
export function createServerLookup(host: SessionHost, server: Server): () => Server {
	return () => host.membership.tryGetMember(server.name)?.server ?? server;
}

/** Returns whether a server that was asked for its status may get the work now. */
export function isUsableAfterProbe(host: SessionHost, server: ServerName, now: Timestamp): boolean {
	const member = host.membership.tryGetMember(server);
	return member !== undefined && isAvailable(member, now) && member.status !== undefined;
}

/** Returns whether the action ends its request. */
export function isFinalAction(action: EntryAction): boolean {
	return action.kind === 'completeRequest' || action.kind === 'answerRequest' || action.kind === 'failRequest';
}

/** A server whose agent was heard lately enough for the purpose, or the question to ask it first. */
export type PermitLookup
	= | Readonly<{kind: 'known'; permit: Permit}>
		| Readonly<{kind: 'probing'; action: EntryAction}>;

/** Returns the permit of the server's agent, or the probe that brings one. */
export function findPermit(host: SessionHost, server: Server, maximumAgeMs: number, now: Timestamp): PermitLookup {
	const member = host.membership.tryGetMember(server.name);
	if (member?.status !== undefined && now - member.statusAt <= maximumAgeMs) {
		return {kind: 'known', permit: member.status.permit};
	}

	return {kind: 'probing', action: {kind: 'probeServer', server}};
}
