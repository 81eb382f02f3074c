/**
Requests to cold endpoints, of up to 880 gateways that share nothing. The seed is fixed so that every run gives the same
result; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createColdEndpoints, type ColdEndpoints} from './cold-endpoints.js';
import {createColdShares, getMargin, type ColdShares} from './cold-shares.js';
import {getHash, getPairHash} from './endpoint-ranking.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureEngine, fixtureGatewaySettings, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayAction} from './gateway-events.js';
import type {ListedEndpoint, ServedRoute} from './gateway-types.js';
import {createGateway, type Gateway} from './gateway.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 10),
};

const settings = {ratio: 1.5, fixedRequests: 5};
const tolerance = {requestsPerSecond: 28, durationMs: 3000};
/** What the settings and the tolerance allow in any second. */
const limit = 47;
/** Time from which on a gateway that got its first list at 0 takes part. */
const settledAt = 10_000;
const windowMs = 1000;
const stepMs = 20;

const endpoints = createFixtureEndpoints('models', 6);
const endpoint = endpoints[0]!;

/** Returns the names of gateways in their rank for the endpoint. */
function createNames(count: number): readonly string[] {
	const salt = getHash(endpoint.id);
	return Array.from({length: count}, (_, index) => `gateway-${index}`).toSorted((left, right) => getPairHash(salt, getHash(left)) - getPairHash(salt, getHash(right)));
}

/** Returns the most others that a gateway can lack in a list that also names `ghosts` former ones. */
function getMaximumMissing(count: number, ghosts: number, requestLimit: number): number {
	let missing = 0;
	while (missing + 1 < count && missing + 1 <= getMargin(count - missing - 1 + ghosts, requestLimit)) {
		missing += 1;
	}

	return missing;
}

/** Returns the other names less `missing` ones: those that rank first for the endpoint, or others for each gateway. */
function getView(names: readonly string[], self: string, missing: number, isWorst: boolean): readonly string[] {
	const others = names.filter(name => name !== self);
	const offset = isWorst || others.length === 0 ? 0 : getHash(self) % others.length;
	return [...others.slice(offset), ...others.slice(0, offset)].slice(missing);
}

function createMember(self: string, view: readonly string[], listedAt: number): Readonly<{shares: ColdShares; cold: ColdEndpoints}> {
	const shares = createColdShares(self);
	shares.recordGateways(view, listedAt);
	const cold = createColdEndpoints({settings, shares, getTolerance: () => tolerance});
	cold.applyList(endpoints, listedAt);
	return {shares, cold};
}

/** Returns the most times within a second from `from` on. */
function getMostInWindow(times: readonly number[], from: number): number {
	const counted = times.filter(time => time >= from);
	return Math.max(0, ...counted.map(start => counted.filter(time => time >= start && time <= start + windowMs).length));
}

describe('createColdShares', () => {
	// Guards against gateways that know too few others and take more together than an endpoint allows.
	test.each([
		{counts: [1, 5, 28, 100], numRuns: parameters.numRuns},
		{counts: [880], numRuns: Math.ceil(parameters.numRuns / 10)},
	])('the shares of $counts gateways stay within the limit while each lacks no more of the others than its margin', ({counts, numRuns}) => {
		const scenario = fc.record({
			count: fc.constantFrom(...counts), requestLimit: fc.integer({min: 2, max: 100}), ghosts: fc.nat(8), missingShare: fc.double({min: 0, max: 1, noNaN: true}), isWorst: fc.boolean(),
		});
		fc.assert(fc.property(scenario, ({count, requestLimit, ghosts, missingShare, isWorst}) => {
			const names = createNames(count);
			const missing = Math.round(getMaximumMissing(count, ghosts, requestLimit) * missingShare);
			const ghostNames = Array.from({length: ghosts}, (_, index) => `former-${index}`);
			let sum = 0;
			for (const name of names) {
				const shares = createColdShares(name);
				shares.recordGateways([...getView(names, name, missing, isWorst), ...ghostNames], 0);
				sum += shares.getShare(endpoint.id, requestLimit, settledAt);
			}

			expect(sum).toBeLessThanOrEqual(requestLimit);
		}), {...parameters, numRuns});
	}, 120_000);

	test('gateways that know each other use at least a third of the limit, for any number of gateways', () => {
		fc.assert(fc.property(fc.constantFrom(1, 2, 3, 7, 28, 40, 60, 100), fc.integer({min: 2, max: 100}), (count, requestLimit) => {
			const names = createNames(count);
			let sum = 0;
			for (const name of names) {
				const shares = createColdShares(name);
				shares.recordGateways(names, 0);
				sum += shares.getShare(endpoint.id, requestLimit, settledAt);
			}

			expect(sum).toBeGreaterThanOrEqual(Math.floor(requestLimit / 3));
		}), parameters);
	}, 120_000);

	test('a gateway that has no list, or has had one only since a moment, has no share', () => {
		const shares = createColdShares('gateway-1');
		expect(shares.getShare(endpoint.id, limit, settledAt)).toBe(0);
		shares.recordGateways([], settledAt);
		expect(shares.getShare(endpoint.id, limit, settledAt + 3999)).toBe(0);
		expect(shares.getShare(endpoint.id, limit, settledAt + 4000)).toBeGreaterThan(0);
	});

	test('a gateway that is no longer listed counts for ten minutes', () => {
		const shares = createColdShares('gateway-1');
		shares.recordGateways(createNames(28), 0);
		const share = shares.getShare(endpoint.id, limit, settledAt);
		shares.recordGateways([], 590_000);
		expect(shares.getShare(endpoint.id, limit, 590_000)).toBe(share);
		shares.recordGateways([], 600_001);
		expect(shares.getShare(endpoint.id, limit, 600_001)).toBeGreaterThan(share);
	});
});

describe('createColdEndpoints', () => {
	/** Sends as often as the gateways' windows allow, and returns when. */
	function runGreedily(count: number, restarts: ReadonlyArray<Readonly<{gatewayIndex: number; at: number}>>, coldAt: number, isWorst: boolean): readonly number[] {
		const names = createNames(count);
		const missing = getMaximumMissing(count, 0, limit);
		const members = names.map(name => createMember(name, getView(names, name, missing, isWorst), 0));
		const sentAt: number[] = [];
		for (let now = settledAt; now < settledAt + 8000; now += stepMs) {
			for (const {gatewayIndex, at} of restarts.filter(restart => Math.abs(settledAt + restart.at - now) < stepMs / 2)) {
				const name = names[gatewayIndex % count]!;
				members[gatewayIndex % count] = createMember(name, getView(names, name, missing, isWorst), now);
			}

			for (const [index, {cold}] of members.entries()) {
				if (now >= coldAt) {
					cold.applyPeerChange({kind: 'endpointCold', endpoint: endpoint.id, remainingMs: 60_000}, now);
				}

				// While it is warm, the gateways send at several times the rate that it tolerates when cold.
				const isDue = now >= coldAt || (Math.floor(now / stepMs) + index) % 10 === 0;
				if (isDue && cold.getWaitMs(endpoint.id, now) === 0) {
					cold.recordSend(endpoint.id, now);
					sentAt.push(now);
				}
			}
		}

		return sentAt;
	}

	// Guards against bursts beyond the limit when an endpoint becomes cold under load, and after restarts that forget what was sent.
	test('no second has more requests than the limit from when the gateways know that an endpoint is cold, whatever they restart', () => {
		const scenario = fc.record({
			count: fc.constantFrom(1, 5, 28, 100),
			restarts: fc.array(fc.record({gatewayIndex: fc.nat(99), at: fc.integer({min: 0, max: 8000})}), {maxLength: 30}),
			coldAt: fc.integer({min: settledAt, max: settledAt + 5000}),
			isWorst: fc.boolean(),
		});
		fc.assert(fc.property(scenario, ({count, restarts, coldAt, isWorst}) => {
			const sentAt = runGreedily(count, restarts, coldAt, isWorst);
			expect(getMostInWindow(sentAt, coldAt)).toBeLessThanOrEqual(limit);
		}), {...parameters, numRuns: Math.ceil(parameters.numRuns / 2)});
	}, 120_000);

	test('a cold endpoint goes on getting requests from 28 gateways that know each other', () => {
		const sentAt = runGreedily(28, [], settledAt, false);
		const times = [1, 2, 3, 4].map(index => settledAt + (index * 1500));
		expect(times.filter(time => !sentAt.some(at => at >= time && at < time + 1500))).toEqual([]);
	});

	test('a new process is presumed to be cold until an entry that was written later doesn\'t say so', () => {
		const {cold} = createMember('gateway-1', [], 0);
		expect(cold.isCold(endpoint.id, 100)).toBe(false);
		const restarted = endpoints.map(listed => listed === endpoint ? {...listed, startedAt: 2} : listed);
		expect(cold.applyList(restarted, 500)).toEqual([{
			kind: 'reportColdEndpoint', report: {
				kind: 'cold', endpoint: endpoint.id, remainingMs: 3000, source: 'newProcess',
			},
		}]);
		cold.applyList(restarted, 1000);
		expect(cold.isCold(endpoint.id, 1000)).toBe(true);
		expect(cold.applyList(restarted, 3000)).toEqual([{kind: 'reportColdEndpoint', report: {kind: 'warm', endpoint: endpoint.id}}]);
	});

	test('an endpoint whose connections broke, and those of a data centre that is back in use, are presumed to be cold', () => {
		const {cold} = createMember('gateway-1', [], 0);
		cold.recordLost(endpoint.id, 1000);
		expect(endpoints.filter(({id}) => cold.isCold(id, 3999))).toEqual([endpoint]);
		cold.recordReturn('west', 5000);
		expect(endpoints.filter(({id}) => cold.isCold(id, 7999)).map(({dataCentre}) => dataCentre)).toEqual(['west', 'west', 'west']);
		expect(cold.isCold('models-1', 8000)).toBe(false);
	});

	test('peers are told when a response says that an endpoint is cold, and once', () => {
		const {cold} = createMember('gateway-1', [], 0);
		const change = {kind: 'endpointCold', endpoint: endpoint.id, remainingMs: 2500};
		expect(cold.recordResponse(endpoint.id, 2500, 100)).toContainEqual({kind: 'publishChange', change});
		expect(cold.recordResponse(endpoint.id, 2400, 200)).toEqual([]);
		expect(cold.getSnapshot(600)).toEqual([{...change, remainingMs: 2000}]);
	});

	test('three of the gateways tell their peers of an entry that says that an endpoint is cold', () => {
		const names = createNames(28);
		const listed = endpoints.map(other => other === endpoint ? {...other, coldRemainingMs: 3000} : other);
		const tellers = names.filter(name => createMember(name, names, 0).cold.applyList(listed, 500).some(({kind}) => kind === 'publishChange'));
		expect(tellers).toHaveLength(3);
	});

	test('endpoints of a service that tolerates any rate are never cold', () => {
		const cold = createColdEndpoints({settings, shares: createColdShares('gateway-1'), getTolerance: () => undefined});
		expect(cold.applyList([{...endpoint, coldRemainingMs: 3000}], 0)).not.toContainEqual(expect.objectContaining({kind: 'reportColdEndpoint'}));
		expect(cold.getWaitMs(endpoint.id, 1)).toBe(0);
	});
});

describe('a gateway with cold endpoints', () => {
	const services = new Map([['models', {name: 'models', engine: fixtureEngine, coldTolerance: tolerance}]]);

	function createReadyGateway(name: string, names: readonly string[], listed: readonly ListedEndpoint[]): Gateway {
		const gateway = createGateway({...fixtureGatewaySettings, name, coldEndpoints: settings});
		gateway.step({kind: 'configurationVerified', configuration: {...fixtureConfiguration, services}, verifiedAt: settledAt}, settledAt);
		gateway.step({kind: 'gatewaysListed', names: names.filter(other => other !== name)}, 0);
		gateway.step({kind: 'endpointsListed', endpoints: listed}, settledAt);
		return gateway;
	}

	function submit(gateway: Gateway, key: number, route: ServedRoute, now: number): readonly GatewayAction[] {
		const promptTokens = route === fixtureLongStreamRoute ? 300_000 : 5000;
		return gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(route, {key, arrivedAt: now, prompt: {promptTokens, maximumTokens: 100}})}, now);
	}

	function getReached(actions: readonly GatewayAction[]): readonly string[] {
		return actions.flatMap(action => action.kind === 'send' ? [action.endpoint.address, ...action.helpers.map(({address}) => address)] : []);
	}

	// Guards against a burst that follows a data centre's return to its empty endpoints.
	test('a burst at a data centre that comes back cold goes to its endpoints up to the limit, and else to the others', () => {
		const listed = endpoints.map(other => other.dataCentre === 'east' ? {...other, coldRemainingMs: 5000} : other);
		const names = createNames(5);
		const actions = names.flatMap(name => {
			const gateway = createReadyGateway(name, names, listed);
			return Array.from({length: 100}, (_, key) => {
				const now = settledAt + (key * 9);
				const sent = submit(gateway, key, fixtureStreamRoute, now);
				gateway.step({kind: 'requestChanged', key, event: {kind: 'clientGone'}}, now);
				return sent;
			}).flat();
		});
		const reached = getReached(actions);
		const counts = listed.map(({address}) => reached.filter(other => other === address).length);
		const coldCounts = counts.filter((_, index) => listed[index]?.dataCentre === 'east');
		expect(Math.max(...coldCounts)).toBeLessThanOrEqual(limit);
		expect(Math.min(...coldCounts)).toBeGreaterThan(0);
		expect(reached).toHaveLength(500);
	});

	test('when all endpoints are cold and their room is used, requests are refused as not run, with the time until there is room', () => {
		const gateway = createReadyGateway('gateway-0', createNames(28), endpoints.map(other => ({...other, coldRemainingMs: 5000})));
		const actions = Array.from({length: 40}, (_, key) => submit(gateway, key, fixtureStreamRoute, settledAt)).flat();
		const refusals = actions.filter(action => action.kind === 'failRequest');
		expect(refusals.length).toBeGreaterThan(0);
		expect(refusals[0]).toMatchObject({failure: {kind: 'overloaded', ran: 'no', retryAfterMs: 1200}});
		expect(gateway.getColdCounts(settledAt).coldEndpoints).toBe(6);
		expect(gateway.getColdCounts(settledAt).heldRequests).toBeGreaterThanOrEqual(refusals.length);
	});

	test('a cold endpoint helps with no prompt', () => {
		const listed = endpoints.map(other => other.dataCentre === 'west' ? {...other, coldRemainingMs: 5000} : other);
		const gateway = createReadyGateway('gateway-0', createNames(5), listed);
		const helpers = submit(gateway, 1, fixtureLongStreamRoute, settledAt).flatMap(action => action.kind === 'send' ? action.helpers : []);
		const warm = new Set(listed.filter(({coldRemainingMs}) => coldRemainingMs === 0).map(({address}) => address));
		expect(helpers.length).toBeGreaterThan(0);
		expect(helpers.filter(({address}) => !warm.has(address))).toEqual([]);
	});

	test('a response that says that its endpoint is cold is told to peers, and a peer that is told holds its requests', () => {
		const gateway = createReadyGateway('gateway-0', createNames(5), endpoints);
		const send = submit(gateway, 1, fixtureStreamRoute, settledAt).find(action => action.kind === 'send');
		const head = createFixtureHead({coldRemainingMs: 3000});
		const told = gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId: send?.sendId ?? 0, head}}, settledAt + 10)
			.find(action => action.kind === 'publishChange');
		expect(told?.change).toEqual({kind: 'endpointCold', endpoint: send?.endpoint.id, remainingMs: 3000});

		const peer = createReadyGateway('gateway-1', createNames(5), endpoints);
		const [report] = peer.step({kind: 'peerChanged', gateway: 'gateway-0', changes: [told!.change]}, settledAt + 20);
		expect(report).toMatchObject({kind: 'reportColdEndpoint', report: {endpoint: send?.endpoint.id, source: 'peer'}});
	});
});
