/**
Cost model of placements. The unit of cost is one short request that misses its latency target.

A request incurs a penalty if its first event or one of its pauses exceeds the route's latency target. Predictions are
imprecise, so the penalty rises gradually around the target.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import {getDecodePassMs} from './engine-timing.js';
import type {EngineProfile, ListedEndpoint} from './gateway-types.js';
import type {DecodingSequence, EndpointLoad} from './load-view.js';
import {getFreeTokens} from './placement-memory.js';
import {getRelativeWeight, type Urgency} from './urgency.js';

/** An endpoint that may receive a request, and its load. */
export type Candidate = Readonly<{
	endpoint: ListedEndpoint;
	load: EndpointLoad;
	/** Tie-breaker from 0 to 1, lower is better. It differs between gateways, so that they don't all choose the same of equal endpoints. */
	rank: number;
	/** Whether the endpoint takes few requests for now, so that it doesn't help with other prompts. */
	isCold?: boolean;
	/** Factor by which the endpoint is slower than predicted; 1 if absent. */
	pace?: number;
	/** Whether less urgent long prompts may use the endpoint too, also ones that this gateway doesn't know of. */
	isShared?: boolean;
}>;

/** Requirements of a prompt on its placement. */
export type PromptDemand = Readonly<{
	promptTokens: TokenCount;
	objectiveMs: Milliseconds;
	longestPauseMs: Milliseconds;
	remainingMs: Milliseconds;
	/** Data centre of the gateway that received the request. */
	dataCentre: string;
	urgency: Urgency;
}>;

/** Share of a target from which on a predicted time is penalised; the margin covers delays that the prediction doesn't see. */
const penaltyStartShare = 0.7;
/** Share of a target at which the penalty is complete. */
const fullPenaltyShare = 1.05;

/** Additional penalty per multiple of the target, so that the faster of two servers wins even if both meet the target. */
const basePenaltySlope = 0.02;
/** Cost difference between the best and the worst rank of otherwise equal servers; lower than any real penalty. */
const maximumRankCost = 0.04;
/** Number of passes that a part of a prompt needs in addition to its prefill time: on average half of the running one, and its own. */
const passesUntilPrefilled = 1.5;

/** Prompt length that adds 1 to a request's weight, as much as its fixed part. */
const tokensPerWeight = 8000;

/** Maximum pause target of a route whose prompts count as short. */
const shortPromptPauseMs: Milliseconds = 300;

/** Cost of the first short prompt on a server while idle servers are scarce; it makes the server less suitable for the prefill of long ones. */
const firstShortSequenceCost = 0.3;
/** Cost of a server that long prompts use too for a short one, as long as others are left to it; more than that of a response from another data centre. */
const sharedServerCost = 0.5;
/** Share of idle servers from which on they aren't scarce; long prompts seldom occupy more than half of the servers. */
const ampleIdleShare = 0.5;
/** Cost of a response from another data centre, as a share of the request's weight; a lost packet there delays an event. */
const remoteDataCentreCost = 0.12;
/** Cost of reserving memory at another server: fixed, for the reservation calls, and as a share of the request's weight. */
const baseReservationCost = 0.3;
const reservationCostPerWeight = 0.05;
/** Prefill time from which on a server is unsuitable for short prompts. */
const blockingPrefillMs: Milliseconds = 250;
/** Share of a server's slots that short prompts fill before they need another server. */
const shortPromptSlotShare = 0.6;
/** Share of the servers that is kept free for short prompts yet to arrive. */
const spareServerShare = 0.2;
/** Cost per second of each server missing for short prompts: the weight of the short prompts that arrive per server. */
const missingServerCostPerSecond = 6;
const millisecondsPerSecond = 1000;

/** Cost of taking the last free slot, which another gateway may take at the same time. */
const lastSlotCost = 0.8;
/** Terms of the estimated client timeout, after which a caller closes a stream without events: a minimum, and multiples of the latency targets. */
const clientTimeoutEstimate = {minimumMs: 2000, objectiveFactor: 4, pauseFactor: 8} as const;
/** Mean time that a request holds a slot, for predicting the wait when all slots are taken. */
const meanSlotHoldMs: Milliseconds = 2000;

/** Returns the cost of reserving memory at another server for a request of the given weight. */
export function getReservationCost(weight: number): number {
	return baseReservationCost + (weight * reservationCostPerWeight);
}

/** Returns the weight of a late request relative to others. */
export function getLatenessWeight(promptTokens: TokenCount): number {
	return 1 + (promptTokens / tokensPerWeight);
}

/** Returns the penalty of a predicted time: from 0 to 1 around the target, plus a small part that grows with the time. */
function getTargetPenalty(valueMs: Milliseconds, targetMs: Milliseconds): number {
	if (targetMs <= 0) {
		return 0;
	}

	const usedShare = valueMs / targetMs;
	if (usedShare <= penaltyStartShare) {
		return usedShare * basePenaltySlope;
	}

	return Math.min(1, (usedShare - penaltyStartShare) / (fullPenaltyShare - penaltyStartShare)) + (usedShare * basePenaltySlope);
}

function getContextTokens(sequences: readonly DecodingSequence[]): TokenCount {
	return sequences.reduce((sum, sequence) => sum + sequence.promptTokens, 0);
}

/** Returns the penalty of a server's decoding sequences, weighed by their urgency, if its prefill backlog grows by `addedMs`. */
export function getDecodingPenalty(engine: EngineProfile, load: EndpointLoad, addedMs: Milliseconds, urgency: Urgency): number {
	const passMs = getDecodePassMs(engine, load.decodingSequences.length, getContextTokens(load.decodingSequences));
	let penalty = 0;
	for (const sequence of load.decodingSequences) {
		const before = getTargetPenalty(passMs + load.prefillBacklogMs, sequence.longestPauseMs);
		const after = getTargetPenalty(passMs + load.prefillBacklogMs + addedMs, sequence.longestPauseMs);
		penalty += (after - before) * getLatenessWeight(sequence.promptTokens) * getRelativeWeight(urgency, sequence.priority);
	}

	return penalty;
}

/** Returns the predicted time until the prefill of a part that is sent now is complete. */
export function getPartPrefillMs(engine: EngineProfile, load: EndpointLoad, prefillMs: Milliseconds): Milliseconds {
	const passMs = getDecodePassMs(engine, load.decodingSequences.length, getContextTokens(load.decodingSequences));
	return (passMs * passesUntilPrefilled) + load.prefillBacklogMs + prefillMs;
}

/** Returns the cost that breaks ties between otherwise equal servers. */
export function getRankCost({rank}: Candidate): number {
	return rank * maximumRankCost;
}

/** Returns the predicted wait for a slot. */
export function getSlotWaitMs(engine: EngineProfile, load: EndpointLoad): Milliseconds {
	const waiting = load.requests - engine.slots + 1;
	return waiting <= 0 ? 0 : waiting * meanSlotHoldMs / engine.slots;
}

function hasShortSequence(load: EndpointLoad): boolean {
	return load.decodingSequences.some(({longestPauseMs}) => longestPauseMs > 0 && longestPauseMs <= shortPromptPauseMs);
}

/** Returns the scarcity of idle servers, from 0 to 1. */
export function getIdleScarcity(candidates: readonly Candidate[]): number {
	const idleCount = candidates.filter(({load}) => load.decodingSequences.length === 0 && load.prefillBacklogMs === 0).length;
	return Math.max(0, 1 - (idleCount / Math.max(1, candidates.length) / ampleIdleShare));
}

/** Inputs of a receiver's cost besides the receiver's own load. */
export type PlacementContext = Readonly<{
	/** Prefill time of each part. */
	prefillMs: Milliseconds;
	/** Scarcity of idle servers, from 0 to 1. */
	idleScarcity: number;
}>;

/** Returns the cost of placing a prompt on a receiver, for its decoding sequences and the prompt, without the delay of the first event. */
export function getReceiverCost(engine: EngineProfile, candidate: Candidate, demand: PromptDemand, {prefillMs, idleScarcity}: PlacementContext): number {
	const {load, pace = 1} = candidate;
	const weight = getLatenessWeight(demand.promptTokens);
	const passMs = getDecodePassMs(engine, load.decodingSequences.length + 1, getContextTokens(load.decodingSequences) + demand.promptTokens);
	let cost = getDecodingPenalty(engine, load, prefillMs, demand.urgency);
	cost += weight * getTargetPenalty((passMs + load.prefillBacklogMs) * pace, demand.longestPauseMs);
	if (candidate.endpoint.dataCentre !== demand.dataCentre) {
		cost += weight * remoteDataCentreCost;
	}

	if (load.requests >= engine.slots - 1) {
		cost += lastSlotCost;
	}

	if (getFreeTokens(engine, load) < demand.promptTokens) {
		cost += getReservationCost(weight);
	}

	if (demand.longestPauseMs <= shortPromptPauseMs) {
		cost += (candidate.isShared === true ? sharedServerCost : 0) + getRankCost(candidate) + (hasShortSequence(load) ? 0 : firstShortSequenceCost * idleScarcity);
	}

	return cost;
}

/** Returns the estimated client timeout: the time that a caller is expected to wait for the first event before it closes the connection. */
export function getClientTimeoutEstimateMs({objectiveMs, longestPauseMs}: Pick<PromptDemand, 'objectiveMs' | 'longestPauseMs'>): Milliseconds {
	return Math.max(clientTimeoutEstimate.minimumMs, objectiveMs * clientTimeoutEstimate.objectiveFactor, longestPauseMs * clientTimeoutEstimate.pauseFactor);
}

/** Returns the cost of the first event's delay if the candidate's part is ready after `readyMs`. */
export function getDelayCost(weight: number, readyMs: Milliseconds, demand: PromptDemand): number {
	const lateCost = weight * (getTargetPenalty(readyMs, demand.objectiveMs) + (Math.max(0, readyMs - demand.objectiveMs) / getClientTimeoutEstimateMs(demand)));
	return readyMs > demand.remainingMs ? lateCost + (2 * weight) : lateCost;
}

/** Returns the number of servers needed for short prompts, both open ones and those yet to arrive. */
function getShortPromptServerCount(engine: EngineProfile, candidates: readonly Candidate[]): number {
	const requests = candidates.reduce((sum, {load}) => sum + (hasShortSequence(load) ? load.requests : 0), 0);
	return requests === 0 ? 0 : (requests / (engine.slots * shortPromptSlotShare)) + (candidates.length * spareServerShare);
}

/** Returns the cost of occupying so many servers with prefill that too few remain for short prompts that arrive meanwhile. */
export function getBlockingCost(engine: EngineProfile, candidates: readonly Candidate[], prefillCandidates: ReadonlySet<Candidate>, prefillMs: Milliseconds): number {
	if (prefillMs < blockingPrefillMs) {
		return 0;
	}

	const idleCount = candidates.filter(candidate => !prefillCandidates.has(candidate) && candidate.load.prefillBacklogMs < blockingPrefillMs).length;
	const missingCount = Math.max(0, getShortPromptServerCount(engine, candidates) - idleCount);
	return missingCount * prefillMs / millisecondsPerSecond * missingServerCostPerSecond;
}

