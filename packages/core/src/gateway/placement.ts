/**
Placement of requests on endpoints.

A server is an endpoint that runs a model. A prompt is placed on the server, or split across the group of servers, with the
least total cost for the request itself and for the requests already running there. A request incurs a cost if its first
event or one of its pauses exceeds the route's latency target. While idle servers are scarce, short prompts are packed onto
few servers: sequences that decode together slow each other down little, and this keeps other servers free of them for the
prefill of long prompts. Otherwise short prompts are spread.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import {getPrefillMs} from './engine-timing.js';
import type {EndpointId, EngineProfile, ListedEndpoint} from './gateway-types.js';
import {
	getBlockingCost, getDecodingPenalty, getDelayCost, getIdleScarcity, getLatenessWeight, getPartPrefillMs, getRankCost, getReceiverCost, getReservationCost, getSlotWaitMs,
	type Candidate, type PromptDemand,
} from './placement-cost.js';
import {getFreeTokens, getReservedTokens} from './placement-memory.js';

/** An endpoint that helps with the prefill, and the memory to reserve there; 0 if its part moves to the receiver after prefill. */
export type Helper = Readonly<{endpoint: ListedEndpoint; reservedTokens: TokenCount}>;

/** The endpoints chosen for a request, and the predicted effects of the choice. */
export type Placement = Readonly<{
	/** The receiver: the endpoint that the request is sent to, and that responds to it. */
	endpoint: ListedEndpoint;
	/** Endpoints that prefill parts of the prompt in addition to the receiver. */
	helpers: readonly Helper[];
	/** Prefill time of each part. */
	prefillMs: Milliseconds;
	/** Predicted time to the first event. */
	firstEventMs: Milliseconds;
	/** Cost to other requests, in units of a late short request. */
	interferenceCost: number;
	/** Predicted service time without a queue, at an endpoint of usual pace; absent if it isn't known. */
	serviceMs?: Milliseconds;
	/** Pace of the endpoint that is part of the predictions; 1 if absent. */
	pace?: number;
	/** Predicted time to the first event if all endpoints had their usual pace; absent if paces aren't known. */
	usualFirstEventMs?: Milliseconds;
	/** Whether all slots of the endpoint were taken; absent if it doesn't matter. */
	isQueued?: boolean;
}>;

/** Load added to endpoints in another data centre, as a share of their slots. */
const remoteDataCentreLoad = 0.1;
/** Maximum number of helpers that the servers' protocol allows. */
const maximumHelpers = 16;

/** Helper counts for which placements are compared. */
const helperCounts: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, maximumHelpers];

/** Prompts with a shorter prefill are not split if one server can hold them, since the prefill of each part takes at least as long as one chunk. */
const minimumSplitPrefillMs: Milliseconds = 120;

/** Cost of each additional helper. */
const additionalHelperCost = 0.03;
/** Helper slots that are left for requests not known yet; a server can help with as many requests as it has slots. */
const spareHelperSlots = 3;

/** A part of a prompt, the server that would prefill it, the cost and completion time there, and that at its usual pace. */
type PromptPart = Readonly<{candidate: Candidate; cost: number; readyMs: Milliseconds; usualReadyMs: Milliseconds}>;

type PlacementOption = Readonly<{placement: Placement; cost: number}>;

function compareParts(left: PromptPart, right: PromptPart): number {
	return left.cost - right.cost;
}

/** Returns the best placement with the given number of helpers, or `undefined` if there is none. */
function createOption(
	engine: EngineProfile,
	candidates: readonly Candidate[],
	demand: PromptDemand,
	helperCount: number,
): PlacementOption | undefined {
	const weight = getLatenessWeight(demand.promptTokens);
	const idleScarcity = getIdleScarcity(candidates);
	const prefillMs = getPrefillMs(engine, demand.promptTokens) / (helperCount + 1);
	const fitting = helperCount > 0 ? candidates : candidates.filter(({load}) => getFreeTokens(engine, load) >= demand.promptTokens);
	const receivers = fitting.map((candidate): PromptPart => {
		const partMs = getPartPrefillMs(engine, candidate.load, prefillMs);
		const slotWaitMs = getSlotWaitMs(engine, candidate.load);
		const readyMs = (partMs * (candidate.pace ?? 1)) + slotWaitMs;
		return {
			candidate, readyMs, usualReadyMs: partMs + slotWaitMs, cost: getReceiverCost(engine, candidate, demand, {prefillMs, idleScarcity}) + getDelayCost(weight, readyMs, demand),
		};
	});
	const receiver = findCheapest(receivers);
	if (receiver === undefined) {
		return undefined;
	}

	const helperParts = helperCount === 0
		? []
		: candidates.filter(candidate => candidate !== receiver.candidate && candidate.isCold !== true && candidate.load.helpedRequests < engine.slots - spareHelperSlots).map((candidate): PromptPart => {
			const usualReadyMs = getPartPrefillMs(engine, candidate.load, prefillMs);
			const readyMs = usualReadyMs * (candidate.pace ?? 1);
			return {
				candidate, readyMs, usualReadyMs, cost: getDecodingPenalty(engine, candidate.load, prefillMs, demand.urgency) + getDelayCost(weight, readyMs, demand),
			};
		});
	const helpers = helperParts.toSorted(compareParts).slice(0, helperCount);
	if (helpers.length < helperCount) {
		return undefined;
	}

	const reserved = getReservedTokens(engine, demand.promptTokens, [receiver, ...helpers].map(({candidate}) => candidate));
	if (reserved === undefined) {
		return undefined;
	}

	const parts = [receiver, ...helpers];
	const firstEventMs = Math.max(...parts.map(({readyMs}) => readyMs));
	const partCosts = parts.reduce((sum, part) => sum + part.cost - getDelayCost(weight, part.readyMs, demand), 0);
	const blockingCost = getBlockingCost(engine, candidates, new Set(parts.map(({candidate}) => candidate)), prefillMs);
	const interferenceCost = blockingCost + parts.reduce((sum, {candidate}) => sum + getDecodingPenalty(engine, candidate.load, prefillMs, demand.urgency), 0);
	return {
		placement: {
			endpoint: receiver.candidate.endpoint,
			helpers: helpers.map(({candidate}, index) => ({endpoint: candidate.endpoint, reservedTokens: reserved[index] ?? 0})),
			prefillMs,
			firstEventMs,
			interferenceCost,
			...(receiver.candidate.pace === undefined ? {} : {pace: receiver.candidate.pace, usualFirstEventMs: Math.max(...parts.map(({usualReadyMs}) => usualReadyMs))}),
		},
		cost: partCosts + getDelayCost(weight, firstEventMs, demand) + (helperCount * additionalHelperCost) + blockingCost
			+ (reserved.filter(tokens => tokens > 0).length * getReservationCost(weight)),
	};
}

function findCheapest<Item extends Readonly<{cost: number}>>(items: readonly Item[]): Item | undefined {
	let best: Item | undefined;
	for (const item of items) {
		if (best === undefined || item.cost < best.cost) {
			best = item;
		}
	}

	return best;
}

/** Returns the placement of a prompt with the lowest cost, or `undefined` if no endpoint can accept it. */
export function findPromptPlacement(engine: EngineProfile, candidates: readonly Candidate[], demand: PromptDemand): Placement | undefined {
	const findOption = (counts: readonly number[]): PlacementOption | undefined =>
		findCheapest(counts.flatMap(count => createOption(engine, candidates, demand, count) ?? []));
	const isLongPrefill = getPrefillMs(engine, demand.promptTokens) > minimumSplitPrefillMs;
	// A prompt that no single server can hold is split even if its prefill is short.
	const option = isLongPrefill ? findOption(helperCounts) : findOption([0]) ?? findOption(helperCounts);
	return option?.placement;
}

/** Returns the endpoint of a service with the lowest load relative to its slots, preferring the same data centre. */
export function findServicePlacement(candidates: readonly Candidate[], dataCentre: string): Placement | undefined {
	const options = candidates.map(candidate => ({
		endpoint: candidate.endpoint,
		cost: (candidate.load.requests / Math.max(1, candidate.endpoint.slots)) + getRankCost(candidate)
			+ (candidate.endpoint.dataCentre === dataCentre ? 0 : remoteDataCentreLoad),
	}));
	const best = findCheapest(options);
	return best === undefined
		? undefined
		: {
			endpoint: best.endpoint, helpers: [], prefillMs: 0, firstEventMs: 0, interferenceCost: 0,
		};
}

/** Returns the endpoints that are not excluded, each with its load and rank. */
export function getCandidates(
	endpoints: readonly ListedEndpoint[],
	excluded: ReadonlySet<EndpointId>,
	getLoadAndRank: (endpoint: EndpointId) => Omit<Candidate, 'endpoint'>,
): readonly Candidate[] {
	return endpoints.filter(({id}) => !excluded.has(id)).map(endpoint => ({endpoint, ...getLoadAndRank(endpoint.id)}));
}
