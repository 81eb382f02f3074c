/**
Cold endpoints: those that take only so many requests a second from all gateways together, for some time after a start or
whenever they say so.

The load that this answers: a few endpoints, or all of a data centre, come back empty while callers send more than before, and the
least loaded endpoints would draw the requests of every gateway at once.

Each gateway counts what it sends itself to each endpoint in a sliding window, also while the endpoint is warm, and sends no
more than its share of the limit to a cold one. No message is needed for a request, so the limit holds while gateways are
cut off from each other. An endpoint is cold for as long as its entry, its responses or a peer say. It is presumed to be cold
when its process is new, when its connections broke, as it may have started again, and when its data centre is back in use;
the presumption ends when an entry that was written later doesn't say so.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {ColdShares} from './cold-shares.js';
import type {GatewayAction} from './gateway-events.js';
import type {ColdTolerance, EndpointId, ListedEndpoint} from './gateway-types.js';

/** In any second, a cold endpoint gets at most `ratio` times the requests that its service tolerates, plus `fixedRequests`. */
export type ColdEndpointSettings = Readonly<{ratio: number; fixedRequests: number}>;

/** An endpoint stays cold for the given time. */
export type ColdChange = Readonly<{kind: 'endpointCold'; endpoint: EndpointId; remainingMs: Milliseconds}>;

/** How a gateway learnt that an endpoint is cold. */
export type ColdSource = 'entry' | 'response' | 'peer' | 'newProcess' | 'lostConnection' | 'returnedDataCentre';

/** An endpoint that has become cold or warm, for the log. */
export type ColdReport
	= | Readonly<{kind: 'cold'; endpoint: EndpointId; remainingMs: Milliseconds; source: ColdSource}>
		| Readonly<{kind: 'warm'; endpoint: EndpointId}>;

export type ColdCounts = Readonly<{
	/** Number of endpoints that are cold. */
	coldEndpoints: number;
	/** Number of placements for which a cold endpoint had no room. */
	heldRequests: number;
}>;

export type ColdEndpoints = Readonly<{
	/** Applies the entries of all endpoints. */
	applyList(endpoints: readonly ListedEndpoint[], now: Timestamp): readonly GatewayAction[];
	/** Records for how long an endpoint says in a response that it stays cold; `undefined` if it says nothing of it. */
	recordResponse(endpoint: EndpointId, remainingMs: Milliseconds | undefined, now: Timestamp): readonly GatewayAction[];
	applyPeerChange(change: ColdChange, now: Timestamp): readonly GatewayAction[];
	/** Records that the connections to an endpoint broke or can't be opened. */
	recordLost(endpoint: EndpointId, now: Timestamp): readonly GatewayAction[];
	/** Records that the endpoints of a data centre may be used again. */
	recordReturn(dataCentre: string, now: Timestamp): readonly GatewayAction[];
	/** Counts a request of this gateway to an endpoint. */
	recordSend(endpoint: EndpointId, now: Timestamp): void;
	/** Counts a placement if one of its endpoints is cold and has no room. */
	recordChoice(endpoints: readonly ListedEndpoint[], now: Timestamp): void;
	isCold(endpoint: EndpointId, now: Timestamp): boolean;
	/** Returns how long it takes until an endpoint may get another request of this gateway, 0 if it may now. */
	getWaitMs(endpoint: EndpointId, now: Timestamp): Milliseconds;
	/** Returns what endpoints have said, for a peer that has just connected. */
	getSnapshot(now: Timestamp): readonly ColdChange[];
	getCounts(now: Timestamp): ColdCounts;
}>;

export type ColdEndpointsHost = Readonly<{
	settings: ColdEndpointSettings;
	shares: ColdShares;
	getTolerance(service: string): ColdTolerance | undefined;
}>;

type KnownEndpoint = {
	/** As it was listed last; `undefined` if it isn't listed yet. */
	listed: ListedEndpoint | undefined;
	/** Until then the endpoint is cold by what it has said itself. */
	statedUntil: Timestamp;
	/** When it was last presumed to be cold. */
	presumedAt: Timestamp;
	/** Times of this gateway's requests in the current window, oldest first. */
	sends: Timestamp[];
	isReportedCold: boolean;
};

/** Window in which requests are counted: a second, and how much later than it was chosen a request may be sent. */
const windowMs: Milliseconds = 1200;
/** Time after which an entry was written later than what is known: a heartbeat of the endpoint, a poll, and a reader's state. */
const entryDelayMs: Milliseconds = 2500;
/** Minimum time by which news must extend the time for which an endpoint is cold to be told to peers. */
const minimumExtensionMs: Milliseconds = 1000;
/** Longest time for which an endpoint is taken for cold without further news. */
const maximumColdMs: Milliseconds = 600_000;
/** Number of endpoints that are known; more than any fleet has. */
const maximumEndpoints = 20_000;
/** Number of requests in a window that are counted; a larger share of a limit isn't used. */
const maximumCountedSends = 1000;

/** Creates a record without cold endpoints. */
export function createColdEndpoints({settings, shares, getTolerance}: ColdEndpointsHost): ColdEndpoints {
	const endpointsById = createBoundedCache<EndpointId, KnownEndpoint>(maximumEndpoints);
	let hasList = false;
	let heldRequests = 0;

	function getKnown(id: EndpointId): KnownEndpoint {
		const known = endpointsById.get(id) ?? {
			listed: undefined, statedUntil: Number.NEGATIVE_INFINITY, presumedAt: Number.NEGATIVE_INFINITY, sends: [], isReportedCold: false,
		};
		endpointsById.set(id, known);
		return known;
	}

	function findTolerance({listed}: KnownEndpoint): ColdTolerance | undefined {
		return listed === undefined ? undefined : getTolerance(listed.service);
	}

	/** Returns for how long an endpoint is cold; 0 if it is warm or its service tolerates any rate. */
	function getColdMs(known: KnownEndpoint, now: Timestamp): Milliseconds {
		if (known.statedUntil <= now && known.presumedAt === Number.NEGATIVE_INFINITY) {
			return 0;
		}

		const tolerance = findTolerance(known);
		return tolerance === undefined ? 0 : Math.max(0, known.statedUntil - now, known.presumedAt + tolerance.durationMs - now);
	}

	/** Reports an endpoint that has become cold or warm since the last report. */
	function report(id: EndpointId, known: KnownEndpoint, source: ColdSource, now: Timestamp): readonly GatewayAction[] {
		const remainingMs = getColdMs(known, now);
		const isCold = remainingMs > 0;
		if (isCold === known.isReportedCold) {
			return [];
		}

		known.isReportedCold = isCold;
		return [{
			kind: 'reportColdEndpoint', report: isCold
				? {
					kind: 'cold', endpoint: id, remainingMs, source,
				}
				: {kind: 'warm', endpoint: id},
		}];
	}

	/** Extends the time for which an endpoint has said that it is cold. */
	function recordStated(id: EndpointId, remainingMs: Milliseconds, source: 'entry' | 'response' | 'peer', now: Timestamp): readonly GatewayAction[] {
		const known = getKnown(id);
		const statedMs = Math.min(maximumColdMs, remainingMs);
		const isNews = now + statedMs > Math.max(now, known.statedUntil) + minimumExtensionMs;
		known.statedUntil = Math.max(known.statedUntil, now + statedMs);
		const isTold = isNews && (source === 'response' || (source === 'entry' && shares.isTeller(id)));
		return [
			...report(id, known, source, now),
			...(isTold ? [{kind: 'publishChange', change: {kind: 'endpointCold', endpoint: id, remainingMs: statedMs}} as const] : []),
		];
	}

	function recordPresumption(id: EndpointId, known: KnownEndpoint, source: 'newProcess' | 'lostConnection' | 'returnedDataCentre', now: Timestamp): readonly GatewayAction[] {
		known.presumedAt = now;
		return report(id, known, source, now);
	}

	function applyEntry(listed: ListedEndpoint, now: Timestamp): readonly GatewayAction[] {
		const {id, coldRemainingMs} = listed;
		const known = getKnown(id);
		const isNewProcess = hasList && known.listed?.startedAt !== listed.startedAt;
		known.listed = listed;
		if (coldRemainingMs > 0) {
			return recordStated(id, coldRemainingMs, 'entry', now);
		}

		if (isNewProcess) {
			return recordPresumption(id, known, 'newProcess', now);
		}

		if (now - known.presumedAt >= entryDelayMs) {
			known.presumedAt = Number.NEGATIVE_INFINITY;
		}

		return report(id, known, 'entry', now);
	}

	function removeExpiredSends(known: KnownEndpoint, now: Timestamp): void {
		const firstCurrent = known.sends.findIndex(sentAt => sentAt > now - windowMs);
		known.sends = firstCurrent === -1 ? [] : known.sends.slice(firstCurrent);
	}

	function getWaitMs(id: EndpointId, now: Timestamp): Milliseconds {
		const known = endpointsById.peek(id);
		const coldMs = known === undefined ? 0 : getColdMs(known, now);
		const tolerance = known === undefined || coldMs === 0 ? undefined : findTolerance(known);
		if (known === undefined || tolerance === undefined) {
			return 0;
		}

		const limit = Math.floor((tolerance.requestsPerSecond * settings.ratio) + settings.fixedRequests);
		const share = Math.min(maximumCountedSends, shares.getShare(id, limit, now));
		removeExpiredSends(known, now);
		const blocking = known.sends[known.sends.length - share];
		if (share > 0 && blocking === undefined) {
			return 0;
		}

		return blocking === undefined ? coldMs : Math.min(coldMs, blocking + windowMs - now);
	}

	return {
		applyList(endpoints, now) {
			const actions = endpoints.flatMap(listed => applyEntry(listed, now));
			hasList = true;
			return actions;
		},
		recordResponse: (endpoint, remainingMs, now) => remainingMs === undefined || remainingMs <= 0 ? [] : recordStated(endpoint, remainingMs, 'response', now),
		applyPeerChange: ({endpoint, remainingMs}, now) => recordStated(endpoint, remainingMs, 'peer', now),
		recordLost: (endpoint, now) => recordPresumption(endpoint, getKnown(endpoint), 'lostConnection', now),
		recordReturn: (dataCentre, now) => [...endpointsById].flatMap(([id, known]) =>
			known.listed?.dataCentre === dataCentre ? recordPresumption(id, known, 'returnedDataCentre', now) : []),
		recordSend(endpoint, now) {
			const known = getKnown(endpoint);
			removeExpiredSends(known, now);
			known.sends = [...known.sends, now].slice(-maximumCountedSends);
		},
		recordChoice(endpoints, now) {
			heldRequests += endpoints.some(({id}) => getWaitMs(id, now) > 0) ? 1 : 0;
		},
		isCold(endpoint, now) {
			const known = endpointsById.peek(endpoint);
			return known !== undefined && getColdMs(known, now) > 0;
		},
		getWaitMs,
		getSnapshot: now => [...endpointsById].flatMap(([endpoint, {statedUntil}]): readonly ColdChange[] =>
			statedUntil > now ? [{kind: 'endpointCold', endpoint, remainingMs: statedUntil - now}] : []),
		getCounts: now => ({coldEndpoints: [...endpointsById.values()].filter(known => getColdMs(known, now) > 0).length, heldRequests}),
	};
}
