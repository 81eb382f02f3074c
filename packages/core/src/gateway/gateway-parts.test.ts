import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createConfigurationState} from './configuration-state.js';
import {createEndpointRegistry, defaultEndpointRegistrySettings} from './endpoint-registry.js';
import {createEventSplitter} from './event-splitter.js';
import {
	createFixtureEndpoints, fixtureAction, fixtureConfiguration, fixtureKey,
} from './gateway-fixtures.js';
import {createLoadView, type Work} from './load-view.js';
import {createRouteTable, getWeightedService} from './route-table.js';
import {createSendBudget} from './send-budget.js';

describe('routes', () => {
	const table = createRouteTable({
		...fixtureConfiguration,
		routes: ['/a/', '/a/b/', '/'].map(prefix => ({...fixtureAction, name: prefix, prefix})),
	});

	test.each([
		['/a/b/c', '/a/b/'],
		['/a/bc', '/a/'],
		['/a', '/'],
		['/a/b/', '/a/b/'],
		['/x/y', '/'],
	])('%s takes %s', (path, name) => {
		expect(table.findRoute('A.example:80', path)?.name).toBe(name);
	});

	test('another host has no route', () => {
		expect(table.findRoute('b.example', '/a/')).toBeUndefined();
	});

	test('services share a route by weight', () => {
		const route = {...fixtureAction, services: [{service: 'x', weight: 90}, {service: 'y', weight: 10}]};
		expect([0, 0.89, 0.91, 0.999].map(fraction => getWeightedService(route, fraction))).toEqual(['x', 'x', 'y', 'y']);
	});
});

describe('the configuration', () => {
	const settings = {maximumKeyAgeMs: 4000, maximumAbsenceAgeMs: 2500};

	test('never goes back to an older version', () => {
		const state = createConfigurationState(settings);
		state.recordVerified({...fixtureConfiguration, version: 5}, 0);
		expect(state.recordVerified({...fixtureConfiguration, version: 4}, 1)).toBe(false);
		expect(state.tryGet()?.version).toBe(5);
	});

	test('accepts keys only while it was verified lately', () => {
		const state = createConfigurationState(settings);
		state.recordVerified(fixtureConfiguration, 0);
		expect(state.checkRoute('a.example', '/book/1', fixtureKey, 4000).kind).toBe('granted');
		expect(state.checkRoute('a.example', '/book/1', fixtureKey, 4001)).toMatchObject({failure: {kind: 'platformUnavailable', ran: 'no'}});
	});

	test('says that a key or route is unknown only while that is certain', () => {
		const state = createConfigurationState(settings);
		expect(state.checkRoute('a.example', '/book/1', 'other', 0)).toMatchObject({failure: {kind: 'notReady'}});
		state.recordVerified(fixtureConfiguration, 0);
		expect(state.checkRoute('a.example', '/book/1', 'other', 1)).toMatchObject({failure: {kind: 'unauthorised'}});
		expect(state.checkRoute('a.example', '/none/1', fixtureKey, 1)).toMatchObject({failure: {kind: 'routeNotFound'}});
		expect(state.checkRoute('a.example', '/none/1', fixtureKey, 2501)).toMatchObject({failure: {kind: 'platformUnavailable'}});
	});

	test('refuses keys after the clocks moved, until it is verified again', () => {
		const state = createConfigurationState(settings);
		state.recordVerified(fixtureConfiguration, 0);
		state.expire();
		expect(state.checkRoute('a.example', '/book/1', fixtureKey, 1).kind).toBe('refused');
		state.recordVerified(undefined, 2);
		expect(state.checkRoute('a.example', '/book/1', fixtureKey, 3).kind).toBe('granted');
	});
});

describe('endpoints', () => {
	const endpoints = createFixtureEndpoints('models', 2);
	const [first] = endpoints;

	test('get no work once they drain or are no longer listed', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.applyList(endpoints.map(endpoint => ({...endpoint, state: endpoint === first ? 'draining' : 'ready'})), 10);
		expect(registry.getAvailable('models', 10).map(({id}) => id)).toEqual(['models-1']);
		registry.applyList([], 20);
		expect(registry.getAvailable('models', 20)).toEqual([]);
	});

	test('that are missing after an outage are kept for a while', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordListFailure();
		registry.applyList([], 1000);
		expect(registry.getAvailable('models', 1000)).toHaveLength(2);
		registry.applyList([], 1000 + defaultEndpointRegistrySettings.lapseGraceMs);
		expect(registry.getAvailable('models', 4000)).toEqual([]);
	});

	test('pause longer after each failure in a row', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordFailure('models-0', 0);
		expect(registry.getAvailable('models', 399)).toHaveLength(1);
		expect(registry.getAvailable('models', 400)).toHaveLength(2);
		registry.recordFailure('models-0', 400);
		expect(registry.getAvailable('models', 1199)).toHaveLength(1);
	});

	test('are heard by their answers and by probes', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		expect(registry.isHeardSince('models-0', 100)).toBe(false);
		registry.recordProgress('models-0', {sentAt: 50, promptTokens: 5000}, 900);
		expect(registry.isHeardSince('models-0', 100)).toBe(true);
		registry.recordAlive('models-0', 1500);
		expect(registry.isHeardSince('models-0', 1000)).toBe(true);
	});

	test('that answer later requests have lost an older one', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordProgress('models-0', {sentAt: 400, promptTokens: 3000}, 900);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: 3000}, 100)).toBe(true);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: 50_000}, 100)).toBe(false);
		expect(registry.isOvertaken('models-0', {sentAt: 100, promptTokens: undefined}, 100)).toBe(false);
	});

	test('of another life start without a past', () => {
		const registry = createEndpointRegistry(defaultEndpointRegistrySettings);
		registry.applyList(endpoints, 0);
		registry.recordReplaced('models-0');
		expect(registry.getAvailable('models', 1)).toHaveLength(1);
		registry.applyList(endpoints.map(endpoint => ({...endpoint, bornAt: 2})), 10);
		expect(registry.getAvailable('models', 10)).toHaveLength(2);
	});
});

describe('further sends', () => {
	test('stay within the shared limit in each window, whatever comes', () => {
		fc.assert(fc.property(
			fc.array(fc.record({gateway: fc.nat({max: 2}), isSend: fc.boolean(), afterMs: fc.nat({max: 400})}), {maxLength: 300}),
			steps => {
				const settings = {
					ratio: 0.2, fixedSends: 9, windowMs: 10_000, usedShare: 1,
				};
				const budgets = [0, 1, 2].map(() => createSendBudget(settings));
				const requests: number[] = [];
				const sends: number[] = [];
				let now = 0;
				for (const {gateway, isSend, afterMs} of steps) {
					now += afterMs;
					const budget = budgets[gateway];
					budget?.setGatewayCount(3);
					if (!isSend) {
						budget?.recordRequest('models', now);
						requests.push(now);
					} else if (budget?.trySpend('models', now) === true) {
						sends.push(now);
						const from = now - settings.windowMs;
						const limit = (requests.filter(at => at >= from).length * settings.ratio) + settings.fixedSends;
						expect(sends.filter(at => at >= from).length).toBeLessThanOrEqual(limit + 1e-9);
					}
				}
			},
		), {seed: 8, numRuns: 300});
	});
});

describe('events', () => {
	test('are the same however their bytes are cut', () => {
		const text = 'id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\nid: 3\nda';
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 9}), {maxLength: 60}), cuts => {
			const splitter = createEventSplitter();
			const ids: Array<string | undefined> = [];
			let whole = '';
			let start = 0;
			for (const length of [...cuts, text.length]) {
				for (const event of splitter.addBytes(Buffer.from(text.slice(start, start + length)))) {
					ids.push(event.id);
					whole += Buffer.from(event.bytes).toString();
				}

				start += length;
			}

			expect(ids).toEqual(['1', undefined, '2']);
			expect(whole).toBe(text.slice(0, -'id: 3\nda'.length));
			expect(splitter.getIncompleteByteCount()).toBe('id: 3\nda'.length);
		}), {seed: 8, numRuns: 300});
	});
});

describe('the view of the load', () => {
	const work: Work = {
		id: 1, endpoint: 'a', helpers: [{endpoint: 'b', reservedTokens: 0}], promptTokens: 100_000, readMs: 400, longestPauseMs: 600,
	};

	test('counts reading at each endpoint and writing at one', () => {
		const view = createLoadView();
		view.applyChange('g', {kind: 'started', work}, 0);
		expect(view.getLoad('b', 60)).toMatchObject({requests: 0, helped: 1, readMs: 400});
		expect(view.getLoad('b', 260)).toMatchObject({helped: 1, readMs: 200});
		expect(view.getLoad('b', 1000)).toMatchObject({readMs: 0});
		expect(view.getLoad('a', 1000)).toMatchObject({readMs: 100});
		view.applyChange('g', {kind: 'writing', id: 1}, 500);
		expect(view.getLoad('a', 500)).toMatchObject({requests: 1, readMs: 0, memoryTokens: 100_000});
		expect(view.getLoad('b', 500).helped).toBe(0);
		view.applyChange('g', {kind: 'ended', id: 1}, 600);
		expect(view.getLoad('a', 600).requests).toBe(0);
	});

	test('drops the requests of a gateway that is lost', () => {
		const view = createLoadView();
		view.applyChange('g', {kind: 'started', work}, 0);
		view.applyChange('g', {kind: 'reset'}, 0);
		expect(view.getLoad('a', 0).requests).toBe(0);
	});
});
