/**
Choice of the endpoints for a request.

A prompt goes to the server, or is read by the group of servers, where the request itself and the requests already
there lose least: a request loses when its first event or one of its pauses comes later than its route aims at. Where
servers without work are scarce, short prompts are packed onto few servers, since writers cost each other little, and that
leaves servers without writers for the reading of long prompts; else they are spread.
*/
import type {Milliseconds, TokenCount} from '../types.js';
import {getReadMs} from './engine-timing.js';
import type {EndpointId, EngineProfile, ListedEndpoint} from './gateway-types.js';
import {
	getBlockingCost, getDelayCost, getLateWeight, getPartReadMs, getRankCost, getReceiverCost, getScarcity, getReservationCost, getSlotWaitMs, getWritersLoss,
	type Candidate, type PromptDemand,
} from './placement-cost.js';
import {getFreeTokens, getReservedTokens} from './placement-memory.js';

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
	/** What other requests lose by it, in units of a short request that comes late. */
	harm: number;
}>;

/** Share of an endpoint's slots that the way to another data centre counts for. */
const remoteLoadShare = 0.1;
/** Most endpoints that may help, by the servers' protocol. */
const maximumHelpers = 16;

/** Numbers of helpers that are compared. */
const helperCounts: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 14, maximumHelpers];

/** Prompts below this reading time are not split where one server holds them; one chunk's time is the least that a part costs. */
const shortestSplitReadMs: Milliseconds = 120;

/** Cost of one more server that reads. */
const readerCost = 0.03;
/** Requests that a server can help with at once are as many as its slots; so many are left to what is not known yet. */
const spareHelps = 3;
type Part = Readonly<{candidate: Candidate; cost: number; readyMs: Milliseconds}>;

type Option = Readonly<{placement: Placement; cost: number}>;

function compareParts(left: Part, right: Part): number {
	return left.cost - right.cost;
}

function createOption(
	engine: EngineProfile,
	candidates: readonly Candidate[],
	demand: PromptDemand,
	helperCount: number,
): Option | undefined {
	const weight = getLateWeight(demand.promptTokens);
	const scarcity = getScarcity(candidates);
	const readMs = getReadMs(engine, demand.promptTokens) / (helperCount + 1);
	const fitting = helperCount > 0 ? candidates : candidates.filter(({load}) => getFreeTokens(engine, load) >= demand.promptTokens);
	const receivers = fitting.map((candidate): Part => {
		const readyMs = getPartReadMs(engine, candidate.load, readMs) + getSlotWaitMs(engine, candidate.load);
		return {candidate, readyMs, cost: getReceiverCost(engine, candidate, demand, {readMs, scarcity}) + getDelayCost(weight, readyMs, demand)};
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
	const partsCost = parts.reduce((sum, part) => sum + part.cost - getDelayCost(weight, part.readyMs, demand), 0);
	const blockingCost = getBlockingCost(engine, candidates, new Set(parts.map(({candidate}) => candidate)), readMs);
	const harm = blockingCost + parts.reduce((sum, {candidate}) => sum + getWritersLoss(engine, candidate.load, readMs), 0);
	return {
		placement: {
			endpoint: receiver.candidate.endpoint,
			helpers: helpers.map(({candidate}, index) => ({endpoint: candidate.endpoint, reservedTokens: reserved[index] ?? 0})),
			readMs,
			firstEventMs,
			harm,
		},
		cost: partsCost + getDelayCost(weight, firstEventMs, demand) + (helperCount * readerCost) + blockingCost
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

/** Returns the best placement of a prompt, or `undefined` when there is no endpoint. */
export function findPromptPlacement(engine: EngineProfile, candidates: readonly Candidate[], demand: PromptDemand): Placement | undefined {
	const findOption = (counts: readonly number[]): Option | undefined =>
		findCheapest(counts.flatMap(count => createOption(engine, candidates, demand, count) ?? []));
	const isSplit = getReadMs(engine, demand.promptTokens) > shortestSplitReadMs;
	// What no single server holds is split however fast it is read.
	const option = isSplit ? findOption(helperCounts) : findOption([0]) ?? findOption(helperCounts);
	return option?.placement;
}

/** Returns the endpoint of a service with the least work for its size; of equal ones, one in the same data centre. */
export function findServicePlacement(candidates: readonly Candidate[], dataCentre: string): Placement | undefined {
	const ranked = candidates.map(candidate => ({
		endpoint: candidate.endpoint,
		cost: (candidate.load.requests / Math.max(1, candidate.endpoint.slots)) + getRankCost(candidate)
			+ (candidate.endpoint.dataCentre === dataCentre ? 0 : remoteLoadShare),
	}));
	const best = findCheapest(ranked);
	return best === undefined
		? undefined
		: {
			endpoint: best.endpoint, helpers: [], readMs: 0, firstEventMs: 0, harm: 0,
		};
}

/** Returns the candidates that are not excluded. */
export function getCandidates(
	endpoints: readonly ListedEndpoint[],
	excluded: ReadonlySet<EndpointId>,
	describe: (endpoint: EndpointId) => Omit<Candidate, 'endpoint'>,
): readonly Candidate[] {
	return endpoints.filter(({id}) => !excluded.has(id)).map(endpoint => ({endpoint, ...describe(endpoint.id)}));
}
