/**
The state machine of an entry, the process that accepts requests and sends them to servers.

It takes each request from its arrival to exactly one final action. The driver passes in events and performs the actions
that are returned. This module does no I/O, reads no clock and uses only seeded random numbers, so that replaying a
recorded sequence of events yields the same actions.

@example
const entry = createEntry(settings, {configuration, random: createRandom(1), getHash, policy: defaultRoutingPolicy});
for (const action of entry.step({kind: 'requestArrived', request}, performance.now())) perform(action);
*/
import {createAdmissionControl} from './admission.js';
import {createClaimedRequest} from './claimed-request.js';
import type {Configuration, NamedOrganisation} from './configuration.js';
import type {
	AdmittedRequest, ArrivedRequest, EntryAction, EntryEvent, EntrySettings,
} from './entry-types.js';
import {createNotRunFailure, type ErrorKind, type Failure} from './errors.js';
import {createMembership, type Member} from './membership.js';
import type {Random} from './random.js';
import {createRetryableRequest} from './retryable-request.js';
import {
	isFinalAction, type RequestSession, type SessionEvent, type SessionHost,
} from './request-session.js';
import {createRetryBudget} from './retry-budget.js';
import {createRouter, type RoutingPolicy} from './routing.js';
import type {
	OrganisationName, RequestId, Route, RouteName, Timestamp, Work,
} from './types.js';

/** Services that an entry depends on. */
export type EntryHost = Readonly<{
	configuration: Configuration;
	random: Random;
	policy: RoutingPolicy;
	/** Returns a uniformly distributed 32-bit hash of a string. */
	getHash(text: string): number;
}>;

export type Entry = Readonly<{
	step(event: EntryEvent, now: Timestamp): readonly EntryAction[];
	/** Returns when the next `timePassed` event is due, or `undefined` if no timer is pending. */
	tryGetWakeAt(): Timestamp | undefined;
	getOpenRequestCount(): number;
	isDraining(): boolean;
	getMembers(): Iterable<Member>;
}>;

type OpenRequest = Readonly<{organisation: OrganisationName; session: RequestSession}>;

type Admitted = Readonly<{kind: 'admitted'; request: AdmittedRequest; route: Route}>;
type Refused = Readonly<{kind: 'refused'; failure: Failure}>;

/** Defaults for a data centre with a latency of a few milliseconds between hosts. */
export const defaultEntrySettings = {
	heartbeatTimeoutMs: 1500,
	reopenDelayMs: 250,
	maximumPermitAgeMs: 10_000,
	maximumRefusals: 4,
	answerReserveMs: 100,
	retryRatio: 0.1,
	// When a data centre is lost, dozens of an entry's prompts may need a retry at once. A burst of 10 did not cover them.
	retryBurst: 60,
} as const satisfies Omit<EntrySettings, 'entryName' | 'dataCentre'>;

const initialBackoffMs = 500;
const maximumBackoffMs = 8000;

function createRefusal(kind: ErrorKind, detail?: string): Refused {
	return {kind: 'refused', failure: createNotRunFailure(kind, detail)};
}

function getChargedTokens(work: Work): number {
	return work.kind === 'prompt' ? work.promptTokens + work.maximumTokens : 1;
}

function checkWork(route: Route, work: Work): Refused | undefined {
	if (route.kind !== work.kind) {
		return createRefusal('routeNotFound', `it serves ${route.kind === 'prompt' ? 'prompts' : 'service calls'}`);
	}

	if (work.kind === 'prompt' && route.kind === 'prompt' && work.promptTokens > route.maximumPromptTokens) {
		return createRefusal('promptTooLarge', `${work.promptTokens} tokens, the limit is ${route.maximumPromptTokens}`);
	}

	if (work.kind === 'service' && !work.isIdempotent && work.idempotencyKey === undefined) {
		return createRefusal('idempotencyKeyMissing');
	}

	return undefined;
}

/** Creates an entry with no open requests and no known servers. */
export function createEntry(settings: EntrySettings, host: EntryHost): Entry {
	const membership = createMembership({initialBackoffMs, maximumBackoffMs});
	const admission = createAdmissionControl();
	const requests = new Map<RequestId, OpenRequest>();
	const sessionHost: SessionHost = {
		settings,
		membership,
		router: createRouter({dataCentre: settings.dataCentre, policy: host.policy}, {membership, random: host.random, getHash: host.getHash}),
		retryBudget: createRetryBudget({ratio: settings.retryRatio, burst: settings.retryBurst}),
	};
	let isDraining = false;
	/** Lower bound of the wake times of all requests. If it is too low, the only cost is a scan that finds no request due. */
	let earliestWakeAt = Number.POSITIVE_INFINITY;

	function checkDeadlineReachable(request: AdmittedRequest, now: Timestamp): Refused | undefined {
		const members = membership.getAvailable(request.pool, now);
		if (members.length === 0) {
			return createRefusal('overloaded', 'no server of the pool is available');
		}

		let shortestWaitMs = Number.POSITIVE_INFINITY;
		for (const member of members) {
			shortestWaitMs = Math.min(shortestWaitMs, sessionHost.router.getPredictedWaitMs(member, request.work, now));
			if (request.work.kind === 'service' || now + shortestWaitMs <= request.deadlineAt) {
				return undefined;
			}
		}

		return {kind: 'refused', failure: createNotRunFailure('deadlineUnreachable', undefined, shortestWaitMs)};
	}

	function checkOrganisationLimits(namedOrganisation: NamedOrganisation, request: ArrivedRequest, now: Timestamp): Refused | undefined {
		const failure = admission.admit(namedOrganisation.name, namedOrganisation.organisation, getChargedTokens(request.work), now);
		return failure === undefined ? undefined : {kind: 'refused', failure};
	}

	function admit(arrived: ArrivedRequest, now: Timestamp): Admitted | Refused {
		if (host.configuration.getSequence() === 0) {
			return createRefusal('notReady');
		}

		const namedOrganisation = host.configuration.findOrganisationByKey(arrived.keySha256);
		if (namedOrganisation === undefined) {
			return createRefusal('unauthorised');
		}

		const route = host.configuration.tryGetRoute(arrived.route);
		if (route === undefined) {
			return createRefusal('routeNotFound', arrived.route);
		}

		const budgetMs = Math.min(arrived.deadlineMs ?? route.defaultDeadlineMs, route.maximumDeadlineMs);
		const request: AdmittedRequest = {
			requestId: arrived.requestId,
			organisation: namedOrganisation.name,
			pool: route.pool,
			work: arrived.work,
			deadlineAt: now - arrived.ageMs + budgetMs,
		};
		return checkWork(route, arrived.work)
			?? checkDeadlineReachable(request, now)
			?? checkOrganisationLimits(namedOrganisation, arrived, now)
			?? {kind: 'admitted', request, route};
	}

	/** Returns whether work may run more than once by its route in force; a route that is gone forbids nothing. */
	function mayRepeat(routeName: RouteName, work: Work): boolean {
		const route = host.configuration.tryGetRoute(routeName);
		return work.kind === 'prompt' || route?.kind !== 'service' || route.idempotentMethods.includes(work.method);
	}

	function createSession(request: AdmittedRequest, routeName: RouteName): RequestSession {
		const {work} = request;
		if (work.kind === 'prompt' || work.isIdempotent) {
			return createRetryableRequest(request, () => mayRepeat(routeName, work), sessionHost);
		}

		const key = `${request.organisation}/${routeName}/${work.idempotencyKey}`;
		return createClaimedRequest(request, {key, bodyHash: work.bodySha256}, sessionHost);
	}

	function stepRequest(requestId: RequestId, event: SessionEvent, now: Timestamp): readonly EntryAction[] {
		const open = requests.get(requestId);
		if (open === undefined) {
			return [];
		}

		const actions = open.session.step(event, now);
		if (actions.some(action => isFinalAction(action))) {
			requests.delete(requestId);
			admission.recordEnd(open.organisation);
		} else {
			earliestWakeAt = Math.min(earliestWakeAt, open.session.getWakeAt());
		}

		return actions;
	}

	function stepAllRequests(event: SessionEvent, now: Timestamp): readonly EntryAction[] {
		return [...requests.keys()].flatMap(requestId => stepRequest(requestId, event, now));
	}

	function startRequest(arrived: ArrivedRequest, now: Timestamp): readonly EntryAction[] {
		const decision = admit(arrived, now);
		if (decision.kind === 'refused') {
			return [{kind: 'failRequest', requestId: arrived.requestId, failure: decision.failure}];
		}

		const session = createSession(decision.request, arrived.route);
		requests.set(arrived.requestId, {organisation: decision.request.organisation, session});
		return stepRequest(arrived.requestId, {kind: 'started'}, now);
	}

	function stepDueRequests(now: Timestamp): readonly EntryAction[] {
		const due = [...requests].filter(([, open]) => open.session.getWakeAt() <= now);
		const actions = due.flatMap(([requestId]) => stepRequest(requestId, {kind: 'timePassed'}, now));
		earliestWakeAt = Number.POSITIVE_INFINITY;
		for (const {session} of requests.values()) {
			earliestWakeAt = Math.min(earliestWakeAt, session.getWakeAt());
		}

		return actions;
	}

	function applyEvent(event: EntryEvent, now: Timestamp): readonly EntryAction[] {
		switch (event.kind) {
			case 'requestArrived': {
				return startRequest(event.request, now);
			}

			case 'callerGone': {
				return stepRequest(event.requestId, {kind: 'callerGone'}, now);
			}

			case 'messageReceived': {
				if (event.message.kind !== 'tokens') {
					membership.applyStatus(event.message.status, now);
				}

				return stepRequest(event.requestId, {kind: 'messageReceived', streamId: event.streamId, message: event.message}, now);
			}

			case 'streamBroken': {
				return stepRequest(event.requestId, {kind: 'streamBroken', streamId: event.streamId, wasSent: event.wasSent}, now);
			}

			case 'statusReceived': {
				membership.applyStatus(event.status, now);
				return stepAllRequests({kind: 'serverProbed', server: event.status.server}, now);
			}

			case 'probeFailed': {
				membership.recordUnreachable(event.server, now);
				return stepAllRequests({kind: 'serverProbed', server: event.server}, now);
			}

			case 'claimKnown': {
				return stepRequest(event.requestId, {kind: 'claimKnown', claim: event.claim}, now);
			}

			case 'claimExpired': {
				return stepRequest(event.requestId, {kind: 'claimExpired'}, now);
			}

			case 'hostListRead': {
				membership.applyHostList(event.listings);
				admission.setEntryCount(event.entryCount);
				sessionHost.router.setEntryCount(event.entryCount);
				return [];
			}

			case 'drainStarted': {
				isDraining = true;
				return [];
			}

			case 'timePassed': {
				return stepDueRequests(now);
			}
		}
	}

	return {
		step: applyEvent,
		tryGetWakeAt: () => Number.isFinite(earliestWakeAt) ? earliestWakeAt : undefined,
		getOpenRequestCount: () => requests.size,
		isDraining: () => isDraining,
		getMembers: () => membership.getMembers(),
	};
}
