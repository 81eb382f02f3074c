/**
What a placement costs the requests that it touches, in units of a short request that comes late.

A request loses when its first event or one of its pauses comes later than its route aims at. The prediction is rough, so
that losses rise gradually around an aim.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import {getWritingPassMs} from './engine-timing.js';
import type {EngineProfile, ListedEndpoint} from './gateway-types.js';
import type {EndpointLoad, Writer} from './load-view.js';
import {getFreeTokens} from './placement-memory.js';

/** An endpoint that may get a request, and what it has to do. */
export type Candidate = Readonly<{
	endpoint: ListedEndpoint;
	load: EndpointLoad;
	/** From 0 to 1, lower is better; differs from gateway to gateway, so that not all choose the same of several equal ones. */
	rank: number;
}>;

/** What a prompt asks of its placement. */
export type PromptDemand = Readonly<{
	promptTokens: TokenCount;
	objectiveMs: Milliseconds;
	longestPauseMs: Milliseconds;
	remainingMs: Milliseconds;
	/** Where the request came in. */
	dataCentre: string;
}>;

/** Share of an aim that the prediction may use up before it counts as a loss; the rest covers what it does not see. */
const safeShare = 0.7;
/** Share of an aim at which a loss is certain. */
const lostShare = 1.05;

/** Loss of a whole aim used up, which lets the faster of two safe servers win. */
const preferenceSlope = 0.02;
/** Cost between the first and the last of servers that are equal otherwise; below that of any loss. */
const rankCost = 0.04;
/** Passes until a part is begun: half of the one under way, and its own. */
const passesUntilRead = 1.5;

/** Prompt length that weighs as much as the fixed part of a request's weight. */
const tokensPerWeight = 8000;

/** Longest pause that marks a writer as one of a short prompt. */
const shortPauseMs: Milliseconds = 300;

/** Cost of the first short prompt on a server where servers without work are scarce; the server becomes worse for reading long ones. */
const firstShortWriterCost = 0.3;
/** Share of the servers without work from which on they are not scarce; long prompts seldom read on more than half of them. */
const amplyFreeShare = 0.5;
/** Share of an answer's value that is lost between data centres, where a lost packet delays an event. */
const remoteCost = 0.12;
/** Cost of memory that has to be set aside at another server: of its orders, and as a share of the request's value. */
const leastReservationCost = 0.3;
const reservationCost = 0.05;
/** Reading time at which a server is no place for short prompts. */
const blockingReadMs: Milliseconds = 250;
/** Share of the slots that short prompts fill before they need one more server. */
const shortFillShare = 0.6;
/** Share of the servers that is kept free for short prompts which are still to come. */
const spareServerShare = 0.2;
/** Cost of a missing server in a second: the weight of the short prompts that come to one. */
const blockedServerCost = 6;
const millisecondsPerSecond = 1000;

/** Cost of the last free slot, which another gateway may take at the same moment. */
const lastSlotCost = 0.8;
/** Least wait after which callers leave a stream without events, and its multiples of the aims. */
const patience = {leastMs: 2000, objectives: 4, pauses: 8} as const;
/** Mean time that a request holds a slot, for the wait when all are taken. */
const usualHoldMs: Milliseconds = 2000;

/** Returns the cost of setting memory aside at another server for a request of the weight. */
export function getReservationCost(weight: number): number {
	return leastReservationCost + (weight * reservationCost);
}

/** Returns the weight of a request that comes late, against others. */
export function getLateWeight(promptTokens: TokenCount): number {
	return 1 + (promptTokens / tokensPerWeight);
}

/** Returns how much of an aim is lost, from 0 to 1, and a little more the later it is. */
function getLoss(valueMs: Milliseconds, aimMs: Milliseconds): number {
	if (aimMs <= 0) {
		return 0;
	}

	const used = valueMs / aimMs;
	if (used <= safeShare) {
		return used * preferenceSlope;
	}

	return Math.min(1, (used - safeShare) / (lostShare - safeShare)) + (used * preferenceSlope);
}

function getContextTokens(writers: readonly Writer[]): TokenCount {
	return writers.reduce((sum, writer) => sum + writer.promptTokens, 0);
}

/** Returns what the writers of a server lose when it reads for so much longer. */
export function getWritersLoss(engine: EngineProfile, load: EndpointLoad, addedMs: Milliseconds): number {
	const passMs = getWritingPassMs(engine, load.writers.length, getContextTokens(load.writers));
	let loss = 0;
	for (const writer of load.writers) {
		const before = getLoss(passMs + load.readMs, writer.longestPauseMs);
		const after = getLoss(passMs + load.readMs + addedMs, writer.longestPauseMs);
		loss += (after - before) * getLateWeight(writer.promptTokens);
	}

	return loss;
}

/** Returns the predicted time until a part that is sent now is read. */
export function getPartReadMs(engine: EngineProfile, load: EndpointLoad, readMs: Milliseconds): Milliseconds {
	const passMs = getWritingPassMs(engine, load.writers.length, getContextTokens(load.writers));
	return (passMs * passesUntilRead) + load.readMs + readMs;
}

/** Returns the cost that tells apart servers which are equal otherwise. */
export function getRankCost({rank}: Candidate): number {
	return rank * rankCost;
}

/** Returns the predicted wait for a slot. */
export function getSlotWaitMs(engine: EngineProfile, load: EndpointLoad): Milliseconds {
	const waiting = load.requests - engine.slots + 1;
	return waiting <= 0 ? 0 : waiting * usualHoldMs / engine.slots;
}

function hasShortWriter(load: EndpointLoad): boolean {
	return load.writers.some(({longestPauseMs}) => longestPauseMs > 0 && longestPauseMs <= shortPauseMs);
}

/** Returns how scarce servers without work are, from 0 to 1. */
export function getScarcity(candidates: readonly Candidate[]): number {
	const free = candidates.filter(({load}) => load.writers.length === 0 && load.readMs === 0).length;
	return Math.max(0, 1 - (free / Math.max(1, candidates.length) / amplyFreeShare));
}

/** What the cost of a receiver depends on beside its own load. */
export type PlacementContext = Readonly<{
	/** Time that each server reads. */
	readMs: Milliseconds;
	/** How scarce servers without work are, from 0 to 1. */
	scarcity: number;
}>;

/** Returns what a server's own writers and the prompt lose when the server receives it, but for the time until its first event. */
export function getReceiverCost(engine: EngineProfile, candidate: Candidate, demand: PromptDemand, {readMs, scarcity}: PlacementContext): number {
	const {load} = candidate;
	const weight = getLateWeight(demand.promptTokens);
	const passMs = getWritingPassMs(engine, load.writers.length + 1, getContextTokens(load.writers) + demand.promptTokens);
	let cost = getWritersLoss(engine, load, readMs);
	cost += weight * getLoss(passMs + load.readMs, demand.longestPauseMs);
	if (candidate.endpoint.dataCentre !== demand.dataCentre) {
		cost += weight * remoteCost;
	}

	if (load.requests >= engine.slots - 1) {
		cost += lastSlotCost;
	}

	if (getFreeTokens(engine, load) < demand.promptTokens) {
		cost += getReservationCost(weight);
	}

	if (demand.longestPauseMs <= shortPauseMs) {
		cost += getRankCost(candidate) + (hasShortWriter(load) ? 0 : firstShortWriterCost * scarcity);
	}

	return cost;
}

/** Returns how long a caller waits for the first event. */
export function getPatienceMs({objectiveMs, longestPauseMs}: Pick<PromptDemand, 'objectiveMs' | 'longestPauseMs'>): Milliseconds {
	return Math.max(patience.leastMs, objectiveMs * patience.objectives, longestPauseMs * patience.pauses);
}

/** Returns the cost that a candidate adds by what it delays the whole request. */
export function getDelayCost(weight: number, readyMs: Milliseconds, demand: PromptDemand): number {
	const lateCost = weight * (getLoss(readyMs, demand.objectiveMs) + (Math.max(0, readyMs - demand.objectiveMs) / getPatienceMs(demand)));
	return readyMs > demand.remainingMs ? lateCost + (2 * weight) : lateCost;
}

/** Returns how many servers the short prompts need that are open now. */
function getServersForShort(engine: EngineProfile, candidates: readonly Candidate[]): number {
	const requests = candidates.reduce((sum, {load}) => sum + (hasShortWriter(load) ? load.requests : 0), 0);
	return requests === 0 ? 0 : (requests / (engine.slots * shortFillShare)) + (candidates.length * spareServerShare);
}

/** Returns the cost of reading on so many servers that too few are left for short prompts that come meanwhile. */
export function getBlockingCost(engine: EngineProfile, candidates: readonly Candidate[], readers: ReadonlySet<Candidate>, readMs: Milliseconds): number {
	if (readMs < blockingReadMs) {
		return 0;
	}

	const free = candidates.filter(candidate => !readers.has(candidate) && candidate.load.readMs < blockingReadMs).length;
	const missing = Math.max(0, getServersForShort(engine, candidates) - free);
	return missing * readMs / millisecondsPerSecond * blockedServerCost;
}

