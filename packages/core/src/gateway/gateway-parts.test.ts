import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createConfigurationState, rewriteMs} from './configuration-state.js';
import {createEndpointRegistry, defaultEndpointRegistrySettings} from './endpoint-registry.js';
import {createEventSplitter} from './event-splitter.js';
import {
	createFixtureEndpoints, fixtureNonIdempotentRoute, fixtureConfiguration, fixtureApiKey,
} from './gateway-fixtures.js';
import {createLoadView, type OpenWork} from './load-view.js';
import {getMemoryUseLimits} from './memory-reservation.js';
import {createRouteTable, getWeightedService} from './route-table.js';
import {createRetryQuota} from './retry-quota.js';

describe('createRouteTable and getWeightedService', () => {
	const table = createRouteTable({
		...fixtureConfiguration,
		routes: ['/a/', '/a/b/', '/'].map(prefix => ({...fixtureNonIdempotentRoute, name: prefix, prefix})),
	});

	test.each([
		['/a/b/c', '/a/b/'],
		['/a/bc', '/a/'],
		['/a', '/'],
		['/a/b/', '/a/b/'],
		['/x/y', '/'],
	])('a request for path %s matches the route with the longest prefix, %s', (path, name) => {
		expect(table.findRoute('A.example:80', path)?.name).toBe(name);
	});

	test('a request for an unknown host matches no route', () => {
		expect(table.findRoute('b.example', '/a/')).toBeUndefined();
	});

	test('the services of a route are selected in proportion to their weights', () => {
		const route = {...fixtureNonIdempotentRoute, services: [{service: 'x', weight: 90}, {service: 'y', weight: 10}]};
		expect([0, 0.89, 0.91, 0.999].map(fraction => getWeightedService(route, fraction))).toEqual(['x', 'x', 'y', 'y']);
	});
});

describe('createConfigurationState', () => {
	const settings = {maximumKeyAgeMs: 4000, maximumAbsenceAgeMs: 2500};

	test('an older version is ignored after a newer one', () => {
		const state = createConfigurationState(settings);
		state.recordAnswer({configuration: {...fixtureConfiguration, version: 5}, verifiedAt: 0}, 0);
		expect(state.recordAnswer({configuration: {...fixtureConfiguration, version: 4}, verifiedAt: 1}, 1)).toBe(false);
		expect(state.tryGet()?.version).toBe(5);
	});

	test('keys are refused as not run once the last verification is too old', () => {
		const state = createConfigurationState(settings);
		state.recordAnswer({configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, 4000).kind).toBe('granted');
		expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, 4001)).toMatchObject({failure: {kind: 'platformUnavailable', ran: 'no'}});
	});

	test('a missing key or route is reported as unknown only while the configuration is known to be current', () => {
		const state = createConfigurationState(settings);
		expect(state.checkRoute('a.example', '/book/1', 'other', 0)).toMatchObject({failure: {kind: 'notReady'}});
		state.recordAnswer({configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		expect(state.checkRoute('a.example', '/book/1', 'other', 1)).toMatchObject({failure: {kind: 'unauthorised'}});
		expect(state.checkRoute('a.example', '/none/1', fixtureApiKey, 1)).toMatchObject({failure: {kind: 'routeNotFound'}});
		expect(state.checkRoute('a.example', '/none/1', fixtureApiKey, 2501)).toMatchObject({failure: {kind: 'platformUnavailable'}});
	});

	test('keys are refused after the verification has expired, until the next verification', () => {
		const state = createConfigurationState(settings);
		state.recordAnswer({configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		state.expire();
		expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, 1).kind).toBe('refused');
		state.recordAnswer({configuration: undefined, verifiedAt: 2}, 2);
		expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, 3).kind).toBe('granted');
	});

	// Guards against a process that starts just after a restore and accepts keys of the restored configuration.
	test('nothing is verified by what a store shows that may be just restored, until the operator has had the time to write again or it is settled', () => {
		for (const isSettled of [false, true]) {
			const state = createConfigurationState(settings);
			state.recordRestore(0);
			state.recordAnswer({configuration: fixtureConfiguration, verifiedAt: 1}, 1);
			expect(state.canCheckKeys()).toBe(false);
			expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, 2)).toMatchObject({failure: {kind: 'platformUnavailable', ran: 'no'}});
			if (isSettled) {
				state.recordSettled(3);
			} else {
				state.recordAnswer({configuration: undefined, verifiedAt: rewriteMs - 1}, rewriteMs);
			}

			expect(state.canCheckKeys()).toBe(true);
			expect(state.checkRoute('a.example', '/book/1', fixtureApiKey, rewriteMs + 1).kind).toBe('granted');
		}
	});

	test('a store that is settled verifies nothing while it shows an older version than a peer has', () => {
		const state = createConfigurationState(settings);
		state.recordRestore(0);
		state.learnVersion(fixtureConfiguration.version + 1, 0);
		state.recordAnswer({configuration: fixtureConfiguration, verifiedAt: 1}, 1);
		state.recordSettled(2);
		expect(state.canCheckKeys()).toBe(false);
	});
});

describe('createEndpointRegistry', () => {
	const endpoints = createFixtureEndpoints('models', 2);
	const [firstEndpoint] = endpoints;

	test('draining and unlisted endpoints are not available', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.applyList(endpoints.map(endpoint => ({...endpoint, state: endpoint === firstEndpoint ? 'draining' : 'ready'})), 10);
		expect(registry.getAvailable('models', 10).map(({id}) => id)).toEqual(['models-1']);
		registry.applyList([], 20);
		expect(registry.getAvailable('models', 20)).toEqual([]);
	});

	test('endpoints missing after an outage of the list stay available during the grace period', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordListFailure();
		registry.applyList([], 1000);
		expect(registry.getAvailable('models', 1000)).toHaveLength(2);
		registry.applyList([], 1000 + defaultEndpointRegistrySettings.listOutageGraceMs);
		expect(registry.getAvailable('models', 4000)).toEqual([]);
	});

	test('the time for which an endpoint is avoided doubles with each consecutive failure', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordFailure('models-0', 0);
		expect(registry.getAvailable('models', 399)).toHaveLength(1);
		expect(registry.getAvailable('models', 400)).toHaveLength(2);
		registry.recordFailure('models-0', 400);
		expect(registry.getAvailable('models', 1199)).toHaveLength(1);
	});

	test('both progress of a response and the response to a probe count as a sign that the endpoint is alive', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		expect(registry.hasRespondedSince('models-0', 100)).toBe(false);
		registry.recordProgress('models-0', {sentAt: 50, promptTokens: 5000}, 900);
		expect(registry.hasRespondedSince('models-0', 100)).toBe(true);
		registry.recordProbeResponse('models-0', 1500);
		expect(registry.hasRespondedSince('models-0', 1000)).toBe(true);
	});

	test('a request is overtaken once a later one of at least its length is answered, unless its prompt is split', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordProgress('models-0', {sentAt: 400, promptTokens: 3000}, 900);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: 3000}, 100)).toBe(true);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: 50_000}, 100)).toBe(false);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: undefined}, 100)).toBe(false);
	});

	// Guards against a server that answers at once for another one at its address, and so gets every request while all others pause.
	test('an endpoint at whose address another one responds is left out for its pause though all pause, but for when there is no other', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordMisdirected('models-0', 0);
		registry.recordFailure('models-1', 0);
		expect(registry.getAvailable('models', 10)).toEqual([]);
		expect(registry.getListed('models', 10).map(({id}) => id)).toEqual(['models-1']);
		expect(registry.getListed('models', 400)).toHaveLength(2);
		registry.recordMisdirected('models-0', 400);
		registry.recordMisdirected('models-1', 400);
		expect(registry.getListed('models', 410)).toHaveLength(2);
	});

	test('a restarted endpoint is available even if it was recorded as misdirected before', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordMisdirected('models-0', 0);
		expect(registry.getAvailable('models', 1)).toHaveLength(1);
		registry.applyList(endpoints.map(endpoint => ({...endpoint, startedAt: 2})), 10);
		expect(registry.getAvailable('models', 10)).toHaveLength(2);
	});
});

describe('getMemoryUseLimits', () => {
	// Guards against checks without a pause, and sends abandoned at once, on a platform whose limit is below the hold time.
	test.each([
		{
			idleMs: 9000, firstEventMs: 2800, checkAfterMs: 2800, maximumUnusedMs: 3600,
		},
		{
			idleMs: 9000, firstEventMs: 9000, checkAfterMs: 3600, maximumUnusedMs: 3600,
		},
		{
			idleMs: 3000, firstEventMs: 2800, checkAfterMs: 1500, maximumUnusedMs: 1500,
		},
	])('the limits for $firstEventMs ms to the first event and $idleMs ms without use', ({idleMs, firstEventMs, ...limits}) => {
		expect(getMemoryUseLimits(firstEventMs, idleMs)).toEqual(limits);
	});
});

describe('createRetryQuota', () => {
	test('retries of three gateways stay within the shared limit in every window', () => {
		fc.assert(fc.property(
			fc.array(fc.record({gateway: fc.nat({max: 2}), isRetry: fc.boolean(), afterMs: fc.nat({max: 400})}), {maxLength: 300}),
			steps => {
				const settings = {
					ratio: 0.2, fixedSends: 9, windowMs: 10_000, usedShare: 1,
				};
				const quotas = [0, 1, 2].map(() => createRetryQuota(settings));
				const requests: number[] = [];
				const retries: number[] = [];
				let now = 0;
				for (const {gateway, isRetry, afterMs} of steps) {
					now += afterMs;
					const quota = quotas[gateway];
					quota?.setGatewayCount(3);
					if (!isRetry) {
						quota?.recordRequest('models', now);
						requests.push(now);
					} else if (quota?.tryTake('models', now) === true) {
						retries.push(now);
						const from = now - settings.windowMs;
						const limit = (requests.filter(at => at >= from).length * settings.ratio) + settings.fixedSends;
						expect(retries.filter(at => at >= from).length).toBeLessThanOrEqual(limit + 1e-9);
					}
				}
			},
		), {seed: 8, numRuns: 300});
	});
});

describe('createEventSplitter', () => {
	test('a stream yields the same events for any division into chunks', () => {
		const text = 'id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\nid: 3\nda';
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 9}), {maxLength: 60}), chunkLengths => {
			const splitter = createEventSplitter();
			const ids: Array<string | undefined> = [];
			let joined = '';
			let start = 0;
			for (const length of [...chunkLengths, text.length]) {
				joined += Buffer.from(splitter.addBytes(Buffer.from(text.slice(start, start + length)), event => {
					ids.push(event.id);
					return true;
				})).toString();

				start += length;
			}

			expect(ids).toEqual(['1', undefined, '2']);
			expect(joined).toBe(text.slice(0, -'id: 3\nda'.length));
			expect(splitter.getIncompleteByteCount()).toBe('id: 3\nda'.length);
		}), {seed: 8, numRuns: 300});
	});
});

describe('createEventSplitter, given blank lines', () => {
	// Guards against blank lines without end, each pair of which became an event and filled the memory.
	test.each(['\n', '\r\n'])('returns no events for them, and keeps none of their bytes (%j)', lineEnd => {
		const splitter = createEventSplitter();
		const ids: Array<string | undefined> = [];
		const addText = (text: string): string => Buffer.from(splitter.addBytes(Buffer.from(text), ({id}) => {
			ids.push(id);
			return true;
		})).toString();
		expect(addText(lineEnd.repeat(30_000))).toBe('');
		expect(ids).toEqual([]);
		expect(splitter.getIncompleteByteCount()).toBe(0);
		expect(addText(`id: 1${lineEnd}${lineEnd}${lineEnd}`)).toBe(`id: 1${lineEnd}${lineEnd}`);
		expect(ids).toEqual(['1']);
		expect(splitter.getIncompleteByteCount()).toBe(0);
	});
});

describe('createLoadView', () => {
	const work: OpenWork = {
		id: 1, endpoint: 'a', helpers: [{endpoint: 'b', reservedTokens: 0}], promptTokens: 100_000, readMs: 400, longestPauseMs: 600, priority: 1, serviceMs: 0,
	};

	test('prefill counts at the receiver and the helper, decoding only at the receiver', () => {
		const view = createLoadView();
		view.applyChange('g', {kind: 'started', work}, 0);
		expect(view.getLoad('b', 60)).toMatchObject({requests: 0, helpedRequests: 1, prefillBacklogMs: 400});
		expect(view.getLoad('b', 260)).toMatchObject({helpedRequests: 1, prefillBacklogMs: 200});
		expect(view.getLoad('b', 1000)).toMatchObject({prefillBacklogMs: 0});
		expect(view.getLoad('a', 1000)).toMatchObject({prefillBacklogMs: 100});
		view.applyChange('g', {kind: 'writing', id: 1}, 500);
		expect(view.getLoad('a', 500)).toMatchObject({requests: 1, prefillBacklogMs: 0, memoryTokens: 100_000});
		expect(view.getLoad('b', 500).helpedRequests).toBe(0);
		view.applyChange('g', {kind: 'ended', id: 1}, 600);
		expect(view.getLoad('a', 600).requests).toBe(0);
	});

	test('a reset discards all requests of the gateway', () => {
		const view = createLoadView();
		view.applyChange('g', {kind: 'started', work}, 0);
		view.applyChange('g', {kind: 'reset'}, 0);
		expect(view.getLoad('a', 0).requests).toBe(0);
	});
});
