/**
The load of each endpoint from all gateways: the requests sent by this gateway and those reported by its peers.

Gateways exchange the start, first event and end of each request. The view of a peer's requests lags by the delay of the
exchange. The requests of a peer that has disconnected are dropped.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {EndpointId} from './gateway-types.js';

/** Identifies an open request within one gateway. */
export type WorkId = number;

/** Name of a gateway. */
export type GatewayName = string;

/** An endpoint that prefills a part of a prompt, and the memory reserved there. */
export type WorkHelper = Readonly<{endpoint: EndpointId; reservedTokens: TokenCount}>;

/** A request that was sent to an endpoint and is still open. */
export type OpenWork = Readonly<{
	id: WorkId;
	endpoint: EndpointId;
	/** Endpoints that prefill parts of the prompt. */
	helpers: readonly WorkHelper[];
	promptTokens: TokenCount;
	/** Prefill time of each part. */
	readMs: Milliseconds;
	/** Target for the longest pause between the request's events; 0 if it has none. */
	longestPauseMs: Milliseconds;
	/** Urgency; 0 is the most urgent. */
	priority: number;
	/** Predicted service time at the endpoint without a queue; 0 if it isn't predicted. */
	serviceMs: Milliseconds;
}>;

/** A change to the open requests of one gateway. */
export type WorkChange
	/** Discards all requests of the gateway; the changes that follow describe its complete state. */
	= | Readonly<{kind: 'reset'}>
		| Readonly<{kind: 'started'; work: OpenWork}>
	/** The first event arrived: prefill is complete, and the request decodes. */
		| Readonly<{kind: 'writing'; id: WorkId}>
		| Readonly<{kind: 'ended'; id: WorkId}>;

/** A sequence that an endpoint is decoding. */
export type DecodingSequence = Readonly<{longestPauseMs: Milliseconds; promptTokens: TokenCount; priority: number}>;

/** The load of one endpoint. */
export type EndpointLoad = Readonly<{
	/** Number of requests that hold or wait for a slot. */
	requests: number;
	/** Estimated time of the prefill that is still to be done, including parts of other endpoints' prompts. */
	prefillBacklogMs: Milliseconds;
	/** Number of other endpoints' prompts of which this one prefills a part. */
	helpedRequests: number;
	decodingSequences: readonly DecodingSequence[];
	/** Tokens of the requests' prompts in the KV cache. */
	memoryTokens: TokenCount;
}>;

/** Tracks the open requests of all gateways and derives the load of each endpoint from them. */
export type LoadView = Readonly<{
	applyChange(gateway: GatewayName, change: WorkChange, now: Timestamp): void;
	getLoad(endpoint: EndpointId, now: Timestamp): EndpointLoad;
	/** Returns the service time that is left of an endpoint's requests; those whose service time isn't predicted count with `unpredictedMs`. */
	getWorkLeftMs(endpoint: EndpointId, unpredictedMs: Milliseconds, now: Timestamp): Milliseconds;
	/** Returns the open requests of one gateway as changes, for a peer that has just connected. */
	getOpenWorkChanges(gateway: GatewayName): readonly WorkChange[];
}>;

type TrackedWork = {readonly work: OpenWork; readonly startedAt: Timestamp; isDecoding: boolean};

/** Age after which a request is ignored even though its end was not reported. */
const maximumWorkAgeMs = 40_000;

/** Time until a server starts the prefill of a prompt that was sent to it: about one pass. */
const prefillStartDelayMs: Milliseconds = 60;
/** Minimum share of a request's prefill time that is counted in the receiver's backlog until the first event arrives. */
const minimumPrefillShare = 0.25;

/** Minimum share of a request's service time that counts as left until it ends. */
const minimumServiceShare = 0.25;

/** Number of endpoints whose last completed prefill is tracked; more than any fleet has. */
const maximumTrackedEndpoints = 20_000;

const idleLoad: EndpointLoad = {
	requests: 0, prefillBacklogMs: 0, helpedRequests: 0, decodingSequences: [], memoryTokens: 0,
};

function getEndpoints(work: OpenWork): readonly EndpointId[] {
	return [work.endpoint, ...work.helpers.map(({endpoint}) => endpoint)];
}

/** Returns the memory that a request occupies at one of its endpoints; the receiver stores the tokens for which no helper reserves memory. */
function getMemoryTokens(work: OpenWork, endpoint: EndpointId): TokenCount {
	if (work.endpoint === endpoint) {
		return work.promptTokens - work.helpers.reduce((sum, {reservedTokens}) => sum + reservedTokens, 0);
	}

	return work.helpers.find(helper => helper.endpoint === endpoint)?.reservedTokens ?? 0;
}

/** A part of a prompt whose prefill at an endpoint isn't known to be complete. */
type PendingPrefill = Readonly<{startedAt: Timestamp; prefillMs: Milliseconds; isReceiver: boolean}>;

/**
Returns the estimated time that an endpoint needs for its pending prefills. It processes one part after the other; each
starts when it has arrived and the previous one is complete.
*/
function getBacklogMs(parts: readonly PendingPrefill[], prefillDoneAt: Timestamp, now: Timestamp): Milliseconds {
	let currentDoneAt = prefillDoneAt;
	let pendingMs = 0;
	for (const {startedAt, prefillMs, isReceiver} of parts.toSorted((left, right) => left.startedAt - right.startedAt)) {
		currentDoneAt = Math.max(currentDoneAt, startedAt + prefillStartDelayMs) + prefillMs;
		// Without a first event, the prefill isn't complete, even if its estimated time has passed.
		pendingMs += isReceiver ? prefillMs * minimumPrefillShare : 0;
	}

	return Math.max(pendingMs, parts.length === 0 ? 0 : currentDoneAt - now);
}

/** Creates a view without open requests. */
export function createLoadView(): LoadView {
	const openWorkByGateway = new Map<GatewayName, Map<WorkId, TrackedWork>>();
	const openWorkByEndpoint = new Map<EndpointId, Set<TrackedWork>>();
	const prefillDoneAt = createBoundedCache<EndpointId, Timestamp>(maximumTrackedEndpoints);

	function getGatewayWork(gateway: GatewayName): Map<WorkId, TrackedWork> {
		const openWork = openWorkByGateway.get(gateway) ?? new Map<WorkId, TrackedWork>();
		openWorkByGateway.set(gateway, openWork);
		return openWork;
	}

	function addToEndpoint(endpoint: EndpointId, tracked: TrackedWork): void {
		const openWork = openWorkByEndpoint.get(endpoint) ?? new Set<TrackedWork>();
		openWork.add(tracked);
		openWorkByEndpoint.set(endpoint, openWork);
	}

	function removeFromEndpoints(tracked: TrackedWork): void {
		for (const endpoint of getEndpoints(tracked.work)) {
			const openWork = openWorkByEndpoint.get(endpoint);
			openWork?.delete(tracked);
			if (openWork?.size === 0) {
				openWorkByEndpoint.delete(endpoint);
			}
		}
	}

	function removeWork(gateway: GatewayName, id: WorkId): void {
		const openWork = openWorkByGateway.get(gateway);
		const tracked = openWork?.get(id);
		if (tracked !== undefined) {
			openWork?.delete(id);
			removeFromEndpoints(tracked);
		}
	}

	function removeGateway(gateway: GatewayName): void {
		for (const tracked of openWorkByGateway.get(gateway)?.values() ?? []) {
			removeFromEndpoints(tracked);
		}

		openWorkByGateway.delete(gateway);
	}

	return {
		applyChange(gateway, change, now) {
			switch (change.kind) {
				case 'reset': {
					removeGateway(gateway);
					return;
				}

				case 'started': {
					removeWork(gateway, change.work.id);
					const tracked: TrackedWork = {work: change.work, startedAt: now, isDecoding: false};
					getGatewayWork(gateway).set(change.work.id, tracked);
					for (const endpoint of getEndpoints(change.work)) {
						addToEndpoint(endpoint, tracked);
					}

					return;
				}

				case 'writing': {
					const tracked = openWorkByGateway.get(gateway)?.get(change.id);
					if (tracked !== undefined) {
						tracked.isDecoding = true;
						prefillDoneAt.set(tracked.work.endpoint, now);
					}

					return;
				}

				case 'ended': {
					removeWork(gateway, change.id);
				}
			}
		},
		getLoad(endpoint, now) {
			const openWork = openWorkByEndpoint.get(endpoint);
			if (openWork === undefined) {
				return idleLoad;
			}

			let requests = 0;
			const pendingPrefills: PendingPrefill[] = [];
			let memoryTokens = 0;
			const decodingSequences: DecodingSequence[] = [];
			for (const {work, startedAt, isDecoding} of openWork) {
				const ageMs = now - startedAt;
				if (ageMs > maximumWorkAgeMs) {
					continue;
				}

				requests += work.endpoint === endpoint ? 1 : 0;
				memoryTokens += getMemoryTokens(work, endpoint);

				if (!isDecoding) {
					pendingPrefills.push({startedAt, prefillMs: work.readMs, isReceiver: work.endpoint === endpoint});
				} else if (work.endpoint === endpoint) {
					decodingSequences.push(work);
				}
			}

			const prefillBacklogMs = getBacklogMs(pendingPrefills, prefillDoneAt.get(endpoint) ?? Number.NEGATIVE_INFINITY, now);
			return {
				requests,
				prefillBacklogMs,
				helpedRequests: pendingPrefills.filter(({isReceiver}) => !isReceiver).length,
				decodingSequences,
				memoryTokens,
			};
		},
		getWorkLeftMs(endpoint, unpredictedMs, now) {
			let leftMs = 0;
			for (const {work, startedAt} of openWorkByEndpoint.get(endpoint) ?? []) {
				const ageMs = now - startedAt;
				if (work.endpoint === endpoint && ageMs <= maximumWorkAgeMs) {
					const serviceMs = work.serviceMs > 0 ? work.serviceMs : unpredictedMs;
					leftMs += Math.max(serviceMs - ageMs, serviceMs * minimumServiceShare);
				}
			}

			return leftMs;
		},
		getOpenWorkChanges(gateway) {
			const openWork = [...openWorkByGateway.get(gateway)?.values() ?? []];
			return openWork.flatMap(({work, isDecoding}): readonly WorkChange[] =>
				isDecoding ? [{kind: 'started', work}, {kind: 'writing', id: work.id}] : [{kind: 'started', work}]);
		},
	};
}
