/**
The endpoints that may receive requests: those that the platform lists as ready and that haven't failed recently.

An endpoint that is draining or no longer listed receives no new requests. After an outage of the list, missing endpoints
are kept for a short time, since entries may expire during the outage and return after it. The list may also go back to an earlier
state: an endpoint that drains is then not taken for ready, and one that was removed is not used until its entry, which expires if
the endpoint has ended, has outlived that time.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {EndpointId, ListedEndpoint} from './gateway-types.js';

export type EndpointRegistrySettings = Readonly<{
	/** Time for which missing endpoints are kept after an outage of the list. */
	listOutageGraceMs: Milliseconds;
	/** Time for which an endpoint is avoided after a failure; doubles with each consecutive failure. */
	failureBackoffMs: Milliseconds;
	maximumFailureBackoffMs: Milliseconds;
	/** Time for which an endpoint that does not accept connections is avoided. */
	unreachableBackoffMs: Milliseconds;
	/** Time after the list went back to an earlier state until the entries of ended endpoints have expired. */
	restoredEntryHoldMs: Milliseconds;
}>;

export const defaultEndpointRegistrySettings = {
	// The platform guarantees that expired entries return within about two seconds.
	listOutageGraceMs: 2500,
	// About the duration of a short request, so that a single failure hardly reduces an endpoint's use.
	failureBackoffMs: 400,
	// Bounds the time for which a recovered endpoint stays unused.
	maximumFailureBackoffMs: 4000,
	// Shorter than the time after which a server that ended is back or its entry has expired, as it may be back sooner.
	unreachableBackoffMs: 1000,
	// Entries expire three heartbeats of 1.2 s after the last one.
	restoredEntryHoldMs: 4500,
} as const satisfies EndpointRegistrySettings;

/** A change of an endpoint's listing, for the log. */
export type EndpointChange = Readonly<{kind: 'added' | 'draining' | 'removed'; id: EndpointId; address: string}>;

export type EndpointRegistry = Readonly<{
	/** Applies a complete list and returns the changes. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): readonly EndpointChange[];
	/** Records that reading the list failed. */
	recordListFailure(): void;
	/** Records that the list has gone back to an earlier state. */
	recordRestore(now: Timestamp): void;
	/** Returns the ready endpoints of a service that aren't avoided after a failure. */
	getAvailable(service: string, now: Timestamp): readonly ListedEndpoint[];
	/** Returns all ready endpoints of a service, including those avoided after a failure. */
	getListed(service: string, now: Timestamp): readonly ListedEndpoint[];
	findByAddress(address: string): ListedEndpoint | undefined;
	/** Returns the service of an endpoint, or `undefined` if it isn't listed. */
	tryGetService(id: EndpointId): string | undefined;
	recordFailure(id: EndpointId, now: Timestamp): void;
	/** Records that the endpoint could not be reached. Returns whether this is news. */
	recordUnreachable(id: EndpointId, now: Timestamp): boolean;
	recordSuccess(id: EndpointId): void;
	/** Records that the endpoint sent a part of the response to a request. */
	recordProgress(id: EndpointId, sentRequest: SentRequest, now: Timestamp): void;
	/** Records that the endpoint answered a probe. */
	recordProbeResponse(id: EndpointId, now: Timestamp): void;
	/** Returns whether the endpoint has sent anything since the given time. */
	hasRespondedSince(id: EndpointId, since: Timestamp): boolean;
	/**
	Returns whether the endpoint has begun to answer a request that was sent after `since` and whose prompt is at least as
	long as that of `sentRequest`. A busy endpoint answers older requests first, so the overtaken request is probably lost.
	*/
	isOvertaken(id: EndpointId, sentRequest: SentRequest, since: Timestamp): boolean;
	/** Records that another endpoint seems to respond at this endpoint's address, which pauses it as a failure does. */
	recordMisdirected(id: EndpointId, now: Timestamp): void;
	/** Records that the endpoint wants no requests from this gateway for some time. */
	recordRest(id: EndpointId, restMs: Milliseconds, now: Timestamp): void;
	/** Returns for how long the endpoint wants no requests from this gateway. */
	getRestMs(id: EndpointId, now: Timestamp): Milliseconds;
	/**
	Records that the endpoint says it is leaving, as `draining` for good, and returns the change. Does nothing if another process
	than the one that started at `startedAt` is listed under the id.
	*/
	recordLeaving(id: EndpointId, startedAt: number): EndpointChange | undefined;
	/** Returns the listed endpoints that have said so. */
	getLeaving(): readonly ListedEndpoint[];
	hasList(): boolean;
}>;

/** A request that was sent. `promptTokens` is `undefined` if its response also depends on other endpoints. */
export type SentRequest = Readonly<{sentAt: Timestamp; promptTokens: TokenCount | undefined}>;

type KnownEndpoint = {
	listed: ListedEndpoint;
	consecutiveFailures: number;
	avoidedUntil: Timestamp;
	/** Until then another endpoint seems to respond at its address. */
	misdirectedUntil: Timestamp;
	/** Until then the endpoint wants no requests from this gateway. */
	restsUntil: Timestamp;
	lastResponseAt: Timestamp;
	/** Requests whose response has begun, except those that were sent no later than another one whose prompt is at least as long. */
	answeredRequests: readonly SentRequest[];
};

/** An endpoint that is no longer listed. */
type RemovedEndpoint = Pick<ListedEndpoint, 'startedAt' | 'address' | 'state'>;

/** Number of removed endpoints that are remembered; more than a fleet replaces within a restore. */
const maximumRemovedEndpoints = 20_000;

/** Longest time for which an endpoint is left alone because it asks for it. */
const maximumRestMs: Milliseconds = 600_000;

/** Minimum time between a request's last progress and the send of another request that can overtake it; about two passes. */
const minimumOvertakeMs: Milliseconds = 200;

function isSameProcess(left: RemovedEndpoint, right: RemovedEndpoint): boolean {
	return left.startedAt === right.startedAt && left.address === right.address;
}

/** Adds a request and removes those that were sent no later and whose prompts are no longer. */
function addAnsweredRequest(answeredRequests: readonly SentRequest[], sentRequest: SentRequest): readonly SentRequest[] {
	const {sentAt, promptTokens} = sentRequest;
	if (promptTokens === undefined) {
		return answeredRequests;
	}

	const isCovered = answeredRequests.some(other => other.sentAt >= sentAt && (other.promptTokens ?? 0) >= promptTokens);
	return isCovered ? answeredRequests : [...answeredRequests.filter(other => other.sentAt > sentAt || (other.promptTokens ?? 0) > promptTokens), sentRequest];
}

/** Creates a registry without endpoints. */
export function createEndpointRegistry(settings: EndpointRegistrySettings): EndpointRegistry {
	const endpointsById = new Map<EndpointId, KnownEndpoint>();
	const removedEndpoints = createBoundedCache<EndpointId, RemovedEndpoint>(maximumRemovedEndpoints);
	/** Start of the process of each endpoint that has said it is leaving, also of those that are not listed yet. */
	const leavingProcesses = createBoundedCache<EndpointId, number>(maximumRemovedEndpoints);
	let restoredEntriesHeldUntil = Number.NEGATIVE_INFINITY;
	let hasReadList = false;
	let isOutage = false;
	let graceEndsAt = Number.NEGATIVE_INFINITY;

	/** Returns the endpoint, as draining if it has drained in an earlier list or said that it is leaving. */
	function keepDraining(listed: ListedEndpoint): ListedEndpoint {
		const earlier = endpointsById.get(listed.id)?.listed ?? removedEndpoints.get(listed.id);
		const isDraining = (earlier?.state === 'draining' && isSameProcess(earlier, listed)) || leavingProcesses.get(listed.id) === listed.startedAt;
		return isDraining ? {...listed, state: 'draining'} : listed;
	}

	/** Returns whether an endpoint that was removed may be listed only because the list has gone back to an earlier state. */
	function isHeld(listed: ListedEndpoint, now: Timestamp): boolean {
		const removed = removedEndpoints.get(listed.id);
		return removed !== undefined && now < restoredEntriesHeldUntil && isSameProcess(removed, listed) && !endpointsById.has(listed.id);
	}

	function applyListed(listed: ListedEndpoint): EndpointChange | undefined {
		const knownEndpoint = endpointsById.get(listed.id);
		if (knownEndpoint?.listed.startedAt !== listed.startedAt || knownEndpoint.listed.address !== listed.address) {
			endpointsById.set(listed.id, {
				listed,
				consecutiveFailures: 0,
				avoidedUntil: Number.NEGATIVE_INFINITY,
				misdirectedUntil: Number.NEGATIVE_INFINITY,
				restsUntil: Number.NEGATIVE_INFINITY,
				lastResponseAt: Number.NEGATIVE_INFINITY,
				answeredRequests: [],
			});
			return {kind: listed.state === 'ready' ? 'added' : 'draining', id: listed.id, address: listed.address};
		}

		const hasStartedDraining = knownEndpoint.listed.state === 'ready' && listed.state === 'draining';
		knownEndpoint.listed = listed;
		return hasStartedDraining ? {kind: 'draining', id: listed.id, address: listed.address} : undefined;
	}

	/** Returns the endpoints that may get requests. One at whose address another one seems to respond is left out while there are others. */
	function getReady(service: string, now: Timestamp): readonly KnownEndpoint[] {
		const ready = [...endpointsById.values()].filter(({listed}) => listed.service === service && listed.state === 'ready');
		const reachable = ready.filter(({misdirectedUntil}) => misdirectedUntil <= now);
		return reachable.length === 0 ? ready : reachable;
	}

	/** Pauses an endpoint, longer after each failure in a row. Returns when the pause ends. */
	function pauseEndpoint(endpoint: KnownEndpoint, now: Timestamp): Timestamp {
		const backoffMs = settings.failureBackoffMs * (2 ** endpoint.consecutiveFailures);
		endpoint.avoidedUntil = now + Math.min(settings.maximumFailureBackoffMs, backoffMs);
		endpoint.consecutiveFailures += 1;
		return endpoint.avoidedUntil;
	}

	return {
		applyList(endpoints, now) {
			hasReadList = true;
			if (isOutage) {
				isOutage = false;
				graceEndsAt = now + settings.listOutageGraceMs;
			}

			const changes: EndpointChange[] = [];
			for (const listed of endpoints.filter(endpoint => !isHeld(endpoint, now))) {
				const change = applyListed(keepDraining(listed));
				if (change !== undefined) {
					changes.push(change);
				}
			}

			const ids = new Set(endpoints.map(({id}) => id));
			for (const [id, {listed}] of endpointsById) {
				if (!ids.has(id) && (now >= graceEndsAt || listed.state === 'draining')) {
					endpointsById.delete(id);
					removedEndpoints.set(id, {startedAt: listed.startedAt, address: listed.address, state: listed.state});
					changes.push({kind: 'removed', id, address: listed.address});
				}
			}

			return changes;
		},
		recordListFailure() {
			isOutage = true;
		},
		recordRestore(now) {
			isOutage = true;
			restoredEntriesHeldUntil = now + settings.restoredEntryHoldMs;
		},
		getAvailable(service, now) {
			return getReady(service, now).filter(({avoidedUntil}) => avoidedUntil <= now).map(({listed}) => listed);
		},
		getListed: (service, now) => getReady(service, now).map(({listed}) => listed),
		findByAddress: address => [...endpointsById.values()].find(({listed}) => listed.address === address)?.listed,
		tryGetService: id => endpointsById.get(id)?.listed.service,
		recordFailure(id, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				pauseEndpoint(endpoint, now);
			}
		},
		recordMisdirected(id, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				endpoint.misdirectedUntil = pauseEndpoint(endpoint, now);
			}
		},
		recordUnreachable(id, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint === undefined || endpoint.avoidedUntil > now) {
				return false;
			}

			endpoint.avoidedUntil = now + settings.unreachableBackoffMs;
			return true;
		},
		recordSuccess(id) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				endpoint.consecutiveFailures = 0;
			}
		},
		recordProgress(id, sentRequest, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				endpoint.lastResponseAt = now;
				endpoint.answeredRequests = addAnsweredRequest(endpoint.answeredRequests, sentRequest);
			}
		},
		recordProbeResponse(id, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				endpoint.lastResponseAt = now;
			}
		},
		hasRespondedSince: (id, since) => (endpointsById.get(id)?.lastResponseAt ?? Number.NEGATIVE_INFINITY) > since,
		isOvertaken(id, {promptTokens}, since) {
			const answeredRequests = endpointsById.get(id)?.answeredRequests ?? [];
			return promptTokens !== undefined
				&& answeredRequests.some(other => other.sentAt > since + minimumOvertakeMs && (other.promptTokens ?? 0) >= promptTokens);
		},
		recordRest(id, restMs, now) {
			const endpoint = endpointsById.get(id);
			if (endpoint !== undefined) {
				endpoint.restsUntil = Math.max(endpoint.restsUntil, now + Math.min(restMs, maximumRestMs));
			}
		},
		getRestMs: (id, now) => Math.max(0, (endpointsById.get(id)?.restsUntil ?? now) - now),
		recordLeaving(id, startedAt) {
			leavingProcesses.set(id, startedAt);
			const listed = endpointsById.get(id)?.listed;
			return listed?.startedAt === startedAt ? applyListed(keepDraining(listed)) : undefined;
		},
		getLeaving: () => [...endpointsById.values()].map(({listed}) => listed).filter(({id, startedAt}) => leavingProcesses.get(id) === startedAt),
		hasList: () => hasReadList,
	};
}
