import {describe, expect, test} from 'vitest';
import {createNotRunFailure} from '../errors.js';
import {createConfigurationState} from './configuration-state.js';
import {createEndpointRegistry} from './endpoint-registry.js';
import {createForwardedRequest, type ForwardedRequest, type PlacementDecision} from './forwarded-request.js';
import {createGateway, type Gateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureConfiguration, fixtureGatewaySettings, fixtureIdempotentRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayAction, SendId} from './gateway-events.js';
import type {ListedEndpoint, ServedRoute} from './gateway-types.js';
import {createRetryQuota} from './retry-quota.js';

type ChangingRequest = Readonly<{request: ForwardedRequest; forbidRepeats(): void}>;

const brokenAt = 20;

function startGateway(): Gateway {
	const gateway = createGateway(fixtureGatewaySettings);
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: [...createFixtureEndpoints('models', 4), ...createFixtureEndpoints('shop', 3)]}, 0);
	return gateway;
}

/** Puts a configuration in force in which some routes are replaced. */
function replaceRoutes(gateway: Gateway, replace: (route: ServedRoute) => readonly ServedRoute[]): void {
	const configuration = {...fixtureConfiguration, version: 2, routes: fixtureConfiguration.routes.flatMap(route => replace(route))};
	gateway.step({kind: 'configurationVerified', configuration, verifiedAt: 10}, 10);
}

function getSendIds(actions: readonly GatewayAction[]): readonly SendId[] {
	return actions.flatMap(action => action.kind === 'send' ? [action.sendId] : []);
}

/** Starts a request, changes routes, and breaks the connection of the send. Returns the actions that follow. */
function breakSendAfterChange(route: ServedRoute, replace: (route: ServedRoute) => readonly ServedRoute[]): readonly GatewayAction[] {
	const gateway = startGateway();
	const [sendId = 0] = getSendIds(gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(route)}, 0));
	replaceRoutes(gateway, replace);
	return gateway.step({
		kind: 'requestChanged', key: 1, event: {
			kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
		},
	}, brokenAt);
}

describe('a request that may have run', () => {
	// Guards against a request that runs twice, since its route had allowed that only when it arrived.
	test.each([
		['non-idempotent', fixtureIdempotentRoute, {kind: 'nonIdempotent'}],
		['one whose streams can not be resumed', fixtureStreamRoute, {isResumable: false}],
	] as const)('is not sent again if its route has become %s since it arrived', (_, arrivalRoute, changes) => {
		const actions = breakSendAfterChange(arrivalRoute, route => [route.name === arrivalRoute.name ? {...route, ...changes} : route]);
		expect(getSendIds(actions)).toEqual([]);
		expect(actions.find(action => action.kind === 'failRequest')).toMatchObject({failure: {kind: 'serverLost', ran: 'unknown'}});
	});

	test.each([fixtureIdempotentRoute, fixtureStreamRoute])('is sent again if its route ($name) has changed otherwise, or is gone', arrivalRoute => {
		expect(getSendIds(breakSendAfterChange(arrivalRoute, route => [{...route, timeoutMs: route.timeoutMs + 1}]))).toHaveLength(1);
		expect(getSendIds(breakSendAfterChange(arrivalRoute, route => route.name === arrivalRoute.name ? [] : [route]))).toHaveLength(1);
	});

	// Guards against a request that runs twice, since a longer prefix has taken it out of the route on which it arrived.
	test('is not sent again if its path has become one of a route that forbids repeats', () => {
		const state = createConfigurationState(fixtureGatewaySettings.configuration);
		state.recordAnswer({configuration: fixtureConfiguration, writtenAtRevision: 1, verifiedAt: 0}, 0);
		expect(state.mayRepeat(fixtureIdempotentRoute, '/look/buy/1')).toBe(true);
		const part = {
			...fixtureIdempotentRoute, name: 'buy', prefix: '/look/buy/', kind: 'nonIdempotent',
		} as const;
		const configuration = {...fixtureConfiguration, version: 2, routes: [...fixtureConfiguration.routes, part]};
		state.recordAnswer({configuration, writtenAtRevision: 2, verifiedAt: 10}, 10);
		expect(state.mayRepeat(fixtureIdempotentRoute, '/look/buy/1')).toBe(false);
		expect(state.mayRepeat(fixtureIdempotentRoute, '/look/1')).toBe(true);
	});

	describe('and whose route forbids repeats from a moment on', () => {
		/** Starts a request whose first send breaks, or stays open, and whose later placements are these. */
		function startBrokenRequest(placements: readonly PlacementDecision[], breaksFirst = true): ChangingRequest {
			const decisions = [...placements];
			let isRepeatable = true;
			let sendCount = 0;
			const request = createForwardedRequest(createFixtureGatewayRequest(fixtureStreamRoute), {
				registry: createEndpointRegistry(fixtureGatewaySettings.endpoints),
				retryQuota: createRetryQuota(fixtureGatewaySettings.retryQuota),
				memoryIdleMs: fixtureGatewaySettings.memoryIdleMs,
				createSendId() {
					sendCount += 1;
					return sendCount;
				},
				createReservationId: sendId => `memory-${sendId}`,
				choosePlacement: () => decisions.shift() ?? {kind: 'refused', failure: createNotRunFailure('overloaded')},
				isPermitted: () => true,
				checkCredential: () => undefined,
				mayRepeat: () => isRepeatable,
				recordBrokenSend: () => [],
				recordUnreachable: () => [],
				recordLeaving: () => [],
				recordLimit: () => [],
				recordCold: () => [],
				recordCompletion: () => [],
				recordUncertainCompletion: () => [],
				learnWork: () => [],
				recordWork: () => undefined,
			});
			request.step({kind: 'started'}, 0);
			if (breaksFirst) {
				request.step({
					kind: 'sendFailed', sendId: 1, wasSent: true, detail: 'ECONNRESET',
				}, 100);
			}

			return {
				request,
				forbidRepeats() {
					isRepeatable = false;
				},
			};
		}

		const [first, second, third] = createFixtureEndpoints('models', 3);
		const lostFailure = {kind: 'failRequest', failure: {kind: 'serverLost', ran: 'unknown'}} as const;

		function createPlaced(endpoint: ListedEndpoint | undefined, helper?: ListedEndpoint): PlacementDecision {
			if (endpoint === undefined) {
				throw new Error('the fixtures contain no endpoint');
			}

			return {
				kind: 'placed',
				placement: {
					endpoint, helpers: helper === undefined ? [] : [{endpoint: helper, reservedTokens: 100}], prefillMs: 10, firstEventMs: 10, interferenceCost: 0,
				},
				candidates: 1,
				trialActions: [],
			};
		}

		// Each guards against a request that runs twice, since the route was asked only before it had to wait.
		test('is not sent again after it was deferred', () => {
			const {request, forbidRepeats} = startBrokenRequest([createPlaced(first), {kind: 'deferred', untilAt: 300, reports: []}, createPlaced(second)]);
			forbidRepeats();
			expect(request.step({kind: 'timePassed'}, 300)).toMatchObject([lostFailure]);
		});

		test.each([true, false])('is not sent again after its memory was asked for (held: %s)', isHeld => {
			const {request, forbidRepeats} = startBrokenRequest([createPlaced(first), createPlaced(second, third), createPlaced(third)]);
			forbidRepeats();
			const actions = request.step({kind: 'memoryAnswered', reservationId: 'memory-2', isHeld}, 150);
			expect(getSendIds(actions)).toEqual([]);
			expect(actions.at(-1)).toMatchObject(lostFailure);
		});

		test('is kept at its silent endpoint, though that reports no open request', () => {
			const {request, forbidRepeats} = startBrokenRequest([createPlaced(first), createPlaced(second)], false);
			let now = 0;
			while (now < 10_000 && !request.step({kind: 'timePassed'}, now).some(({kind}) => kind === 'probeEndpoint')) {
				now = request.getWakeAt();
			}

			forbidRepeats();
			const report = {openRequests: 0, usedReservations: new Set<string>(), startedAt: undefined};
			const actions = request.step({kind: 'probeAnswered', endpoint: first?.id ?? '', report}, now + 50);
			expect(actions.map(({kind}) => kind)).toEqual(['reportDecision']);
			expect(request.isEnded()).toBe(false);
		});
	});
});
