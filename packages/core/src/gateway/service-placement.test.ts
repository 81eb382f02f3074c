/**
Placement by work left, with views that are late: generated loads in virtual time. The seed is fixed so that every run gives the
same result; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createRandom, type Random} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {getHash} from './endpoint-ranking.js';
import {createFixtureEndpoints} from './gateway-fixtures.js';
import type {EndpointLoad} from './load-view.js';
import {
	findLeastWorkPlacement, getMeanRequests, type ServiceCandidate,
} from './service-placement.js';
import {createViewTrust, type ViewTrust} from './view-trust.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 150),
};

const idle: EndpointLoad = {
	requests: 0, prefillBacklogMs: 0, helpedRequests: 0, decodingSequences: [], memoryTokens: 0,
};
const endpoints = createFixtureEndpoints('shop', 8);
const slots = 6;
const meanServiceMs = 40;
const requestCount = 1500;
/** Factor by which the means of two equally good policies may differ by chance. */
const noiseFactor = 1.1;

type Policy = (candidates: readonly ServiceCandidate[], random: Random, viewTrust: ViewTrust) => string | undefined;

type PlacedRequest = Readonly<{gateway: number; sentAt: Timestamp; endsAt: Timestamp; serviceMs: Milliseconds}>;

const placeByWork: Policy = (candidates, random, viewTrust) => findLeastWorkPlacement(candidates, meanServiceMs, {dataCentre: 'elsewhere', random, trust: viewTrust.getTrust()})?.endpoint.id;
const placeRandomly: Policy = (candidates, random) => candidates[random.getInteger(candidates.length)]?.endpoint.id;

/** Returns the mean time from the sending to the end of requests, whose gateways see each other's requests `viewAgeMs` late. */
function measureMeanMs(policy: Policy, {seed, gateways, viewAgeMs, usedShare}: Readonly<{seed: number; gateways: number; viewAgeMs: Milliseconds; usedShare: number}>): Milliseconds {
	const random = createRandom(seed);
	const policyRandom = createRandom(seed + 1);
	const trusts = Array.from({length: gateways}, () => createViewTrust());
	const requests = new Map<string, PlacedRequest[]>(endpoints.map(({id}) => [id, []]));
	const slotFreeAt = new Map<string, Timestamp[]>(endpoints.map(({id}) => [id, Array.from({length: slots}, () => 0)]));
	let clock = 0;
	let totalMs = 0;
	for (let index = 0; index < requestCount; index += 1) {
		clock += -Math.log(1 - random.getFraction()) * meanServiceMs / (endpoints.length * slots * usedShare);
		const now = clock;
		const gateway = random.getInteger(gateways);
		// Two kinds of requests that look alike: most are short, some are long.
		const serviceMs = random.getFraction() < 0.1 ? meanServiceMs * 5.5 : meanServiceMs * 0.5;
		const candidates = endpoints.map((endpoint): ServiceCandidate => {
			const seen = (requests.get(endpoint.id) ?? []).filter(request => {
				const delayMs = request.gateway === gateway ? 0 : viewAgeMs;
				return request.sentAt + delayMs <= now && request.endsAt + delayMs > now;
			});
			const workLeftMs = seen.reduce((sum, {sentAt}) => sum + Math.max(meanServiceMs - now + sentAt, meanServiceMs / 4), 0);
			return {
				endpoint, load: {...idle, requests: seen.length}, rank: getHash(`${gateway}/${endpoint.id}`) / (2 ** 32), workLeftMs,
			};
		});
		const viewTrust = trusts[gateway] ?? createViewTrust();
		const chosen = policy(candidates, policyRandom, viewTrust) ?? '';
		const freeAt = (slotFreeAt.get(chosen) ?? []).toSorted((left, right) => left - right);
		const endsAt = Math.max(now, freeAt[0] ?? 0) + serviceMs;
		slotFreeAt.set(chosen, [endsAt, ...freeAt.slice(1)]);
		const meanRequests = getMeanRequests(candidates);
		const seenRequests = candidates.find(({endpoint}) => endpoint.id === chosen)?.load.requests ?? 0;
		const reportedRequests = (requests.get(chosen) ?? []).filter(request => request.endsAt > now).length;
		viewTrust.learn(seenRequests - meanRequests, reportedRequests - meanRequests);
		const open = (requests.get(chosen) ?? []).filter(request => request.endsAt + viewAgeMs > now);
		requests.set(chosen, [...open, {
			gateway, sentAt: now, endsAt, serviceMs,
		}]);
		totalMs += endsAt - now;
	}

	return totalMs / requestCount;
}

/** Seeds of the loads whose mean is compared; a single load of this length may favour either policy by chance. */
const seedsPerCase = 6;

function measurePolicies(load: Readonly<{seed: number; gateways: number; viewAgeMs: Milliseconds; usedShare: number}>): Readonly<{byWorkMs: Milliseconds; randomMs: Milliseconds}> {
	let [byWorkMs, randomMs] = [0, 0];
	for (let index = 0; index < seedsPerCase; index += 1) {
		const seed = load.seed + index;
		byWorkMs += measureMeanMs(placeByWork, {...load, seed}) / seedsPerCase;
		randomMs += measureMeanMs(placeRandomly, {...load, seed}) / seedsPerCase;
	}

	return {byWorkMs, randomMs};
}

const usedShares = fc.constantFrom(0.6, 0.8, 0.9);

test.each([[1, 0], [5, 0], [5, 100], [30, 0], [30, 100]])('requests of %i gateways with views of %i ms of age end sooner than with random placement', (gateways, viewAgeMs) => {
	fc.assert(fc.property(fc.nat(1_000_000), usedShares, (seed, usedShare) => {
		const {byWorkMs, randomMs} = measurePolicies({
			seed, gateways, viewAgeMs, usedShare,
		});
		expect(byWorkMs).toBeLessThan(randomMs);
	}), parameters);
});

// Guards against gateways that all send to the endpoint that looks idle in views much older than the requests are long.
test.each([5, 30])('requests of %i gateways whose views say nothing any more end as soon as with random placement', gateways => {
	fc.assert(fc.property(fc.nat(1_000_000), usedShares, (seed, usedShare) => {
		const {byWorkMs, randomMs} = measurePolicies({
			seed, gateways, viewAgeMs: 500, usedShare,
		});
		expect(byWorkMs).toBeLessThan(randomMs * noiseFactor);
	}), parameters);
});

function createCandidate(index: number, changes: Partial<ServiceCandidate> & Readonly<{requests?: number}> = {}): ServiceCandidate {
	const [endpoint] = createFixtureEndpoints('shop', index + 1).slice(index);
	if (endpoint === undefined) {
		throw new Error('no such endpoint');
	}

	return {
		endpoint, load: {...idle, requests: changes.requests ?? 0}, rank: 0, workLeftMs: 0, ...changes,
	};
}

test.each([
	['that has a free slot', createCandidate(0, {requests: 6, workLeftMs: 200}), createCandidate(1, {requests: 5, workLeftMs: 150})],
	['with less work left, though it has more requests', createCandidate(0, {requests: 6, workLeftMs: 900}), createCandidate(1, {requests: 7, workLeftMs: 100})],
	['of usual pace', createCandidate(0, {pace: 5}), createCandidate(1, {requests: 3})],
])('of two endpoints the one is chosen %s', (_, worse, better) => {
	expect(findLeastWorkPlacement([worse, better], meanServiceMs, {dataCentre: 'east', random: createRandom(1), trust: 1})?.endpoint.id).toBe(better.endpoint.id);
});

test('an idle endpoint in the gateway\'s own data centre is chosen before one in another', () => {
	const candidates = [createCandidate(0), createCandidate(1)];
	expect(findLeastWorkPlacement(candidates, meanServiceMs, {dataCentre: 'west', random: createRandom(1), trust: 1})?.endpoint.id).toBe('shop-1');
});

test('there is no placement without a candidate', () => {
	expect(findLeastWorkPlacement([], meanServiceMs, {dataCentre: 'west', random: createRandom(1), trust: 1})).toBeUndefined();
});
