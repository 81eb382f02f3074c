/**
Placement of requests without a prompt by the work that their endpoints still have to do.

The load that it answers: requests of uneven cost, seen by many gateways whose views of each other's requests are late. A
request goes to the one of two drawn endpoints where it ends sooner. Gateways that choose the best of all endpoints send
their requests to the same one until they see each other's; of two that are drawn, the best one is among the two seldom
enough that it isn't flooded. The first is drawn from the gateway's own data centre if there is one. Only while a gateway's
view proves right, it compares all endpoints.
*/
import type {Random} from '../random.js';
import type {Milliseconds} from '../types.js';
import type {Candidate} from './placement-cost.js';
import type {Placement} from './placement.js';

/** An endpoint that may receive a request, and the service time left of the requests that it has, as one slot would need for it. */
export type ServiceCandidate = Candidate & Readonly<{workLeftMs: Milliseconds}>;

/** Share of the service time by which the second of two endpoints must be better. Views are too late for smaller differences. */
const minimumGainShare = 0.25;
/** Trust in the view from which on all endpoints are compared. */
const highTrust = 0.9;
/** Largest difference of the ranks of otherwise equal endpoints, as a time. */
const rankMs: Milliseconds = 1;
/** Delay of a response from another data centre. */
const remoteDataCentreMs: Milliseconds = 4;
/** Share by which an endpoint whose slots are all taken is slower than an idle one. */
const fullSlowdown = 0.3;

/** Returns the mean number of requests of the candidates. */
export function getMeanRequests(candidates: readonly Candidate[]): number {
	return candidates.reduce((sum, {load}) => sum + load.requests, 0) / Math.max(1, candidates.length);
}

/** Returns the candidates with likely loads: drawn towards the mean by what can't be trusted of their differences. */
function getLikelyLoads(candidates: readonly ServiceCandidate[], trust: number): readonly ServiceCandidate[] {
	const meanRequests = getMeanRequests(candidates);
	const meanWorkLeftMs = candidates.reduce((sum, {workLeftMs}) => sum + workLeftMs, 0) / Math.max(1, candidates.length);
	return candidates.map(candidate => ({
		...candidate,
		load: {...candidate.load, requests: meanRequests + (trust * (candidate.load.requests - meanRequests))},
		workLeftMs: meanWorkLeftMs + (trust * (candidate.workLeftMs - meanWorkLeftMs)),
	}));
}

function isFull({load, endpoint}: ServiceCandidate): boolean {
	return load.requests >= Math.max(1, endpoint.slots);
}

/** Returns the predicted time until a request of the given service time ends at an endpoint. */
export function getEndMs(candidate: ServiceCandidate, serviceMs: Milliseconds, dataCentre: string): Milliseconds {
	const {endpoint, load, workLeftMs, pace = 1} = candidate;
	const slots = Math.max(1, endpoint.slots);
	const waitMs = isFull(candidate) ? workLeftMs / slots : 0;
	const ownMs = serviceMs * (1 + (fullSlowdown * Math.min(1, load.requests / slots)));
	return ((waitMs + ownMs) * pace) + (endpoint.dataCentre === dataCentre ? 0 : remoteDataCentreMs);
}

function drawCandidate(candidates: readonly ServiceCandidate[], random: Random): ServiceCandidate | undefined {
	return candidates.length === 0 ? undefined : candidates[random.getInteger(candidates.length)];
}

/** `trust` is how far the differences of the candidates' loads can be trusted, from 0 to 1. */
export type ServiceContext = Readonly<{dataCentre: string; random: Random; trust: number}>;

/** Returns the placement of a request of the given service time, or `undefined` if there is no candidate. */
export function findLeastWorkPlacement(
	candidates: readonly ServiceCandidate[],
	serviceMs: Milliseconds,
	context: ServiceContext,
): Placement | undefined {
	const {dataCentre, random, trust} = context;
	const likely = getLikelyLoads(candidates, trust);
	const chosen = trust >= highTrust ? findSoonest(likely, serviceMs, dataCentre) : findSoonerOfTwo(likely, serviceMs, {dataCentre, random});
	return chosen === undefined
		? undefined
		: {
			endpoint: chosen.endpoint, helpers: [], prefillMs: 0, firstEventMs: 0, interferenceCost: 0, serviceMs, pace: chosen.pace ?? 1, isQueued: isFull(chosen),
		};
}

function findSoonest(candidates: readonly ServiceCandidate[], serviceMs: Milliseconds, dataCentre: string): ServiceCandidate | undefined {
	let best: ServiceCandidate | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const endMs = getEndMs(candidate, serviceMs, dataCentre) + (candidate.rank * rankMs);
		if (endMs < bestMs) {
			best = candidate;
			bestMs = endMs;
		}
	}

	return best;
}

function findSoonerOfTwo(
	candidates: readonly ServiceCandidate[],
	serviceMs: Milliseconds,
	{dataCentre, random}: Omit<ServiceContext, 'trust'>,
): ServiceCandidate | undefined {
	const near = candidates.filter(({endpoint}) => endpoint.dataCentre === dataCentre);
	const first = drawCandidate(near, random) ?? drawCandidate(candidates, random);
	if (first === undefined) {
		return undefined;
	}

	const second = drawCandidate(candidates.filter(candidate => candidate !== first), random) ?? first;
	const gainMs = getEndMs(first, serviceMs, dataCentre) - getEndMs(second, serviceMs, dataCentre);
	return gainMs > serviceMs * minimumGainShare ? second : first;
}
