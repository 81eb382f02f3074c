/**
Fixtures of a small deployment, for tests of the gateway and of the packages that use it.
*/
import {noDelays} from '../arrival-delays.js';
import type {
	EndpointResponseHead, EngineProfile, GatewayRequest, ListedEndpoint, ServedRoute, ServingConfiguration,
} from './gateway-types.js';
import type {GatewaySettings} from './gateway.js';
import {defaultEndpointRegistrySettings} from './endpoint-registry.js';

/** An engine profile with the capacity and speed of a deployed server. */
export const fixtureEngine: EngineProfile = {
	slots: 11,
	memoryTokens: 405_000,
	stepsPerPass: 34,
	stepMs: 1.31,
	stepMsPerSequence: 0.0013,
	stepMsPerThousandTokens: 0.002_13,
	prefillTokensPerMs: 154,
	prefillMsPerMillionPairs: 0.162,
};

const commonRoute = {
	host: 'a.example', isPublic: false, priority: 1, permittedRegions: [], services: [{service: 'models', weight: 1}],
} as const;

export const fixtureStreamRoute: ServedRoute = {
	...commonRoute,
	name: 'ask',
	prefix: '/ask/',
	kind: 'streaming',
	timeoutMs: 10_000,
	objectiveMs: 300,
	maximumEndpoints: 2,
	isResumable: true,
	longestPauseMs: 250,
};

/** Route of prompts that are long enough to be split over several servers. */
export const fixtureLongStreamRoute: ServedRoute = {
	...fixtureStreamRoute, name: 'archive', prefix: '/archive/', timeoutMs: 15_000, objectiveMs: 4000, longestPauseMs: 1000,
};

export const fixtureNonIdempotentRoute: ServedRoute = {
	...commonRoute,
	name: 'book',
	prefix: '/book/',
	kind: 'nonIdempotent',
	timeoutMs: 1000,
	objectiveMs: 200,
	maximumEndpoints: 1,
	isResumable: false,
	longestPauseMs: 0,
	services: [{service: 'shop', weight: 1}],
};

export const fixtureIdempotentRoute: ServedRoute = {
	...fixtureNonIdempotentRoute, name: 'look', prefix: '/look/', kind: 'idempotent', maximumEndpoints: 2,
};

export const fixtureApiKey = 'key-1';

export const fixtureConfiguration: ServingConfiguration = {
	version: 1,
	routes: [fixtureStreamRoute, fixtureLongStreamRoute, fixtureNonIdempotentRoute, fixtureIdempotentRoute],
	services: new Map([
		['models', {name: 'models', engine: fixtureEngine, coldTolerance: undefined}],
		['shop', {name: 'shop', engine: undefined, coldTolerance: undefined}],
	]),
	organisationsByKey: new Map([[fixtureApiKey, 'club']]),
	organisations: new Map([['club', {name: 'club', priority: undefined, permittedRegions: []}]]),
	limits: {maximumBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
};

/** Returns endpoints of a service, alternating between two data centres. */
export function createFixtureEndpoints(service: string, count: number): readonly ListedEndpoint[] {
	return Array.from({length: count}, (_, index) => ({
		id: `${service}-${index}`,
		service,
		address: `10.0.${service.length}.${index}:80`,
		dataCentre: index % 2 === 0 ? 'east' : 'west',
		slots: service === 'models' ? 11 : 6,
		state: 'ready' as const,
		startedAt: 1,
		coldRemainingMs: 0,
	}));
}

export const fixtureGatewaySettings: GatewaySettings = {
	name: 'gateway-1',
	incarnation: 'life-1',
	dataCentre: 'east',
	configuration: {maximumKeyAgeMs: 4000, maximumAbsenceAgeMs: 2500},
	endpoints: defaultEndpointRegistrySettings,
	retryQuota: {
		ratio: 0.2, fixedSends: 100, windowMs: 10_000, usedShare: 0.75,
	},
	memoryIdleMs: 9000,
	regions: new Map(),
	evacuationMs: undefined,
	coldEndpoints: undefined,
	isWorkAware: false,
	isUrgencyAware: false,
};

/** Returns a request of the route; without changes it arrives at time 0. */
export function createFixtureGatewayRequest(route: ServedRoute, changes: Partial<GatewayRequest> = {}): GatewayRequest {
	const arrivedAt = changes.arrivedAt ?? 0;
	return {
		key: 1,
		requestId: 'r-1',
		route,
		path: route.prefix,
		service: route.services[0]?.service ?? '',
		organisation: 'club',
		priority: route.priority,
		credential: fixtureApiKey,
		deadlineAt: arrivedAt + route.timeoutMs,
		arrivedAt,
		delays: noDelays,
		prompt: route.kind === 'streaming' ? {promptTokens: 5000, maximumTokens: 1000} : undefined,
		sharedSegments: [],
		fingerprint: `fingerprint-${changes.key ?? 1}`,
		lastEventId: undefined,
		...changes,
	};
}

/** Returns the head of a valid response. */
export function createFixtureHead(changes: Partial<EndpointResponseHead> = {}): EndpointResponseHead {
	return {
		status: 200,
		headers: [],
		requestId: 'r-1',
		hasStamp: true,
		isNotRun: false,
		refusalText: undefined,
		faultyAddress: undefined,
		isEncoded: false,
		isUndelimited: false,
		isLeaving: false,
		requestsPerSecond: undefined,
		coldRemainingMs: undefined,
		load: undefined,
		retryAfterMs: undefined,
		...changes,
	};
}
