import {describe, expect, test} from 'vitest';
import {createRandom} from '../random.js';
import {createGateway} from './gateway.js';
import type {GatewayAction} from './gateway-events.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureEngine, fixtureGatewaySettings, fixtureIdempotentRoute, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import {createEndpointPaces} from './endpoint-pace.js';
import {createLoadView} from './load-view.js';
import {findPromptPlacement, type Placement} from './placement.js';
import {createServiceTimes, type RequestClass} from './service-times.js';
import {singleLevel} from './urgency.js';
import {createWorkRouting} from './work-routing.js';

const shop = createFixtureEndpoints('shop', 3);
const request = createFixtureGatewayRequest(fixtureIdempotentRoute);

function getMean(times: ReturnType<typeof createServiceTimes>, requestClass: RequestClass, now: number): number {
	return times.tryGetEstimate(requestClass, now)?.meanMs ?? Number.NaN;
}

describe('service times', () => {
	test('are unknown before the first response and after they were forgotten', () => {
		const times = createServiceTimes();
		expect(times.tryGetEstimate({route: 'look', organisation: 'club'}, 0)).toBeUndefined();
		times.learn({route: 'look', organisation: 'club'}, 40, 0);
		expect(getMean(times, {route: 'look', organisation: 'other'}, 1000)).toBeCloseTo(40);
		expect(times.tryGetEstimate({route: 'look', organisation: 'club'}, 600_000)).toBeUndefined();
	});

	// Guards against a hot key, or odd requests of one organisation, that set the estimate of all others.
	test('of a route stay near those of its organisations while one sends many and dear requests', () => {
		const times = createServiceTimes();
		for (let now = 0; now < 60_000; now += 10) {
			times.learn({route: 'look', organisation: 'hot'}, 400, now);
			if (now % 1000 === 0) {
				for (let index = 0; index < 9; index += 1) {
					times.learn({route: 'look', organisation: `club-${index}`}, 40, now);
				}
			}
		}

		expect(getMean(times, {route: 'look', organisation: 'new'}, 60_000)).toBeLessThan(120);
		expect(getMean(times, {route: 'look', organisation: 'hot'}, 60_000)).toBeGreaterThan(350);
	});

	test('are hardly moved by a single response that hung', () => {
		const times = createServiceTimes();
		for (let now = 0; now < 20_000; now += 1000) {
			times.learn({route: 'look', organisation: `club-${now / 1000 % 4}`}, 40, now);
		}

		times.learn({route: 'look', organisation: 'club-1'}, 10_000, 20_000);
		expect(getMean(times, {route: 'look', organisation: 'club-2'}, 20_000)).toBeLessThan(80);
	});
});

describe('endpoint paces', () => {
	const usual = {
		service: 'models', source: 'firstEvent' as const, predictedMs: 80, observedMs: 90, isMinimum: false,
	};

	test('of an endpoint that turns slow rise at this gateway and at those it tells, and are forgotten', () => {
		const [paces, peer] = [createEndpointPaces(), createEndpointPaces()];
		for (let now = 0; now < 9000; now += 100) {
			paces.learn({...usual, endpoints: [`models-${now / 100 % 10}`]}, now);
		}

		for (const now of [9000, 9500, 10_000]) {
			for (const change of paces.learn({...usual, endpoints: ['models-3'], observedMs: 400}, now)) {
				peer.applyPeerChange(change, now + 20);
			}
		}

		expect(paces.getPace('models-3', 10_020)).toBeGreaterThan(1.5);
		expect(peer.getPace('models-3', 10_020)).toBeGreaterThan(1.5);
		expect(paces.getPace('models-4', 10_020)).toBe(1);
		expect(peer.getPace('models-3', 30_000)).toBe(1);
	});

	test('of a recovered endpoint are told too', () => {
		const paces = createEndpointPaces();
		paces.learn({...usual, endpoints: ['models-3'], observedMs: 600}, 0);
		expect(paces.learn({...usual, endpoints: ['models-3']}, 1000)).toHaveLength(1);
	});

	// Guards against messages of every gateway about every endpoint under overload.
	test('stay usual, and are no longer told, while all endpoints of a service are slow alike', () => {
		const paces = createEndpointPaces();
		let toldCount = 0;
		for (let now = 0; now < 20_000; now += 50) {
			const changes = paces.learn({...usual, endpoints: [`models-${now / 50 % 10}`], observedMs: 500}, now);
			toldCount += now < 8000 ? 0 : changes.length;
		}

		expect(paces.getPace('models-3', 20_000)).toBe(1);
		expect(toldCount).toBe(0);
	});

	// Guards against servers that are avoided, and others flooded, because of requests that a gateway didn't know of.
	test('stay mostly usual while first events scatter by chance, and rise by the pauses of a server that is slow meanwhile', () => {
		const paces = createEndpointPaces();
		const random = createRandom(1);
		let slowCount = 0;
		for (let now = 0; now < 30_000; now += 50) {
			const chance = Math.exp(((random.getFraction() + random.getFraction() + random.getFraction()) * 1.8) - 2.7);
			paces.learn({...usual, endpoints: [`models-${random.getInteger(40)}`], observedMs: 90 * chance}, now);
			paces.learn({
				...usual, source: 'pauses', endpoints: [`models-${random.getInteger(40)}`], observedMs: 80 + random.getInteger(8),
			}, now);
			slowCount += paces.getPace(`models-${random.getInteger(40)}`, now) > 1 ? 1 : 0;
		}

		expect(slowCount).toBeLessThan(30);
		for (const now of [30_000, 30_200, 30_400, 30_600, 30_800]) {
			paces.learn({
				...usual, source: 'pauses', endpoints: ['models-3'], observedMs: 400,
			}, now);
		}

		expect(paces.getPace('models-3', 30_800)).toBeGreaterThan(1.6);
	});

	test('are shared out by a late split prompt, mostly to a server that is slow already, and a prompt in time clears all of them', () => {
		const paces = createEndpointPaces();
		const split = {...usual, source: 'splitFirstEvent' as const};
		for (let now = -9000; now < 0; now += 300) {
			paces.learn({...split, endpoints: ['models-0', 'models-8']}, now);
		}

		for (const [now, others] of [[0, ['models-1', 'models-2']], [200, ['models-4', 'models-5']], [400, ['models-6', 'models-7']]] as const) {
			paces.learn({...split, endpoints: ['models-3', ...others], observedMs: 600}, now);
		}

		expect(paces.getPace('models-3', 400)).toBeGreaterThan(1.6);
		expect(paces.getPace('models-3', 400)).toBeGreaterThan(paces.getPace('models-7', 400) * 1.2);
		for (const now of [500, 600, 700]) {
			paces.learn({...split, endpoints: ['models-1', 'models-6', 'models-7'], observedMs: 80}, now);
		}

		expect(['models-1', 'models-6', 'models-7'].map(endpoint => paces.getPace(endpoint, 700))).toEqual([1, 1, 1]);
	});

	// Guards against a slow endpoint of which nothing is learned since its callers leave before its first event.
	test('rise by a prompt that is given up late, and stay usual by one that is given up early', () => {
		const paces = createEndpointPaces();
		expect(paces.learn({
			...usual, endpoints: ['models-1'], observedMs: 100, isMinimum: true,
		}, 0)).toEqual([]);
		paces.learn({
			...usual, endpoints: ['models-3'], observedMs: 800, isMinimum: true,
		}, 0);
		expect(paces.getPace('models-1', 0)).toBe(1);
		expect(paces.getPace('models-3', 0)).toBeGreaterThan(2);
	});

	test('of an endpoint that has just started are those of earlier starts at its age, until its own are known', () => {
		const paces = createEndpointPaces();
		const endpoints = createFixtureEndpoints('models', 6);
		paces.applyList(endpoints.slice(0, 2), 0);
		for (const [index, joinedAt] of [[2, 10_000], [3, 20_000], [4, 30_000]] as const) {
			paces.applyList(endpoints.slice(0, index + 1), joinedAt);
			for (const now of [joinedAt + 200, joinedAt + 500]) {
				paces.learn({...usual, endpoints: [`models-${index}`], observedMs: 500}, now);
			}
		}

		expect(paces.getPace('models-1', 40_000)).toBe(1);
		paces.applyList(endpoints, 40_000);
		expect(paces.getPace('models-5', 40_100)).toBeGreaterThan(2);
		for (const now of [40_200, 40_300, 40_400, 40_500]) {
			paces.learn({...usual, endpoints: ['models-5'], observedMs: 80}, now);
		}

		expect(paces.getPace('models-5', 40_500)).toBe(1);
		expect(paces.getPace('models-5', 60_000)).toBe(1);
	});

	test('of an endpoint are forgotten when another process is listed under its id', () => {
		const paces = createEndpointPaces();
		const endpoints = createFixtureEndpoints('models', 2);
		paces.applyList(endpoints, 0);
		paces.learn({...usual, endpoints: ['models-1'], observedMs: 800}, 100);
		expect(paces.getPace('models-1', 200)).toBeGreaterThan(2);
		paces.applyList(endpoints.map(endpoint => ({...endpoint, startedAt: 2})), 200);
		expect(paces.getPace('models-1', 200)).toBe(1);
	});
});

test('a prompt is placed on another server than one that is slow', () => {
	const idle = {
		requests: 0, prefillBacklogMs: 0, helpedRequests: 0, decodingSequences: [], memoryTokens: 0,
	};
	const candidates = createFixtureEndpoints('models', 3).map((endpoint, index) => ({
		endpoint, load: idle, rank: 0, pace: index === 0 ? 4 : 1,
	}));
	const placement = findPromptPlacement(fixtureEngine, candidates, {
		promptTokens: 20_000, objectiveMs: 300, longestPauseMs: 250, remainingMs: 10_000, dataCentre: 'east',
	});
	expect(placement?.endpoint.id).toBe('models-2');
});

describe('work-aware routing', () => {
	function createRouting(): Readonly<{routing: ReturnType<typeof createWorkRouting>; load: ReturnType<typeof createLoadView>}> {
		const load = createLoadView();
		return {
			load, routing: createWorkRouting({
				load, dataCentre: 'east', random: createRandom(1), tryGetEngine: () => fixtureEngine,
			}),
		};
	}

	function findPlacement({routing, load}: ReturnType<typeof createRouting>, now: number): Placement | undefined {
		return routing.findServicePlacement(request, shop.map(endpoint => ({endpoint, load: load.getLoad(endpoint.id, now), rank: 0})), now);
	}

	// Guards against prompts that gather at a server whose backlog was overestimated.
	test('takes no model server for faster than its engine', () => {
		const {routing} = createRouting();
		for (const at of [0, 10, 20]) {
			routing.applyPeerChange({kind: 'paceObserved', endpoint: 'shop-0', ratio: 0.3}, at);
			routing.applyPeerChange({kind: 'paceObserved', endpoint: 'shop-1', ratio: 4}, at);
		}

		const paces = routing.addPace(shop.map(endpoint => ({endpoint, load: createLoadView().getLoad(endpoint.id, 20), rank: 0})), 20).map(({pace}) => pace ?? 1);
		expect(paces[0]).toBe(1);
		expect(paces[1]).toBeGreaterThan(2);
	});

	test('learns the service time that placements and their open work carry', () => {
		const setup = createRouting();
		const first = findPlacement(setup, 0);
		expect(first?.serviceMs).toBeUndefined();
		const actions: readonly GatewayAction[] = first === undefined
			? []
			: setup.routing.learn({
				kind: 'responseTimed', request, placement: first, observedMs: 50,
			}, 50);
		expect(actions).toEqual([]);
		expect(findPlacement(setup, 60)?.serviceMs).toBeCloseTo(50);
	});

	test('counts the requests that only an endpoint knows of, for a second', () => {
		const setup = createRouting();
		const placement = findPlacement(setup, 0);
		if (placement !== undefined) {
			setup.routing.learn({
				kind: 'responseTimed', request, placement, observedMs: 50,
			}, 50);
		}

		const drawEndpoints = (now: number): ReadonlySet<string | undefined> => new Set(Array.from({length: 40}, () => findPlacement(setup, now)?.endpoint.id));
		setup.routing.learn({
			kind: 'loadReported', service: 'shop', endpoint: 'shop-0', load: {runningRequests: 6, waitingRequests: 20, slots: 6},
		}, 60);
		expect(drawEndpoints(60)).toEqual(new Set(['shop-1', 'shop-2']));
		expect(drawEndpoints(1200)).toEqual(new Set(['shop-0', 'shop-2']));
	});

	test('learns no service time from the first event of a stream without a prompt', () => {
		const setup = createRouting();
		const stream = createFixtureGatewayRequest({...fixtureIdempotentRoute, kind: 'streaming'});
		const placement = findPlacement(setup, 0);
		if (placement !== undefined) {
			setup.routing.learn({
				kind: 'responseTimed', request: stream, placement, observedMs: 5,
			}, 5);
		}

		expect(findPlacement(setup, 60)?.serviceMs).toBeUndefined();
	});

	const idleCandidates = createFixtureEndpoints('models', 3).map(endpoint => ({endpoint, load: createLoadView().getLoad(endpoint.id, 0), rank: 0}));
	const prompt = createFixtureGatewayRequest(fixtureStreamRoute);

	test('learns from a late prompt that several servers process that each of them may be slow', () => {
		const {routing} = createRouting();
		const [endpoint, helper] = createFixtureEndpoints('models', 2);
		const placement: Placement = {
			endpoint: endpoint!, helpers: [{endpoint: helper!, reservedTokens: 0}], prefillMs: 500, firstEventMs: 500, usualFirstEventMs: 500, interferenceCost: 0,
		};
		const actions = routing.learn({
			kind: 'responseTimed', request: prompt, placement, observedMs: 4000,
		}, 4000);
		expect(actions.flatMap(action => action.kind === 'publishChange' && action.change.kind === 'paceObserved' ? [action.change.endpoint] : [])).toEqual(['models-0', 'models-1']);
		const paces = routing.addPace(idleCandidates, 4000).map(({pace}) => pace ?? 1);
		expect(paces[0]).toBeGreaterThan(1.25);
		expect(paces[1]).toBe(paces[0]);
		expect(paces[2]).toBe(1);
	});

	// Guards against a wait for a slot that is divided by the pace, so that a slow endpoint looks slower still.
	test('compares a response with a prediction in which only the work of a slow endpoint takes longer, and its queue doesn\'t', () => {
		const load = {
			requests: 40, prefillBacklogMs: 0, helpedRequests: 0, decodingSequences: [], memoryTokens: 0,
		};
		const demand = {
			promptTokens: 5000, objectiveMs: 300, longestPauseMs: 250, remainingMs: 10_000, dataCentre: 'east', urgency: {priority: 1, levels: singleLevel},
		};
		const [usual, slow] = [1, 4].map(pace => findPromptPlacement(fixtureEngine, idleCandidates.slice(0, 1).map(candidate => ({...candidate, load, pace})), demand));
		expect(slow?.usualFirstEventMs).toBeCloseTo(usual?.firstEventMs ?? 0);
		expect(slow?.firstEventMs).toBeGreaterThan(usual?.firstEventMs ?? 0);
	});

	test.each([
		['slow', 'pauses are long', 250, 0, true],
		['usual', 'a few pauses are long', 45, 0, false],
		['usual', 'pauses are long while it has a prompt to prefill', 250, 400, false],
	])('takes an endpoint for %s if %s', (_, __, pauseMs, prefillMs, isSlow) => {
		const {routing, load} = createRouting();
		const {endpoint} = idleCandidates[0]!;
		const work = {
			endpoint: endpoint.id, helpers: [], promptTokens: 5000, readMs: prefillMs, longestPauseMs: 250, priority: 1, serviceMs: 0,
		};
		load.applyChange('gateway-1', {kind: 'started', work: {...work, id: 1, readMs: 0}}, 0);
		load.applyChange('gateway-1', {kind: 'writing', id: 1}, 0);
		if (prefillMs > 0) {
			load.applyChange('gateway-1', {kind: 'started', work: {...work, id: 2}}, 0);
		}

		const placement: Placement = {
			endpoint, helpers: [], prefillMs: 40, firstEventMs: 40, interferenceCost: 0,
		};
		routing.learn({
			kind: 'pausesTimed', request: prompt, placement, pausesMs: [pauseMs, 300, pauseMs, pauseMs, 300, pauseMs, pauseMs, pauseMs],
		}, 100);
		expect(routing.addPace(idleCandidates, 100)[0]?.pace !== 1).toBe(isSlow);
	});
});

test('work left is what remains of predicted service times, and a share of those that have passed', () => {
	const load = createLoadView();
	const common = {
		endpoint: 'shop-0', helpers: [], promptTokens: 0, readMs: 0, longestPauseMs: 0, priority: 1,
	};
	load.applyChange('gateway-1', {kind: 'started', work: {...common, id: 1, serviceMs: 100}}, 0);
	load.applyChange('gateway-2', {kind: 'started', work: {...common, id: 1, serviceMs: 0}}, 0);
	expect(load.getWorkLeftMs('shop-0', 40, 0)).toBe(140);
	expect(load.getWorkLeftMs('shop-0', 40, 90)).toBe(35);
	load.applyChange('gateway-1', {kind: 'ended', id: 1}, 95);
	expect(load.getWorkLeftMs('shop-0', 40, 95)).toBe(10);
});

test.each([
	['elsewhere with work-aware routing', true, false],
	['as before without it', false, true],
])('a gateway that is told that an endpoint is slow places prompts %s', (_, isWorkAware, usesSlowEndpoint) => {
	const gateway = createGateway({...fixtureGatewaySettings, isWorkAware});
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: createFixtureEndpoints('models', 4)}, 0);
	const findEndpoint = (key: number): string | undefined => gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureStreamRoute, {key})}, 0)
		.flatMap(action => action.kind === 'send' ? [action.endpoint.id] : [])[0];
	const endpoint = findEndpoint(1) ?? '';
	gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'clientGone'}}, 0);
	gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'paceObserved', endpoint, ratio: 8}, {kind: 'paceObserved', endpoint, ratio: 8}]}, 0);
	expect(findEndpoint(2) === endpoint).toBe(usesSlowEndpoint);
});

describe('a gateway with work-aware routing', () => {
	const text = new TextEncoder();

	function createSent(promptTokens: number, route = fixtureStreamRoute): Readonly<{gateway: ReturnType<typeof createGateway>; actions: readonly GatewayAction[]}> {
		const gateway = createGateway({...fixtureGatewaySettings, isWorkAware: true});
		gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		gateway.step({kind: 'endpointsListed', endpoints: createFixtureEndpoints('models', 4)}, 0);
		const actions = gateway.step({
			kind: 'requestArrived', request: createFixtureGatewayRequest(route, {prompt: {promptTokens, maximumTokens: 1000}}),
		}, 0);
		return {gateway, actions};
	}

	function getTold(actions: readonly GatewayAction[]): readonly number[] {
		return actions.flatMap(action => action.kind === 'publishChange' && action.change.kind === 'paceObserved' ? [action.change.ratio] : []);
	}

	test.each([[250, true], [45, false]])('tells of a server whose stream pauses for %i ms: %s', (pauseMs, isTold) => {
		const {gateway} = createSent(5000);
		gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId: 1, head: createFixtureHead()}}, 60);
		const told = Array.from({length: 9}, (_, index) => getTold(gateway.step({
			kind: 'requestChanged', key: 1, event: {kind: 'responseBytes', sendId: 1, bytes: text.encode(`id: ${index}\ndata: x\n\n`)},
		}, 80 + (index * pauseMs)))).flat();
		expect(told.some(ratio => ratio > 2)).toBe(isTold);
	});

	test.each([[2000, true], [40, false]])('tells of a server whose caller leaves without an event after %i ms: %s', (waitedMs, isTold) => {
		const {gateway} = createSent(5000);
		expect(getTold(gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'clientGone'}}, waitedMs)).length > 0).toBe(isTold);
	});

	// Guards against servers that are taken for slow because memory had to be waited for.
	test('tells of no server of a split prompt that waited long for memory, and then got its first event in time', () => {
		const {gateway, actions} = createSent(500_000, fixtureLongStreamRoute);
		const reservations = actions.flatMap(action => action.kind === 'reserveMemory' ? [action.reservation.id] : []);
		const placed = actions.flatMap(action => action.kind === 'reportDecision' && action.decision.kind === 'placed' ? [action.decision.firstEventMs] : []);
		expect(reservations.length).toBeGreaterThan(0);
		for (const reservationId of reservations) {
			gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'memoryAnswered', reservationId, isHeld: true}}, 900);
		}

		gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId: 1, head: createFixtureHead()}}, 1000);
		const delivered = gateway.step({
			kind: 'requestChanged', key: 1, event: {kind: 'responseBytes', sendId: 1, bytes: text.encode('id: 0\ndata: x\n\n')},
		}, 900 + (placed[0] ?? 0));
		expect(delivered.some(({kind}) => kind === 'reportTiming')).toBe(true);
		expect(getTold(delivered)).toEqual([]);
	});
});
