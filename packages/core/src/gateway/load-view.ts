/**
What each endpoint is doing for all gateways: the requests that this one sent and those that its peers tell of.

Gateways exchange starts, first events and ends of their requests. The view of a peer's requests lags by the exchange;
the requests of a peer that has gone silent are dropped.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';
import type {EndpointId} from './gateway-types.js';

/** Identifies a request among those of one gateway. */
export type WorkId = number;

/** Name of a gateway. */
export type GatewayName = string;

/** An endpoint that reads a part of a prompt, and the memory that is set aside there for it. */
export type WorkHelper = Readonly<{endpoint: EndpointId; reservedTokens: TokenCount}>;

/** A request that an endpoint was sent. */
export type Work = Readonly<{
	id: WorkId;
	endpoint: EndpointId;
	/** Endpoints that read parts of the prompt. */
	helpers: readonly WorkHelper[];
	promptTokens: TokenCount;
	/** Time that each of the endpoints reads. */
	readMs: Milliseconds;
	/** Longest pause between events that the request bears; 0 where it has no such aim. */
	longestPauseMs: Milliseconds;
}>;

/** A change to the requests of one gateway. */
export type WorkChange
	/** All that was told of the gateway before is void; what follows is the whole picture. */
	= | Readonly<{kind: 'reset'}>
		| Readonly<{kind: 'started'; work: Work}>
		| Readonly<{kind: 'writing'; id: WorkId}>
		| Readonly<{kind: 'ended'; id: WorkId}>;

/** A writer at an endpoint, as far as its neighbours matter to it. */
export type Writer = Readonly<{longestPauseMs: Milliseconds; promptTokens: TokenCount}>;

/** What one endpoint has to do. */
export type EndpointLoad = Readonly<{
	/** Requests that hold or wait for a slot. */
	requests: number;
	/** Reading that is still to be done, for own requests and as a helper. */
	readMs: Milliseconds;
	/** Requests of other endpoints that this one helps to read. */
	helped: number;
	writers: readonly Writer[];
	/** Tokens that the requests hold in memory. */
	memoryTokens: TokenCount;
}>;

export type LoadView = Readonly<{
	applyChange(gateway: GatewayName, change: WorkChange, now: Timestamp): void;
	getLoad(endpoint: EndpointId, now: Timestamp): EndpointLoad;
	/** Returns the requests of one gateway as changes, for a peer that has just connected. */
	getWorks(gateway: GatewayName): readonly WorkChange[];
}>;

type TrackedWork = {readonly work: Work; readonly startedAt: Timestamp; isWriting: boolean};

/** Longest time that a request is believed to be open without news of its end. */
const maximumWorkAgeMs = 40_000;

/** Time until a server begins to read a prompt that was sent: about one pass. */
const passMs: Milliseconds = 60;
/** Share of the reading that a request is taken to need until its first event comes. */
const leastReceiverShare = 0.25;

/** Endpoints whose last reading is remembered; more than any fleet has. */
const rememberedEndpoints = 20_000;

const idleLoad: EndpointLoad = {
	requests: 0, readMs: 0, helped: 0, writers: [], memoryTokens: 0,
};

function getEndpoints(work: Work): readonly EndpointId[] {
	return [work.endpoint, ...work.helpers.map(({endpoint}) => endpoint)];
}

/** Returns the memory that a request takes at one of its endpoints: what no other endpoint sets aside lies at the first. */
function getMemoryTokens(work: Work, endpoint: EndpointId): TokenCount {
	if (work.endpoint === endpoint) {
		return work.promptTokens - work.helpers.reduce((sum, {reservedTokens}) => sum + reservedTokens, 0);
	}

	return work.helpers.find(helper => helper.endpoint === endpoint)?.reservedTokens ?? 0;
}

/** A part of a prompt that an endpoint has still to read, as far as is known. */
type UnreadPart = Readonly<{startedAt: Timestamp; readMs: Milliseconds; isReceiver: boolean}>;

/**
Returns the reading that an endpoint still has to do. It reads one part after the other, from the later of a part's
arrival and the last time that a part was known to be done.
*/
function getBacklogMs(parts: readonly UnreadPart[], readDoneAt: Timestamp, now: Timestamp): Milliseconds {
	let doneAt = readDoneAt;
	let unreadMs = 0;
	for (const {startedAt, readMs, isReceiver} of parts.toSorted((left, right) => left.startedAt - right.startedAt)) {
		doneAt = Math.max(doneAt, startedAt + passMs) + readMs;
		// A request without a first event is not read yet, whatever the estimate says.
		unreadMs += isReceiver ? readMs * leastReceiverShare : 0;
	}

	return Math.max(unreadMs, parts.length === 0 ? 0 : doneAt - now);
}

/** Creates a view without requests. */
export function createLoadView(): LoadView {
	const worksByGateway = new Map<GatewayName, Map<WorkId, TrackedWork>>();
	const worksByEndpoint = new Map<EndpointId, Set<TrackedWork>>();
	const readDoneAt = new LRUCache<EndpointId, Timestamp>({max: rememberedEndpoints});

	function getGatewayWorks(gateway: GatewayName): Map<WorkId, TrackedWork> {
		const works = worksByGateway.get(gateway) ?? new Map<WorkId, TrackedWork>();
		worksByGateway.set(gateway, works);
		return works;
	}

	function addToEndpoint(endpoint: EndpointId, tracked: TrackedWork): void {
		const works = worksByEndpoint.get(endpoint) ?? new Set<TrackedWork>();
		works.add(tracked);
		worksByEndpoint.set(endpoint, works);
	}

	function removeFromEndpoints(tracked: TrackedWork): void {
		for (const endpoint of getEndpoints(tracked.work)) {
			const works = worksByEndpoint.get(endpoint);
			works?.delete(tracked);
			if (works?.size === 0) {
				worksByEndpoint.delete(endpoint);
			}
		}
	}

	function removeWork(gateway: GatewayName, id: WorkId): void {
		const works = worksByGateway.get(gateway);
		const tracked = works?.get(id);
		if (tracked !== undefined) {
			works?.delete(id);
			removeFromEndpoints(tracked);
		}
	}

	function removeGateway(gateway: GatewayName): void {
		for (const tracked of worksByGateway.get(gateway)?.values() ?? []) {
			removeFromEndpoints(tracked);
		}

		worksByGateway.delete(gateway);
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
					const tracked: TrackedWork = {work: change.work, startedAt: now, isWriting: false};
					getGatewayWorks(gateway).set(change.work.id, tracked);
					for (const endpoint of getEndpoints(change.work)) {
						addToEndpoint(endpoint, tracked);
					}

					return;
				}

				case 'writing': {
					const tracked = worksByGateway.get(gateway)?.get(change.id);
					if (tracked !== undefined) {
						tracked.isWriting = true;
						readDoneAt.set(tracked.work.endpoint, now);
					}

					return;
				}

				case 'ended': {
					removeWork(gateway, change.id);
				}
			}
		},
		getLoad(endpoint, now) {
			const works = worksByEndpoint.get(endpoint);
			if (works === undefined) {
				return idleLoad;
			}

			let requests = 0;
			const unread: UnreadPart[] = [];
			let memoryTokens = 0;
			const writers: Writer[] = [];
			for (const {work, startedAt, isWriting} of works) {
				const ageMs = now - startedAt;
				if (ageMs > maximumWorkAgeMs) {
					continue;
				}

				requests += work.endpoint === endpoint ? 1 : 0;
				memoryTokens += getMemoryTokens(work, endpoint);

				if (!isWriting) {
					unread.push({startedAt, readMs: work.readMs, isReceiver: work.endpoint === endpoint});
				} else if (work.endpoint === endpoint) {
					writers.push(work);
				}
			}

			const readMs = getBacklogMs(unread, readDoneAt.get(endpoint) ?? Number.NEGATIVE_INFINITY, now);
			return {
				requests,
				readMs,
				helped: unread.filter(({isReceiver}) => !isReceiver).length,
				writers,
				memoryTokens,
			};
		},
		getWorks(gateway) {
			const works = [...worksByGateway.get(gateway)?.values() ?? []];
			return works.flatMap(({work, isWriting}): readonly WorkChange[] =>
				isWriting ? [{kind: 'started', work}, {kind: 'writing', id: work.id}] : [{kind: 'started', work}]);
		},
	};
}
