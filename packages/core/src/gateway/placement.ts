/**
Choice of the endpoints for a request.

A prompt goes to the server, or is read by the group of servers, where the request itself and the requests already
there lose least: a request loses when its first event or one of its pauses comes later than its route aims at. Short
prompts are packed onto few servers, since writers cost each other little, and that leaves servers without writers for
the reading of long prompts.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import {getReadMs, getWritingPassMs} from './engine-timing.js';
import type {EndpointId, EngineProfile, ListedEndpoint} from './gateway-types.js';
import type {EndpointLoad, Writer} from './load-view.js';

export type Candidate = Readonly<{endpoint: ListedEndpoint; load: EndpointLoad}>;

/** What a prompt asks of its placement. */
export type PromptDemand = Readonly<{
	promptTokens: TokenCount;
	objectiveMs: Milliseconds;
	longestPauseMs: Milliseconds;
	remainingMs: Milliseconds;
	/** Where the request came in. */
	dataCentre: string;
}>;

/** An endpoint that helps to read, and the memory to set aside there; 0 where the part is handed over once it is read. */
export type Helper = Readonly<{endpoint: ListedEndpoint; reservedTokens: TokenCount}>;

export type Placement = Readonly<{
	endpoint: ListedEndpoint;
	/** Endpoints that read parts of the prompt beside the one that receives it. */
	helpers: readonly Helper[];
	/** Time that each of the endpoints reads. */
	readMs: Milliseconds;
	/** Predicted time to the first event. */
	firstEventMs: Milliseconds;
}>;

/** Most endpoints that may help, by the servers' protocol. */
const maximumHelpers = 16;

/** Numbers of helpers that are compared. */
const helperCounts: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, maximumHelpers];

/** Prompts below this reading time are never split; one chunk's time is the least that a part costs. */
const shortestSplitReadMs: Milliseconds = 120;

/** Share of an aim that the prediction may use up before it counts as a loss; the rest covers what it does not see. */
const safeShare = 0.7;
/** Share of an aim at which a loss is certain. */
const lostShare = 1.05;

/** Prompt length that weighs as much as the fixed part of a request's weight. */
const tokensPerWeight = 8000;

/** Longest pause that marks a writer as one of a short prompt. */
const shortPauseMs: Milliseconds = 300;

/** Cost of the first short prompt on a server, which makes the server worse for reading long ones. */
const firstShortWriterCost = 0.3;
/** Share of an answer's value that is lost between data centres, where a lost packet delays an event. */
const remoteCost = 0.12;
/** Cost of one more server that reads. */
const readerCost = 0.03;
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
/** Cost of memory that has to be set aside at another server: of its orders, and as a share of the request's value. */
const leastReservationCost = 0.3;
const reservationCost = 0.05;
/** Requests that a server can help with at once are as many as its slots; so many are left to what is not known yet. */
const spareHelps = 3;
/** Share of a server's memory that is planned for; the rest is for answers as they grow and for what is not yet known. */
const plannedMemoryShare = 0.93;
/** Least memory that is worth a reservation. */
const leastReservedTokens: TokenCount = 8000;
/** Least wait after which callers leave a stream without events, and its multiples of the aims. */
const patience = {leastMs: 2000, objectives: 4, pauses: 8} as const;
/** Mean time that a request holds a slot, for the wait when all are taken. */
const usualHoldMs: Milliseconds = 2000;

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
		return used * 0.02;
	}

	return Math.min(1, (used - safeShare) / (lostShare - safeShare)) + (used * 0.02);
}

function getContextTokens(writers: readonly Writer[]): TokenCount {
	return writers.reduce((sum, writer) => sum + writer.promptTokens, 0);
}

/** Returns what the writers of a server lose when it reads for so much longer. */
function getWritersLoss(engine: EngineProfile, load: EndpointLoad, addedMs: Milliseconds): number {
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
function getPartReadMs(engine: EngineProfile, load: EndpointLoad, readMs: Milliseconds): Milliseconds {
	const passMs = getWritingPassMs(engine, load.writers.length, getContextTokens(load.writers));
	return (passMs * 1.5) + load.readMs + readMs;
}

function getSlotWaitMs(engine: EngineProfile, load: EndpointLoad): Milliseconds {
	const waiting = load.requests - engine.slots + 1;
	return waiting <= 0 ? 0 : waiting * usualHoldMs / engine.slots;
}

function hasShortWriter(load: EndpointLoad): boolean {
	return load.writers.some(({longestPauseMs}) => longestPauseMs > 0 && longestPauseMs <= shortPauseMs);
}

function getReceiverCost(engine: EngineProfile, candidate: Candidate, demand: PromptDemand, readMs: Milliseconds): number {
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
		cost += leastReservationCost + (weight * reservationCost);
	}

	if (demand.longestPauseMs <= shortPauseMs && !hasShortWriter(load)) {
		cost += firstShortWriterCost;
	}

	return cost;
}

type Part = Readonly<{candidate: Candidate; cost: number; readyMs: Milliseconds}>;

type Option = Readonly<{placement: Placement; cost: number}>;

function compareParts(left: Part, right: Part): number {
	return left.cost - right.cost;
}

/** Returns how long a caller waits for the first event. */
export function getPatienceMs({objectiveMs, longestPauseMs}: Pick<PromptDemand, 'objectiveMs' | 'longestPauseMs'>): Milliseconds {
	return Math.max(patience.leastMs, objectiveMs * patience.objectives, longestPauseMs * patience.pauses);
}

/** Returns the cost that a candidate adds by what it delays the whole request. */
function getDelayCost(weight: number, readyMs: Milliseconds, demand: PromptDemand): number {
	const lateCost = weight * (getLoss(readyMs, demand.objectiveMs) + (Math.max(0, readyMs - demand.objectiveMs) / getPatienceMs(demand)));
	return readyMs > demand.remainingMs ? lateCost + (2 * weight) : lateCost;
}

function createOption(
	engine: EngineProfile,
	candidates: readonly Candidate[],
	demand: PromptDemand,
	helperCount: number,
): Option | undefined {
	const weight = getLateWeight(demand.promptTokens);
	const readMs = getReadMs(engine, demand.promptTokens) / (helperCount + 1);
	const fitting = helperCount > 0 ? candidates : candidates.filter(({load}) => getFreeTokens(engine, load) >= demand.promptTokens);
	const receivers = fitting.map((candidate): Part => {
		const readyMs = getPartReadMs(engine, candidate.load, readMs) + getSlotWaitMs(engine, candidate.load);
		return {candidate, readyMs, cost: getReceiverCost(engine, candidate, demand, readMs) + getDelayCost(weight, readyMs, demand)};
	});
	const receiver = findCheapest(receivers);
	if (receiver === undefined) {
		return undefined;
	}

	const others = helperCount === 0
		? []
		: candidates.filter(candidate => candidate !== receiver.candidate && candidate.load.helped < engine.slots - spareHelps).map((candidate): Part => {
			const readyMs = getPartReadMs(engine, candidate.load, readMs);
			return {candidate, readyMs, cost: getWritersLoss(engine, candidate.load, readMs) + getDelayCost(weight, readyMs, demand)};
		});
	const helpers = others.toSorted(compareParts).slice(0, helperCount);
	if (helpers.length < helperCount) {
		return undefined;
	}

	const reserved = getReservedTokens(engine, demand.promptTokens, [receiver, ...helpers].map(({candidate}) => candidate));
	if (reserved === undefined) {
		return undefined;
	}

	const parts = [receiver, ...helpers];
	const firstEventMs = Math.max(...parts.map(({readyMs}) => readyMs));
	const harm = parts.reduce((sum, part) => sum + part.cost - getDelayCost(weight, part.readyMs, demand), 0);
	return {
		placement: {
			endpoint: receiver.candidate.endpoint, helpers: helpers.map(({candidate}, index) => ({endpoint: candidate.endpoint, reservedTokens: reserved[index] ?? 0})), readMs, firstEventMs,
		},
		cost: harm + getDelayCost(weight, firstEventMs, demand) + (helperCount * readerCost) + getBlockingCost(engine, candidates, parts, readMs)
			+ (reserved.filter(tokens => tokens > 0).length * reservationCost * weight),
	};
}

/** Returns how many servers the short prompts need that are open now. */
function getServersForShort(engine: EngineProfile, candidates: readonly Candidate[]): number {
	const requests = candidates.reduce((sum, {load}) => sum + (hasShortWriter(load) ? load.requests : 0), 0);
	return (requests / (engine.slots * shortFillShare)) + (candidates.length * spareServerShare);
}

/** Returns the cost of reading on so many servers that too few are left for short prompts that come meanwhile. */
function getBlockingCost(engine: EngineProfile, candidates: readonly Candidate[], parts: readonly Part[], readMs: Milliseconds): number {
	if (readMs < blockingReadMs) {
		return 0;
	}

	const readers = new Set(parts.map(({candidate}) => candidate));
	const free = candidates.filter(candidate => !readers.has(candidate) && candidate.load.readMs < blockingReadMs).length;
	const missing = Math.max(0, getServersForShort(engine, candidates) - free);
	return missing * readMs / millisecondsPerSecond * blockedServerCost;
}

function getFreeTokens(engine: EngineProfile, load: EndpointLoad): TokenCount {
	return Math.max(0, (engine.memoryTokens * plannedMemoryShare) - load.memoryTokens);
}

/**
Returns the memory to set aside at each helper, so that the rest fits at the receiver, the first of the candidates; or
`undefined` when all of them together have too little.
*/
function getReservedTokens(engine: EngineProfile, promptTokens: TokenCount, [receiver, ...helpers]: readonly Candidate[]): readonly TokenCount[] | undefined {
	let missing = promptTokens - (receiver === undefined ? 0 : getFreeTokens(engine, receiver.load));
	const reserved = helpers.map(({load}) => {
		const free = getFreeTokens(engine, load);
		if (missing <= 0 || free < leastReservedTokens) {
			return 0;
		}

		const tokens = Math.ceil(Math.min(free, Math.max(missing, leastReservedTokens)));
		missing -= tokens;
		return tokens;
	});
	return missing > 0 ? undefined : reserved;
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

/** Returns the best placement of a prompt, or `undefined` when there is no endpoint. */
export function findPromptPlacement(engine: EngineProfile, candidates: readonly Candidate[], demand: PromptDemand): Placement | undefined {
	const isSplit = getReadMs(engine, demand.promptTokens) > shortestSplitReadMs;
	const counts = isSplit ? helperCounts : [0];
	const options = counts.flatMap(count => createOption(engine, candidates, demand, count) ?? []);
	return findCheapest(options)?.placement;
}

/** Returns the endpoint of a service with the least work for its size; of equal ones, one in the same data centre. */
export function findServicePlacement(candidates: readonly Candidate[], dataCentre: string): Placement | undefined {
	const ranked = candidates.map(({endpoint, load}) => ({
		endpoint,
		cost: (load.requests / Math.max(1, endpoint.slots)) + (endpoint.dataCentre === dataCentre ? 0 : 0.1),
	}));
	const best = findCheapest(ranked);
	return best === undefined
		? undefined
		: {
			endpoint: best.endpoint, helpers: [], readMs: 0, firstEventMs: 0,
		};
}

/** Returns the candidates that are not excluded. */
export function getCandidates(
	endpoints: readonly ListedEndpoint[],
	excluded: ReadonlySet<EndpointId>,
	getLoad: (endpoint: EndpointId) => EndpointLoad,
): readonly Candidate[] {
	return endpoints.filter(({id}) => !excluded.has(id)).map(endpoint => ({endpoint, load: getLoad(endpoint.id)}));
}
