/**
Servers that long prompts leave to more urgent requests.

Answers long prompts that arrive faster than the servers read them, beside urgent short ones: a long prompt can wait for
seconds, so without a bound long prompts hold every server, and the short ones, which can't wait, are refused.

Urgent short prompts go to these servers first: the others may be busy with long prompts of gateways whose news are late or
don't arrive. All gateways keep the same servers free: the first ones in an order that all share. How many depends on the urgent
requests in the view of load, so old and partial views differ in the last few servers only. No gateway has to hear from
another one to leave these servers alone. Urgent requests may use any server, and nothing is kept free unless urgent
requests have come recently.

Answers urgent streams whose number hovers around a multiple of what a server holds, too: the number of servers falls with
hysteresis, so that no server is left and given up in turns, each time to a long prompt that delays the next streams.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import {createEndpointRanking} from './endpoint-ranking.js';
import {getPrefillMs} from './engine-timing.js';
import type {EngineProfile, GatewayRequest} from './gateway-types.js';
import type {EndpointLoad} from './load-view.js';
import {getDecodingPenalty, type Candidate, type PromptDemand} from './placement-cost.js';
import {hasMoreUrgentLevel, tryGetNextPriority, type Urgency} from './urgency.js';

/** What is asked of a prompt to tell which servers it may use. */
export type RoomRequest = Pick<PromptDemand, 'promptTokens' | 'urgency'> & Readonly<{service: string}>;

export type UrgentRoom = Readonly<{
	/** Records that callers send requests of this urgency, to this or another gateway. */
	recordArrival(request: Pick<GatewayRequest, 'service' | 'priority'>, now: Timestamp): void;
	/** Returns the candidates that a prompt may use; for urgent ones, marks those that long prompts use too. */
	getOpenCandidates(engine: EngineProfile, candidates: readonly Candidate[], request: RoomRequest, now: Timestamp): readonly Candidate[];
}>;

/** Prefill time of a whole prompt up to which it may use any server. */
const unrestrictedPrefillMs: Milliseconds = 250;
/** Time for which servers are kept free after the last urgent request. */
const recentArrivalMs: Milliseconds = 10_000;
/** Servers by which the need must have fallen below the number of servers before one is given up. */
const keptHysteresis = 0.5;
/** Servers that are kept free for urgent requests yet to arrive, besides the ones in proportion to the running ones. */
const spareServerCount = 1;
/** Servers that are kept free for each one that the running urgent requests fill. */
const keptPerFilledServer = 1.5;
/** Share of a server's slots that urgent requests fill before they need another server. */
const filledSlotShare = 0.6;
/** Share of a server's memory that a prompt is expected to find at most, beside others. */
const usedMemoryShare = 0.5;
/** Share of the servers that is open to all requests, however many urgent ones there are. */
const minimumOpenShare = 0.25;

/** Returns what a placement at endpoints with the given loads costs more urgent requests. */
export function getUrgentInterferenceCost(engine: EngineProfile, loads: readonly EndpointLoad[], prefillMs: Milliseconds, urgency: Urgency): number {
	const urgentLoads = loads.map(load => ({...load, decodingSequences: load.decodingSequences.filter(({priority}) => priority < urgency.priority)}));
	return urgentLoads.reduce((sum, load) => sum + getDecodingPenalty(engine, load, prefillMs, urgency), 0);
}

/** Creates the record of a gateway that has seen no urgent requests. */
export function createUrgentRoom(): UrgentRoom {
	const getSharedRank = createEndpointRanking('');
	/** Latest arrival by service and priority; as many as the configuration names. */
	const arrivals = new Map<string, Map<number, Timestamp>>();

	/** Number of servers kept free, by service and priority. */
	const keptCounts = new Map<string, Map<number, number>>();

	function hasRecentArrival(service: string, urgentBelow: number, now: Timestamp): boolean {
		return [...arrivals.get(service) ?? []].some(([priority, at]) => priority < urgentBelow && now - at <= recentArrivalMs);
	}

	/** Returns how many servers more urgent requests need, in fractions of one. */
	function getNeed(engine: EngineProfile, candidates: readonly Candidate[], {service, urgency: {priority}}: RoomRequest, now: Timestamp): number {
		let sequenceCount = 0;
		for (const {load} of candidates) {
			for (const sequence of load.decodingSequences) {
				sequenceCount += sequence.priority < priority ? 1 : 0;
			}
		}

		if (sequenceCount === 0 && !hasRecentArrival(service, priority, now)) {
			return 0;
		}

		return (sequenceCount / (engine.slots * filledSlotShare) * keptPerFilledServer) + spareServerCount;
	}

	/** Updates the number of servers that are left to more urgent requests by what these need, and returns it. */
	function updateKeptCount(engine: EngineProfile, candidates: readonly Candidate[], request: RoomRequest, now: Timestamp): number {
		const {service, urgency: {priority}} = request;
		const counts = keptCounts.get(service) ?? new Map<number, number>();
		const need = getNeed(engine, candidates, request, now);
		const count = need === 0 ? 0 : Math.max(Math.floor(need), Math.min(Math.floor(need + keptHysteresis), counts.get(priority) ?? 0));
		counts.set(priority, count);
		keptCounts.set(service, counts);
		return Math.min(count, Math.floor(candidates.length * (1 - minimumOpenShare)));
	}

	/** Returns the candidates in the order in which they are left to urgent requests. */
	function rankCandidates(candidates: readonly Candidate[]): readonly Candidate[] {
		return candidates
			.map(candidate => ({candidate, rank: getSharedRank(candidate.endpoint.id)}))
			.toSorted((left, right) => left.rank - right.rank)
			.map(({candidate}) => candidate);
	}

	/** Marks the candidates that are not left to the requests of one urgency. */
	function getMarkedCandidates(engine: EngineProfile, candidates: readonly Candidate[], request: RoomRequest, now: Timestamp): readonly Candidate[] {
		const lessUrgent = tryGetNextPriority(request.urgency);
		if (lessUrgent === undefined) {
			return candidates;
		}

		const keptCount = updateKeptCount(engine, candidates, {...request, urgency: {...request.urgency, priority: lessUrgent}}, now);
		const kept = new Set(rankCandidates(candidates).slice(0, keptCount));
		return candidates.map(candidate => kept.has(candidate) ? candidate : {...candidate, isShared: true});
	}

	return {
		recordArrival({service, priority}, now) {
			const known = arrivals.get(service) ?? new Map<number, Timestamp>();
			known.set(priority, now);
			arrivals.set(service, known);
		},
		getOpenCandidates(engine, candidates, request, now) {
			const {promptTokens, urgency} = request;
			if (!hasMoreUrgentLevel(urgency) || getPrefillMs(engine, promptTokens) <= unrestrictedPrefillMs) {
				return getMarkedCandidates(engine, candidates, request, now);
			}

			// However many servers are kept free, the others must be able to hold the prompt.
			const holderCount = Math.ceil(promptTokens / (engine.memoryTokens * usedMemoryShare));
			const keptCount = Math.max(0, Math.min(updateKeptCount(engine, candidates, request, now), candidates.length - holderCount));
			return rankCandidates(candidates).slice(keptCount);
		},
	};
}
