/**
What a gateway does with less urgent prompts beside more urgent ones: where they go, and how long they wait.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {Milliseconds, Timestamp} from '../types.js';
import {createGateway, type Gateway} from './gateway.js';
import type {GatewayAction} from './gateway-events.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureConfiguration, fixtureGatewaySettings, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayRequest} from './gateway-types.js';
import type {OpenWork} from './load-view.js';

const parameters = {seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 50)};

const urgentRoute = {...fixtureStreamRoute, priority: 0};
const middleRoute = {
	...fixtureLongStreamRoute, priority: 1, objectiveMs: 1500, timeoutMs: 10_000,
};
const longRoute = {
	...fixtureLongStreamRoute, priority: 2, objectiveMs: 8000, timeoutMs: 15_000,
};
const endpoints = createFixtureEndpoints('models', 4);

/** Returns a gateway that knows of the given requests at each of four servers, all of which decode. */
function createLoadedGateway(work: ReadonlyArray<Readonly<{count: number; priority: number; promptTokens: number}>>, now: Timestamp): Gateway {
	const gateway = createGateway({...fixtureGatewaySettings, isUrgencyAware: true});
	gateway.step({kind: 'configurationVerified', configuration: {...fixtureConfiguration, routes: [urgentRoute, middleRoute, longRoute]}, verifiedAt: now}, now);
	gateway.step({kind: 'endpointsListed', endpoints}, now);
	const open = endpoints.flatMap(({id}) => work.flatMap(({count, priority, promptTokens}) => Array.from({length: count}, (): Omit<OpenWork, 'id'> => ({
		endpoint: id, helpers: [], promptTokens, readMs: 100, longestPauseMs: 250, priority, serviceMs: 0,
	}))));
	gateway.step({
		kind: 'peerChanged',
		gateway: 'gateway-2',
		changes: open.flatMap((item, id) => [{kind: 'started', work: {...item, id}}, {kind: 'writing', id}] as const),
	}, now);
	return gateway;
}

type Outcome = Readonly<{kind: GatewayAction['kind'] | undefined; at: Timestamp; firstEventMs: Milliseconds; addresses: readonly string[]}>;

/** Runs a gateway with one request until this is sent or refused. */
function runRequest(gateway: Gateway, request: GatewayRequest): Outcome {
	let at = request.arrivedAt;
	let firstEventMs = 0;
	let addresses: readonly string[] = [];
	let kind: GatewayAction['kind'] | undefined;
	let actions = gateway.step({kind: 'requestArrived', request}, at);
	while (kind === undefined && at < request.deadlineAt) {
		for (const action of actions) {
			kind = action.kind === 'send' || action.kind === 'reserveMemory' || action.kind === 'failRequest' ? action.kind : kind;
			addresses = action.kind === 'send' ? [action.endpoint, ...action.helpers].map(({address}) => address) : addresses;
			firstEventMs = action.kind === 'reportDecision' && action.decision.kind === 'placed' ? action.decision.firstEventMs : firstEventMs;
		}

		if (kind === undefined) {
			at = gateway.tryGetWakeAt() ?? request.deadlineAt;
			actions = gateway.step({kind: 'timePassed'}, at);
		}
	}

	return {
		kind, at, firstEventMs, addresses,
	};
}

// Guards against a wait that lasts to a retry at which the target can't be met any more.
test('a prompt that waits for more urgent ones is sent while it can still meet its target', () => {
	fc.assert(fc.property(fc.integer({min: 1000, max: 1300}), arrivedAt => {
		const gateway = createLoadedGateway([{count: 8, priority: 0, promptTokens: 5000}], 900);
		const {kind, at, firstEventMs} = runRequest(gateway, createFixtureGatewayRequest(middleRoute, {arrivedAt, prompt: {promptTokens: 45_000, maximumTokens: 1000}}));
		expect(kind).toBe('send');
		expect(at).toBeGreaterThan(arrivedAt);
		expect(at + firstEventMs).toBeLessThanOrEqual(arrivedAt + middleRoute.objectiveMs);
	}), parameters);
});

// Guards against a gateway that lets a long prompt take every server since the urgent requests arrive at other gateways.
test('a long prompt leaves a server to urgent requests, also if these came to another gateway and have ended', () => {
	const gateway = createLoadedGateway([], 900);
	const request = createFixtureGatewayRequest({...longRoute, objectiveMs: 1200}, {arrivedAt: 2000, prompt: {promptTokens: 180_000, maximumTokens: 1000}});
	const work = {
		id: 1, endpoint: 'models-0', helpers: [], promptTokens: 5000, readMs: 34, longestPauseMs: 250, priority: 0, serviceMs: 0,
	};
	gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'started', work}, {kind: 'ended', id: 1}]}, 1000);
	const used = runRequest(gateway, request).addresses;
	expect(used).toHaveLength(3);
	expect(runRequest(createLoadedGateway([], 900), request).addresses).toHaveLength(4);
});
