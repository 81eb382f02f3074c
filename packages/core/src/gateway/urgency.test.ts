/**
The order of urgent and less urgent requests under overload. The seed is fixed so that every run gives the same result;
CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	createFixtureGatewayRequest, fixtureConfiguration, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import {createOrganisationWork} from './organisation-work.js';
import {
	getRelativeWeight, getSpreadRetryMs, getUrgencyLevels, isWaitingForUrgent, singleLevel, tryGetAdmissionPriority,
} from './urgency.js';
import {runUrgencyScenario, type Flow} from './urgency-simulation.js';
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
		const organisations = new Map([['club', {name: 'club', priority: 1, homeRegions: []}], ['other', {name: 'other', priority: 4, homeRegions: []}]]);
		expect(getUrgencyLevels({...fixtureConfiguration, routes, organisations})).toEqual(new Map());
		const organisationsByKey = new Map([...key ?? [], ['key-2', 'other']]);
		expect(getUrgencyLevels({
			...fixtureConfiguration, routes, organisations, organisationsByKey,
		}).get('models')).toEqual([1, 4]);
	});
});

test('an urgent request outweighs a less urgent one, whichever of them is placed', () => {
	fc.assert(fc.property(fc.nat(12), fc.nat(12), fc.uniqueArray(fc.nat(12), {minLength: 2}), (priority, other, some) => {
		const sorted = [...new Set([...some, priority, other])].toSorted((left, right) => left - right);
		const weight = getRelativeWeight({priority, levels: sorted}, other);
		expect(Math.sign(weight - 1)).toBe(Math.sign(priority - other));
		expect(weight * getRelativeWeight({priority: other, levels: sorted}, priority)).toBeCloseTo(1);
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
	expect(isWaitingForUrgent(request, levels, costs, 5000)).toBe(true);
	expect(isWaitingForUrgent(request, levels, costs, 5500)).toBe(false);
	expect(isWaitingForUrgent(request, levels, {...costs, interferenceCost: 20}, 0)).toBe(false);
	expect(isWaitingForUrgent({...request, priority: 0}, levels, costs, 0)).toBe(false);
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

test('under overload, urgent requests are served and on time no less often than long ones, which aren\'t starved, also with old and partial views', () => {
	const scenario = fc.record({
		seed: fc.nat(),
		gatewayCount: fc.constantFrom(2, 4),
		serverCount: fc.integer({min: 10, max: 16}),
		exchangeDelayMs: fc.constantFrom(5, 50, 300),
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
	}), parameters);
});
