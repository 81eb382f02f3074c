/**
The endpoints that may get work: those that the platform lists as ready and that have not failed lately.

An endpoint that is draining or no longer listed gets no new work. After an outage of the list, an endpoint that is
missing is kept for a short time, since entries may lapse during the outage and come back after it.
*/
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {EndpointId, ListedEndpoint} from './gateway-types.js';

export type EndpointRegistrySettings = Readonly<{
	/** How long a missing endpoint is kept after an outage of the list. */
	lapseGraceMs: Milliseconds;
	/** Pause of an endpoint after its first failure in a row; it doubles with each further one. */
	failurePauseMs: Milliseconds;
	maximumFailurePauseMs: Milliseconds;
}>;

export const defaultEndpointRegistrySettings = {
	// The platform promises that lapsed entries are back within about two seconds.
	lapseGraceMs: 2500,
	// About the time of a short request, so that one failure costs an endpoint little.
	failurePauseMs: 400,
	// Bounds how long a recovered endpoint stays unused.
	maximumFailurePauseMs: 4000,
} as const satisfies EndpointRegistrySettings;

/** A change of what is believed of an endpoint, for the log. */
export type EndpointNews = Readonly<{kind: 'added' | 'draining' | 'removed'; id: EndpointId; address: string}>;

export type EndpointRegistry = Readonly<{
	/** Takes in a complete list. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): readonly EndpointNews[];
	/** Records that the list could not be read. */
	recordListFailure(): void;
	/** Returns the endpoints of a service that may get work now. */
	getAvailable(service: string, now: Timestamp): readonly ListedEndpoint[];
	/** Returns the endpoints of a service that are ready by the list, also those that pause after a failure. */
	getListed(service: string): readonly ListedEndpoint[];
	findByAddress(address: string): ListedEndpoint | undefined;
	recordFailure(id: EndpointId, now: Timestamp): void;
	recordSuccess(id: EndpointId): void;
	/** Records that a request got bytes of its answer. */
	recordProgress(id: EndpointId, work: SentWork, now: Timestamp): void;
	/** Records that an endpoint answered a probe. */
	recordAlive(id: EndpointId, now: Timestamp): void;
	/** Returns whether the endpoint gave any sign of life since. */
	isHeardSince(id: EndpointId, since: Timestamp): boolean;
	/**
	Returns whether the endpoint answered a request that was sent after `since` and is at least as long. An endpoint that
	is only busy answers older requests first.
	*/
	isOvertaken(id: EndpointId, work: SentWork, since: Timestamp): boolean;
	/** Records that another endpoint answers at this one's address. */
	recordReplaced(id: EndpointId): void;
	hasList(): boolean;
}>;

/** A request as it was sent; `promptTokens` is missing where other endpoints decide when it is answered. */
export type SentWork = Readonly<{sentAt: Timestamp; promptTokens: TokenCount | undefined}>;

type KnownEndpoint = {
	listed: ListedEndpoint;
	failures: number;
	pausedUntil: Timestamp;
	isReplaced: boolean;
	heardAt: Timestamp;
	/** Requests that got bytes, each newer and shorter than the one before. */
	answered: readonly SentWork[];
};

/** How much later a request must have been sent to have overtaken another one; about two passes. */
const overtakeMs: Milliseconds = 200;

/** Adds a request, and drops those that are no newer and no longer. */
function addAnswered(answered: readonly SentWork[], work: SentWork): readonly SentWork[] {
	const {sentAt, promptTokens} = work;
	if (promptTokens === undefined) {
		return answered;
	}

	const isKnown = answered.some(other => other.sentAt >= sentAt && (other.promptTokens ?? 0) >= promptTokens);
	return isKnown ? answered : [...answered.filter(other => other.sentAt > sentAt || (other.promptTokens ?? 0) > promptTokens), work];
}

/** Creates a registry that has read no list yet. */
export function createEndpointRegistry(settings: EndpointRegistrySettings): EndpointRegistry {
	const known = new Map<EndpointId, KnownEndpoint>();
	let hasRead = false;
	let isOutage = false;
	let graceEndsAt = Number.NEGATIVE_INFINITY;

	function applyListed(listed: ListedEndpoint): EndpointNews | undefined {
		const before = known.get(listed.id);
		if (before?.listed.bornAt !== listed.bornAt || before.listed.address !== listed.address) {
			known.set(listed.id, {
				listed,
				failures: 0,
				pausedUntil: Number.NEGATIVE_INFINITY,
				isReplaced: false,
				heardAt: Number.NEGATIVE_INFINITY,
				answered: [],
			});
			return {kind: listed.state === 'ready' ? 'added' : 'draining', id: listed.id, address: listed.address};
		}

		const isNewlyDraining = before.listed.state === 'ready' && listed.state === 'draining';
		before.listed = listed;
		return isNewlyDraining ? {kind: 'draining', id: listed.id, address: listed.address} : undefined;
	}

	function getReady(service: string): readonly KnownEndpoint[] {
		return [...known.values()].filter(({listed, isReplaced}) => listed.service === service && listed.state === 'ready' && !isReplaced);
	}

	return {
		applyList(endpoints, now) {
			hasRead = true;
			if (isOutage) {
				isOutage = false;
				graceEndsAt = now + settings.lapseGraceMs;
			}

			const news: EndpointNews[] = [];
			for (const listed of endpoints) {
				const change = applyListed(listed);
				if (change !== undefined) {
					news.push(change);
				}
			}

			const ids = new Set(endpoints.map(({id}) => id));
			for (const [id, {listed}] of known) {
				if (!ids.has(id) && (now >= graceEndsAt || listed.state === 'draining')) {
					known.delete(id);
					news.push({kind: 'removed', id, address: listed.address});
				}
			}

			return news;
		},
		recordListFailure() {
			isOutage = true;
		},
		getAvailable(service, now) {
			return getReady(service).filter(({pausedUntil}) => pausedUntil <= now).map(({listed}) => listed);
		},
		getListed: service => getReady(service).map(({listed}) => listed),
		findByAddress: address => [...known.values()].find(({listed}) => listed.address === address)?.listed,
		recordFailure(id, now) {
			const endpoint = known.get(id);
			if (endpoint !== undefined) {
				const pauseMs = settings.failurePauseMs * (2 ** endpoint.failures);
				endpoint.pausedUntil = now + Math.min(settings.maximumFailurePauseMs, pauseMs);
				endpoint.failures += 1;
			}
		},
		recordSuccess(id) {
			const endpoint = known.get(id);
			if (endpoint !== undefined) {
				endpoint.failures = 0;
			}
		},
		recordProgress(id, work, now) {
			const endpoint = known.get(id);
			if (endpoint !== undefined) {
				endpoint.heardAt = now;
				endpoint.answered = addAnswered(endpoint.answered, work);
			}
		},
		recordAlive(id, now) {
			const endpoint = known.get(id);
			if (endpoint !== undefined) {
				endpoint.heardAt = now;
			}
		},
		isHeardSince: (id, since) => (known.get(id)?.heardAt ?? Number.NEGATIVE_INFINITY) > since,
		isOvertaken(id, {promptTokens}, since) {
			const answered = known.get(id)?.answered ?? [];
			return promptTokens !== undefined
				&& answered.some(other => other.sentAt > since + overtakeMs && (other.promptTokens ?? 0) >= promptTokens);
		},
		recordReplaced(id) {
			const endpoint = known.get(id);
			if (endpoint !== undefined) {
				endpoint.isReplaced = true;
			}
		},
		hasList: () => hasRead,
	};
}
