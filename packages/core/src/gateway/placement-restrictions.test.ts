/**
Tests which endpoints requests reach while data centres are evacuated and taken back, gateways restart, readers lie behind and the store
is restored, and by the home regions. The seed is fixed; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {Milliseconds, Timestamp} from '../types.js';
import {createGateway, type Gateway, type GatewaySettings} from './gateway.js';
import type {GatewayAction, SendId} from './gateway-events.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureGatewaySettings, fixtureIdempotentRoute,
	fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayRequest, ListedEndpoint, ServedRoute} from './gateway-types.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 5),
};

const dataCentres = ['a', 'b', 'c'] as const;
const evacuationMs: Milliseconds = 5000;
/** Part of the bound that is left to the calls of the store and the way to an endpoint, which these tests don't have. */
const callMs: Milliseconds = 1500;
const settings: GatewaySettings = {
	...fixtureGatewaySettings, evacuationMs, configuration: {maximumKeyAgeMs: undefined, maximumAbsenceAgeMs: 2500},
};

/** Returns endpoints of a service of each data centre's name, which is there alone, and of model servers everywhere. */
function createEndpoints(): readonly ListedEndpoint[] {
	const perDataCentre = dataCentres.flatMap(dataCentre => createFixtureEndpoints(dataCentre, 2).map(endpoint => ({...endpoint, dataCentre, address: `${endpoint.id}:80`})));
	const models = createFixtureEndpoints('models', 12).map((endpoint, index) => ({...endpoint, dataCentre: dataCentres[index % 3] ?? ''}));
	return [...perDataCentre, ...models];
}

function startGateway(changes: Partial<GatewaySettings> = {}, configuration = fixtureConfiguration, now: Timestamp = 0): Gateway {
	const gateway = createGateway({...settings, ...changes});
	gateway.step({kind: 'configurationVerified', configuration, verifiedAt: now}, now);
	gateway.step({kind: 'endpointsListed', endpoints: createEndpoints()}, now);
	return gateway;
}

function list(gateway: Gateway, evacuated: readonly string[], now: Timestamp, readAt = now): readonly GatewayAction[] {
	return gateway.step({
		kind: 'evacuationsListed', dataCentres: new Set(evacuated), source: 'store', readAt,
	}, now);
}

function submit(gateway: Gateway, route: ServedRoute, changes: Partial<GatewayRequest>): readonly GatewayAction[] {
	return gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(route, changes)}, changes.arrivedAt ?? 0);
}

/** Returns the data centres of all endpoints that the actions reach with a request, a part of one, or a reservation. */
function getReached(actions: readonly GatewayAction[]): ReadonlySet<string> {
	const byAddress = new Map(createEndpoints().map(({address, dataCentre}) => [address, dataCentre]));
	const addresses = [
		...actions.flatMap(action => action.kind === 'send' ? [action.endpoint.address, ...action.helpers.map(({address}) => address)] : []),
		...actions.flatMap(action => action.kind === 'reserveMemory' ? [action.reservation.endpoint.address] : []),
	];
	return new Set(addresses.map(address => byAddress.get(address) ?? ''));
}

function getSendId(actions: readonly GatewayAction[]): SendId {
	return actions.find(action => action.kind === 'send')?.sendId ?? -1;
}

function getFailures(actions: readonly GatewayAction[]): readonly string[] {
	return actions.flatMap(action => action.kind === 'failRequest' ? [`${action.failure.kind} ran=${action.failure.ran}`] : []);
}

type Evacuation = Readonly<{dataCentre: string; at: Timestamp; durationMs: Milliseconds}>;
type Disruption = Readonly<{kind: 'restart' | 'oldReader' | 'restore'; at: Timestamp; durationMs: Milliseconds}>;
type Scenario = Readonly<{evacuations: readonly Evacuation[]; disruptions: readonly Disruption[]; staleMs: readonly Milliseconds[]}>;

const endAt: Timestamp = 30_000;
const stepMs: Milliseconds = 250;
const pollMs: Milliseconds = 1000;
/** Time within which the operator writes again what a restore has lost. */
const operatorMs: Milliseconds = 2000;
/** Time after a restore in which current lists are read. */
const currentListsMs: Milliseconds = 5000;
const maximumStaleMs: Milliseconds = 1300;

const evacuation: fc.Arbitrary<Evacuation> = fc.record({
	dataCentre: fc.constantFrom(...dataCentres), at: fc.integer({min: 500, max: 22_000}), durationMs: fc.integer({min: 100, max: 12_000}),
});

const disruption: fc.Arbitrary<Disruption> = fc.record({
	kind: fc.constantFrom('restart' as const, 'oldReader' as const, 'restore' as const), at: fc.integer({min: 0, max: 25_000}), durationMs: fc.integer({min: 100, max: 9000}),
});

const scenario: fc.Arbitrary<Scenario> = fc.record({
	evacuations: fc.array(evacuation, {minLength: 1, maxLength: 4}),
	disruptions: fc.array(disruption, {maxLength: 5}),
	staleMs: fc.array(fc.integer({min: 0, max: maximumStaleMs}), {minLength: 5, maxLength: 5}),
});

function isOrdered(evacuations: readonly Evacuation[], dataCentre: string, at: Timestamp): boolean {
	return evacuations.some(other => other.dataCentre === dataCentre && other.at <= at && at < other.at + other.durationMs);
}

/** Returns whether the operator's order has been the same for a time, which ends now. */
function isSteady(evacuations: readonly Evacuation[], dataCentre: string, forMs: Milliseconds, now: Timestamp): boolean {
	return evacuations.every(other => other.dataCentre !== dataCentre || [other.at, other.at + other.durationMs].every(change => change <= now - forMs || change > now));
}

/** Returns the data centres that the store shows as evacuated: after a restore those of its copy, until the operator writes again. */
function getShown({evacuations, disruptions}: Scenario, at: Timestamp): readonly string[] {
	const restore = disruptions.find(other => other.kind === 'restore' && other.at <= at && at < other.at + operatorMs);
	return dataCentres.filter(dataCentre => {
		const isUnchanged = restore === undefined || !isSteady(evacuations, dataCentre, at - restore.at, at);
		return isOrdered(evacuations, dataCentre, isUnchanged ? at : restore.at - restore.durationMs);
	});
}

/** Plays a scenario at one gateway, and returns what it did wrong. */
function findViolations(input: Scenario): readonly string[] {
	const {evacuations, disruptions, staleMs} = input;
	const violations: string[] = [];
	let gateway = startGateway();
	let key = 0;
	/** When the gateway has its first list. */
	let knownFrom = 0;
	for (let now = 0; now < endAt; now += stepMs) {
		for (const {kind, durationMs} of disruptions.filter(({at}) => at >= now && at < now + stepMs)) {
			switch (kind) {
				case 'restart': {
					gateway = startGateway({}, fixtureConfiguration, now);
					knownFrom = Math.ceil(now / pollMs) * pollMs;
					break;
				}

				case 'oldReader': {
					list(gateway, getShown(input, now - durationMs), now, now - durationMs);
					break;
				}

				case 'restore': {
					gateway.step({kind: 'storeRestored'}, now);
					break;
				}
			}
		}

		if (now % pollMs === 0) {
			const isCurrent = disruptions.some(({kind, at}) => kind === 'restore' && at <= now && now < at + currentListsMs);
			const age = isCurrent ? 0 : staleMs[(now / pollMs) % staleMs.length] ?? 0;
			list(gateway, getShown(input, now - age), now);
		}

		// A gateway whose first list is from a store that has lost an evacuation can't know of it.
		const firstListAt = knownFrom;
		const isBlind = disruptions.some(({kind, at}) => kind === 'restore' && at <= firstListAt && now < at + operatorMs + pollMs + maximumStaleMs);
		for (const dataCentre of dataCentres) {
			key += 1;
			const isRefused = gateway.checkRoute('a.example', '/look/1', 'key-1', now).kind === 'refused';
			const actions = isRefused ? [] : submit(gateway, fixtureIdempotentRoute, {key, arrivedAt: now, service: dataCentre});
			gateway.step({kind: 'requestChanged', key, event: {kind: 'clientGone'}}, now);
			const isReached = getReached(actions).has(dataCentre);
			if (isReached && !isBlind && isOrdered(evacuations, dataCentre, now) && isSteady(evacuations, dataCentre, evacuationMs - callMs, now)) {
				violations.push(`${dataCentre} is reached at ${now}`);
			}

			const isKnownAgain = now - firstListAt > pollMs && disruptions.every(({at}) => at > now || now - at > evacuationMs + operatorMs);
			if (!isReached && isKnownAgain && !isOrdered(evacuations, dataCentre, now) && isSteady(evacuations, dataCentre, evacuationMs, now)) {
				violations.push(`${dataCentre} is left out at ${now}`);
			}
		}
	}

	return violations;
}

describe('data centres that are evacuated and taken back', () => {
	// Guards against requests that reach an evacuated data centre after the bound, and against one that stays empty.
	test('get no requests after the bound, and get them again, while gateways restart, readers lie behind and the store is restored', () => {
		fc.assert(fc.property(scenario, input => {
			expect(findViolations(input)).toEqual([]);
		}), parameters);
	});

	// Guards against a gateway that sends by no list, or by one of a reader that was cut off long ago.
	test('get nothing from a gateway that has just started until it has a recent list', () => {
		const gateway = startGateway();
		list(gateway, [], 10_000, 0);
		expect(gateway.isReady(10_000)).toBe(false);
		expect(gateway.checkRoute('a.example', '/look/1', 'key-1', 10_000)).toMatchObject({kind: 'refused', failure: {kind: 'notReady', ran: 'no'}});
		expect(list(gateway, ['a'], 10_100)).toMatchObject([{kind: 'reportEvacuations', changes: {begun: ['a'], ended: []}}]);
		expect(gateway.isReady(10_100)).toBe(true);
	});

	// Guards against an evacuation that ends by the list of a reader that lies behind, or of a store that was restored.
	test('stay evacuated while an older list, or the first ones after a restore, lack them', () => {
		const gateway = startGateway();
		list(gateway, ['a'], 5000);
		expect(list(gateway, [], 5100, 4000)).toEqual([]);
		gateway.step({kind: 'storeRestored'}, 6000);
		expect(list(gateway, [], 8000)).toEqual([]);
		expect(list(gateway, [], 10_000)).toMatchObject([{kind: 'reportEvacuations', changes: {begun: [], ended: ['a']}}]);
	});

	// Guards against helpers' parts and reservations in an evacuated data centre.
	test('get neither parts of long prompts nor reservations', () => {
		const prompt = {promptTokens: 600_000, maximumTokens: 1000};
		const [used = ''] = getReached(submit(startGateway(), fixtureLongStreamRoute, {prompt}));
		const gateway = startGateway();
		list(gateway, [used], 0);
		const actions = submit(gateway, fixtureLongStreamRoute, {prompt});
		expect(actions.map(({kind}) => kind)).toContain('reserveMemory');
		expect(getReached(actions).has(used)).toBe(false);
	});

	// Guards against a send to a data centre that was evacuated while the request waited for memory.
	test('get no prompt whose memory was reserved before the evacuation began, which goes elsewhere', () => {
		const gateway = startGateway();
		list(gateway, [], 0);
		const waiting = submit(gateway, fixtureLongStreamRoute, {prompt: {promptTokens: 600_000, maximumTokens: 1000}});
		const [evacuated = ''] = getReached(waiting);
		list(gateway, [evacuated], 50);
		const actions = waiting.flatMap(action => action.kind === 'reserveMemory'
			? gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'memoryAnswered', reservationId: action.reservation.id, isHeld: true}}, 100)
			: []);
		expect(actions.map(({kind}) => kind)).toContain('releaseMemory');
		expect(getReached(actions).has(evacuated)).toBe(false);
		expect(getReached(actions).size).toBeGreaterThan(0);
	});

	// Guards against retries and resumed streams that go to an evacuated data centre.
	test('get neither retries nor resumed streams, while a running stream goes on', () => {
		const gateway = startGateway();
		list(gateway, ['c'], 0);
		const first = submit(gateway, fixtureStreamRoute, {});
		const [used] = getReached(first);
		const sendId = getSendId(first);
		gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId, head: createFixtureHead()}}, 10);
		expect(list(gateway, used === 'a' ? ['a', 'b'] : ['b', 'c'], 20).map(({kind}) => kind)).toEqual(['reportEvacuations']);
		const written = gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseBytes', sendId, bytes: new TextEncoder().encode('id: 1\ndata: x\n\n')}}, 30);
		expect(written.map(({kind}) => kind)).toContain('writeResponse');
		const resumed = gateway.step({
			kind: 'requestChanged', key: 1, event: {
				kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
			},
		}, 40);
		expect([...getReached(resumed)]).toEqual([used === 'a' ? 'c' : 'a']);
	});

	// Guards against callers that wait, or that all come back at once, while no data centre is left.
	// Guards against a herd on the endpoints of a data centre that has just come back.
	test('have endpoints that count as cold once they are taken back', () => {
		const models = {name: 'models', engine: undefined, coldTolerance: {requestsPerSecond: 10, durationMs: 3000}};
		const gateway = startGateway({coldEndpoints: {ratio: 1, fixedRequests: 0}}, {...fixtureConfiguration, services: new Map([['models', models]])});
		list(gateway, ['a'], 1000);
		expect(gateway.getColdCounts(1500).coldEndpoints).toBe(0);
		list(gateway, [], 2000);
		expect(gateway.getColdCounts(2500).coldEndpoints).toBe(4);
		expect(gateway.getColdCounts(5500).coldEndpoints).toBe(0);
	});

	test('leave requests to be refused at once, as not run, with returns that are spread', () => {
		const gateway = startGateway();
		list(gateway, dataCentres, 0);
		const refusals = Array.from({length: 100}, (_, index) => submit(gateway, fixtureStreamRoute, {key: index})).flat();
		expect(new Set(getFailures(refusals))).toEqual(new Set(['noServerPermitted ran=no']));
		const returns = refusals.flatMap(action => action.kind === 'failRequest' ? [action.failure.retryAfterMs ?? 0] : []).toSorted((left, right) => left - right);
		const gaps = returns.slice(1).map((returnMs, index) => returnMs - (returns[index] ?? 0));
		expect(returns).toHaveLength(100);
		expect(Math.max(...gaps)).toBeLessThan(50);
		expect(Math.min(...returns)).toBeGreaterThanOrEqual(1000);
	});
});

describe('home regions', () => {
	const regions = new Map([['a', 'north'], ['b', 'south']]);
	const homes = fc.subarray(['north', 'south', 'far']);

	// Guards against requests that leave their home regions, also by a helper's part, or while a home is evacuated.
	test('of the route and of the organisation bind together, and data centres without a region are no homes', () => {
		fc.assert(fc.property(homes, homes, fc.subarray([...dataCentres]), fc.constantFrom(5000, 600_000), (routeHomes, ownHomes, evacuated, promptTokens) => {
			const gateway = startGateway({regions}, {
				...fixtureConfiguration, organisations: new Map([['club', {name: 'club', priority: undefined, permittedRegions: ownHomes}]]),
			});
			list(gateway, evacuated, 0);
			const actions = submit(gateway, {...fixtureLongStreamRoute, permittedRegions: routeHomes}, {prompt: {promptTokens, maximumTokens: 1000}});
			const permitted: readonly string[] = dataCentres.filter(dataCentre => !evacuated.includes(dataCentre)
				&& [routeHomes, ownHomes].every(home => home.length === 0 || home.includes(regions.get(dataCentre) ?? 'none')));
			expect([...getReached(actions)].every(dataCentre => permitted.includes(dataCentre))).toBe(true);
			expect(getFailures(actions)).toEqual(permitted.length === 0 ? ['noServerPermitted ran=no'] : []);
		}), parameters);
	});
});
