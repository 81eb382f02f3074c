/**
The order of urgent and less urgent requests under overload. The seed is fixed so that every run gives the same result;
CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureConfiguration, fixtureEngine, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import {createOrganisationWork} from './organisation-work.js';
import {
	getRelativeWeight, getSpreadRetryMs, getUrgencyLevels, hasMoreUrgentLevel, isWaitingForUrgent, singleLevel, tryGetAdmissionPriority,
} from './urgency.js';
import {runUrgencyScenario, type Flow} from './urgency-simulation.js';
import {createUrgentRoom} from './urgent-room.js';
import {createWaitingPrompts} from './waiting-prompts.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 25),
};

const urgentRoute = {...fixtureStreamRoute, priority: 0};
const longRoute = {
	...fixtureLongStreamRoute, priority: 2, objectiveMs: 8000, timeoutMs: 15_000,
};
const levels = [0, 1, 2];
/** Difference between shares that the few long prompts of a run make by chance. */
const onTimeMargin = 0.1;

describe('getUrgencyLevels', () => {
	const key = fixtureConfiguration.organisationsByKey;
	const routes = [urgentRoute, longRoute];

	test('names the priorities of a service whose routes differ, and no service whose routes agree', () => {
		expect(getUrgencyLevels({...fixtureConfiguration, routes})).toEqual(new Map([['models', [0, 2]]]));
		expect(getUrgencyLevels(fixtureConfiguration)).toEqual(new Map());
	});

	test('goes by the organisations where these have priorities', () => {
		const organisations = new Map([['club', {name: 'club', priority: 1, permittedRegions: []}], ['other', {name: 'other', priority: 4, permittedRegions: []}]]);
		expect(getUrgencyLevels({...fixtureConfiguration, routes, organisations})).toEqual(new Map());
		const organisationsByKey = new Map([...key ?? [], ['key-2', 'other']]);
		expect(getUrgencyLevels({
			...fixtureConfiguration, routes, organisations, organisationsByKey,
		}).get('models')).toEqual([1, 4]);
	});
});

test('an urgent request outweighs a less urgent one that is placed, which itself counts in full', () => {
	fc.assert(fc.property(fc.nat(12), fc.nat(12), fc.uniqueArray(fc.nat(12), {minLength: 2}), (priority, other, some) => {
		const sorted = [...new Set([...some, priority, other])].toSorted((left, right) => left - right);
		const weight = getRelativeWeight({priority, levels: sorted}, other);
		expect(Math.sign(weight - 1)).toBe(Math.max(0, Math.sign(priority - other)));
		expect(getRelativeWeight({priority, levels: singleLevel}, other)).toBe(1);
	}), parameters);
});

test('endpoints learn a priority from 0 to 9 where the requests of a service differ', () => {
	expect([0, 2, 40].map(priority => tryGetAdmissionPriority({priority, levels}))).toEqual([0, 2, 9]);
	expect(tryGetAdmissionPriority({priority: 2, levels: singleLevel})).toBeUndefined();
});

test('a prompt waits for more urgent ones only while it can meet its own target afterwards', () => {
	const request = createFixtureGatewayRequest(longRoute);
	const costs = {firstEventMs: 2000, interferenceCost: 50, ownWeight: 28};
	expect(isWaitingForUrgent(request, costs, 5000)).toBe(true);
	expect(isWaitingForUrgent(request, costs, 5500)).toBe(false);
	expect(isWaitingForUrgent(request, {...costs, interferenceCost: 20}, 0)).toBe(false);
	expect([0, 2].map(priority => hasMoreUrgentLevel({priority, levels}))).toEqual([false, true]);
});

test('refused requests come back spread over as long as the shortest wait', () => {
	const waits = Array.from({length: 400}, (_, index) => getSpreadRetryMs(1000, `request-${index}`, levels));
	const quarters = [1250, 1500, 1750, 2001].map(limit => waits.filter(wait => wait < limit).length);
	expect(Math.min(...waits)).toBeGreaterThanOrEqual(1000);
	expect(Math.max(...quarters.map((count, index) => count - (quarters[index - 1] ?? 0)))).toBeLessThan(200);
	expect(getSpreadRetryMs(1000, 'request-1', singleLevel)).toBe(1000);
});

describe('waiting prompts', () => {
	test('are retried by urgency, then by the recent work of their organisations, after all others', () => {
		const organisationWork = createOrganisationWork();
		const waiting = createWaitingPrompts(organisationWork);
		organisationWork.record('large', 9000, 0);
		organisationWork.record('small', 2000, 0);
		const requests = [
			createFixtureGatewayRequest(longRoute, {key: 1, organisation: 'large', arrivedAt: 0}),
			createFixtureGatewayRequest(longRoute, {key: 2, organisation: 'small', arrivedAt: 2}),
			createFixtureGatewayRequest(longRoute, {key: 3, organisation: 'small', arrivedAt: 1}),
			createFixtureGatewayRequest(urgentRoute, {key: 4, organisation: 'large', arrivedAt: 3}),
		];
		expect(requests.map(request => waiting.add(request))).toEqual([true, true, true, true]);
		expect(waiting.rank([1, 2, 3, 4, 5], 10)).toEqual([5, 4, 3, 2, 1]);
		expect(requests.map(request => waiting.hasMoreUrgent(request))).toEqual([true, true, true, false]);
		waiting.remove(4);
		expect(requests.map(request => waiting.hasMoreUrgent(request))).toEqual([false, false, false, false]);
	});

	test('an organisation that has sent nothing for a while is treated like a new one', () => {
		const organisationWork = createOrganisationWork();
		organisationWork.record('large', 8000, 0);
		expect(organisationWork.getWorkMs('large', 30_000)).toBe(1000);
	});
});

// Guards against halves of a cut that fill the servers which the other one leaves to urgent requests.
test('gateways that see different numbers of urgent streams leave the same servers first, and never more than three quarters', () => {
	const endpoints = createFixtureEndpoints('models', 20);
	const request = {service: 'models', promptTokens: 180_000, urgency: {priority: 2, levels}};
	const getOpenIds = (streamCount: number, hasArrival: boolean): readonly string[] => {
		const room = createUrgentRoom();
		if (hasArrival) {
			room.recordArrival(createFixtureGatewayRequest(urgentRoute), 0);
		}

		const decodingSequences = Array.from({length: streamCount}, () => ({longestPauseMs: 250, promptTokens: 5000, priority: 0}));
		const load = {
			requests: 0, prefillBacklogMs: 0, helpedRequests: 0, memoryTokens: 0,
		};
		const candidates = endpoints.map((endpoint, index) => ({endpoint, rank: 0, load: {...load, decodingSequences: index === 0 ? decodingSequences : []}}));
		return room.getOpenCandidates(fixtureEngine, candidates, request, 5000).map(({endpoint}) => endpoint.id);
	};

	expect(getOpenIds(0, false)).toHaveLength(20);
	expect(getOpenIds(0, true)).toHaveLength(19);
	fc.assert(fc.property(fc.nat(300), fc.nat(300), fc.boolean(), (left, right, hasArrival) => {
		const fewer = getOpenIds(Math.max(left, right), hasArrival);
		const more = getOpenIds(Math.min(left, right), !hasArrival);
		const [inner, outer] = fewer.length < more.length ? [fewer, more] : [more, fewer];
		expect(outer).toEqual(expect.arrayContaining([...inner]));
		expect(inner.length).toBeGreaterThanOrEqual(5);
	}), parameters);
});

// Guards against servers that are left and given up in turns, each time to a long prompt that delays the next urgent streams.
test('while the number of urgent streams hovers by half of what a server is left for, no server is left and given up in turns', () => {
	const endpoints = createFixtureEndpoints('models', 20);
	const request = {service: 'models', promptTokens: 180_000, urgency: {priority: 2, levels}};
	const load = {
		requests: 0, prefillBacklogMs: 0, helpedRequests: 0, memoryTokens: 0,
	};
	fc.assert(fc.property(fc.integer({min: 1, max: 50}), fc.array(fc.nat(2), {minLength: 10, maxLength: 40}), (fewest, additions) => {
		const room = createUrgentRoom();
		const counts = additions.map((addition, step) => {
			const decodingSequences = Array.from({length: fewest + addition}, () => ({longestPauseMs: 250, promptTokens: 5000, priority: 0}));
			const candidates = endpoints.map((endpoint, index) => ({endpoint, rank: 0, load: {...load, decodingSequences: index === 0 ? decodingSequences : []}}));
			return room.getOpenCandidates(fixtureEngine, candidates, request, step * 50).length;
		});
		const changes = counts.filter((count, step) => step > 0 && count !== counts[step - 1]);
		expect(changes.length).toBeLessThanOrEqual(1);
	}), parameters);
});

test('under overload, urgent requests are served and on time no less often than long ones, which aren\'t starved, also with old and partial views', () => {
	const scenario = fc.record({
		seed: fc.nat(),
		gatewayCount: fc.constantFrom(2, 4),
		serverCount: fc.integer({min: 10, max: 16}),
		exchangeDelayMs: fc.constantFrom(5, 50, 300, 500),
		isSplit: fc.boolean(),
	});
	fc.assert(fc.property(scenario, fc.integer({min: 5, max: 40}), fc.integer({min: 10, max: 30}), (generated, urgentPerSecond, longPerTenSeconds) => {
		const urgent: Flow = {
			route: urgentRoute, perSecond: urgentPerSecond, promptTokens: 5000, total: 0, answered: 0, onTime: 0,
		};
		const long: Flow = {
			route: longRoute, perSecond: longPerTenSeconds / 10, promptTokens: 180_000, total: 0, answered: 0, onTime: 0,
		};
		runUrgencyScenario(generated, [urgent, long]);
		expect(urgent.answered / urgent.total).toBeGreaterThanOrEqual(long.answered / long.total);
		expect(urgent.onTime / urgent.total).toBeGreaterThanOrEqual((long.onTime / long.total) - onTimeMargin);
		expect(long.answered / long.total).toBeGreaterThan(0.25 * (urgent.answered + long.answered) / (urgent.total + long.total));
	}), {
		...parameters,
		// Urgent requests that halves of a cut place on servers that the other half fills with long prompts.
		examples: [[{
			seed: 35_371_214, gatewayCount: 4, serverCount: 14, exchangeDelayMs: 5, isSplit: true,
		}, 5, 23]],
	});
});

// Guards against less urgent prompts of one size or organisation that give way to all others for as long as the overload lasts.
test('under overload, no organisation, prompt size or urgency is answered less than a quarter as often as all, also with old and partial views', () => {
	const scenario = fc.record({
		seed: fc.nat(), gatewayCount: fc.constantFrom(2, 4), serverCount: fc.integer({min: 10, max: 16}), exchangeDelayMs: fc.constantFrom(5, 500), isSplit: fc.boolean(),
	});
	const middleRoute = {
		...longRoute, priority: 1, objectiveMs: 1500, timeoutMs: 10_000,
	};
	fc.assert(fc.property(scenario, fc.integer({min: 5, max: 40}), (generated, urgentPerSecond) => {
		const flows = [
			{route: urgentRoute, perSecond: urgentPerSecond, promptTokens: 5000},
			{route: middleRoute, perSecond: 4, promptTokens: 45_000},
			{
				route: longRoute, perSecond: 1.5, promptTokens: 180_000, organisation: 'large',
			},
			{
				route: longRoute, perSecond: 0.5, promptTokens: 180_000, organisation: 'small',
			},
			{
				route: longRoute, perSecond: 0.5, promptTokens: 300_000, organisation: 'small',
			},
		].map((flow): Flow => ({
			...flow, total: 0, answered: 0, onTime: 0,
		}));
		runUrgencyScenario(generated, flows);
		const total = flows.reduce((sum, flow) => sum + flow.total, 0);
		const answered = flows.reduce((sum, flow) => sum + flow.answered, 0);
		for (const flow of flows) {
			expect(flow.answered / flow.total, `${flow.promptTokens} tokens, ${flow.answered} of ${flow.total}`).toBeGreaterThan(0.25 * answered / total);
		}
	}), {...parameters, numRuns: Math.ceil(parameters.numRuns / 2)});
});
