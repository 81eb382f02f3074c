/**
Types and helpers that are common to all request sessions, and the interface through which the entry drives them.
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

/** State and services that all sessions of an entry share. */
export type SessionHost = Readonly<{
	settings: EntrySettings;
	membership: Membership;
	router: Router;
	retryBudget: RetryBudget;
}>;

/** An event of the entry, as it is passed to the session of one request. */
export type SessionEvent
	= | Readonly<{kind: 'started'}>
		| Readonly<{kind: 'messageReceived'; streamId: StreamId; message: AttemptMessage}>
		| Readonly<{kind: 'streamBroken'; streamId: StreamId; wasSent: boolean}>
		| Readonly<{kind: 'serverProbed'; server: string}>
		| Readonly<{kind: 'claimKnown'; claim: Claim | undefined}>
		| Readonly<{kind: 'claimExpired'}>
		| Readonly<{kind: 'callerGone'}>
		| Readonly<{kind: 'timePassed'}>;

/** The state machine of one admitted request. It ends with a `completeRequest`, `answerRequest` or `failRequest` action. */
export type RequestSession = Readonly<{
	step(event: SessionEvent, now: Timestamp): readonly EntryAction[];
	/** Returns when the next `timePassed` event is due. */
	getWakeAt(): Timestamp;
}>;

/** Returns the identifier of an attempt. It is unique across all entries, because request identifiers are. */
export function getAttemptId(request: AdmittedRequest, attemptNumber: number): AttemptId {
	return `${request.requestId}.${attemptNumber}`;
}

/** Creates an attempt of the request that carries the permit of the server's agent. */
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

/** Returns a function that looks up the server as currently listed, so that a changed address is used. */
export function createServerLookup(host: SessionHost, server: Server): () => Server {
	return () => host.membership.tryGetMember(server.name)?.server ?? server;
}

/** Returns whether a server may be given work after it was probed. */
export function isUsableAfterProbe(host: SessionHost, server: ServerName, now: Timestamp): boolean {
	const member = host.membership.tryGetMember(server);
	return member !== undefined && isAvailable(member, now) && member.status !== undefined;
}

/** Returns whether the action ends the request. */
export function isFinalAction(action: EntryAction): boolean {
	return action.kind === 'completeRequest' || action.kind === 'answerRequest' || action.kind === 'failRequest';
}

/** A permit that is recent enough, or the probe that requests a new one. */
export type PermitLookup
	= | Readonly<{kind: 'known'; permit: Permit}>
		| Readonly<{kind: 'probing'; action: EntryAction}>;

/** Returns the permit of the server's agent, or a probe if the known permit is missing or older than `maximumAgeMs`. */
export function findPermit(host: SessionHost, server: Server, maximumAgeMs: number, now: Timestamp): PermitLookup {
	const member = host.membership.tryGetMember(server.name);
	if (member?.status !== undefined && now - member.statusAt <= maximumAgeMs) {
		return {kind: 'known', permit: member.status.permit};
	}

	return {kind: 'probing', action: {kind: 'probeServer', server}};
}
