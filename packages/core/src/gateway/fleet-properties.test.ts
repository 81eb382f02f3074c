/**
Bounds on requests whose prompts crash servers, over all gateways, under random restarts and cuts. The seed is fixed so that
every run gives the same result; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {findCrashViolations, findLimitViolations, findRequestCrashViolations} from './fleet-checks.js';
import type {ServerLimit} from './fleet-servers.js';
import {createFixtureEndpoints} from './gateway-fixtures.js';
import {runFleetScenario, type FleetDisruption, type FleetScenario} from './fleet-simulation.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 10),
};

/** Rate of sound requests beside those with crash segments. */
const soundPerSecond = 24;
/** Rate of requests that is several times what limited servers allow. */
const busyPerSecond = 70;

const disruption: fc.Arbitrary<FleetDisruption> = fc.record({
	kind: fc.constantFrom('restart' as const, 'cutFromPeers' as const, 'cutFromStore' as const),
	at: fc.integer({min: 0, max: 25_000}),
	gatewayIndex: fc.nat(5),
	durationMs: fc.integer({min: 200, max: 6000}),
});

const restore: fc.Arbitrary<FleetDisruption> = fc.record({
	kind: fc.constant('restoreStore' as const),
	at: fc.integer({min: 6000, max: 25_000}),
	gatewayIndex: fc.constant(0),
	durationMs: fc.integer({min: 100, max: 9000}),
});

const scenario: fc.Arbitrary<FleetScenario> = fc.record({
	seed: fc.nat(),
	gatewayCount: fc.integer({min: 1, max: 6}),
	soundPerSecond: fc.constant(soundPerSecond),
	limits: fc.constant([]),
	crashSegments: fc.array(fc.record({startsAt: fc.integer({min: 4500, max: 12_000}), perSecond: fc.constantFrom(0.5, 1, 3, 8)}), {minLength: 1, maxLength: 3}),
	disruptions: fc.array(disruption, {maxLength: 5}),
});

describe('gateways whose servers crash on a segment of a prompt', () => {
	// Guards against requests with a segment that crashes servers being sent to one server after the other.
	test('stop sending requests with the segment, and serve those that share all other segments', () => {
		expect(findCrashViolations(runFleetScenario({
			seed: 1, gatewayCount: 5, soundPerSecond, limits: [], crashSegments: [{startsAt: 6000, perSecond: 3}], disruptions: [],
		}))).toEqual([]);
	});

	// Guards against the same with several such segments, while gateways restart or are cut off from each other or the store.
	test('stop sending such requests under random restarts and cuts', () => {
		fc.assert(fc.property(scenario, input => {
			expect(findCrashViolations(runFleetScenario(input))).toEqual([]);
		}), parameters);
	});

	// Guards against quarantines that end when the store is restored from a copy that lacks them, beside other disruptions.
	test('stop sending such requests while the store is restored, under random restarts and cuts', () => {
		const restores = fc.tuple(scenario, fc.array(restore, {minLength: 1, maxLength: 3}))
			.map(([input, added]): FleetScenario => ({...input, gatewayCount: Math.max(2, input.gatewayCount), disruptions: [...input.disruptions.slice(0, 3), ...added]}));
		fc.assert(fc.property(restores, input => {
			expect(findCrashViolations(runFleetScenario(input))).toEqual([]);
		}), parameters);
	});

	// Guards against evidence on crashes that is lost when the only gateway restarts before it suffices.
	test('stop sending such requests after the only gateway restarts between crashes', () => {
		expect(findCrashViolations(runFleetScenario({
			seed: 0, gatewayCount: 1, soundPerSecond, limits: [], crashSegments: [{startsAt: 4500, perSecond: 0.5}], disruptions: [{
				kind: 'restart', at: 5527, gatewayIndex: 0, durationMs: 200,
			}],
		}))).toEqual([]);
	});

	// Guards against evidence that is lost when the only gateway restarts right after the first crashes under a frequent segment.
	test('stop sending requests with a frequent segment after the only gateway restarts', () => {
		expect(findCrashViolations(runFleetScenario({
			seed: 0, gatewayCount: 1, soundPerSecond, limits: [], crashSegments: [{startsAt: 4500, perSecond: 8}], disruptions: [{
				kind: 'restart', at: 4787, gatewayIndex: 0, durationMs: 200,
			}],
		}))).toEqual([]);
	});

	// Guards against a sound first segment that stays quarantined with the crash segment, since all lost prompts contain both.
	test.each([
		[7, 1.5], [15, 1.5], [7, 3], [7, 8], [15, 8],
	])('serve sound requests with a first segment that all lost prompts share, at a gateway that has lost none (seed %i, %f a second)', (seed, perSecond) => {
		expect(findCrashViolations(runFleetScenario({
			seed,
			gatewayCount: 3,
			soundPerSecond,
			limits: [],
			crashSegments: [],
			disruptions: [],
			requestsEndAt: 90_000,
			flowCrashSegments: ['crash-flow'],
			fixedFlows: [
				{
					startsAt: 0, perSecond: 0.7, segments: ['organisation'], gatewayIndexes: [0],
				},
				{
					startsAt: 43_000, perSecond, segments: ['organisation', 'crash-flow'], gatewayIndexes: [1, 2],
				},
			],
		}))).toEqual([]);
	});

	// Guards against a rare crash segment whose crashes are all attributed to a frequent one, until that one is quarantined.
	test('stop sending requests with a rare segment that crashes servers beside a frequent one', () => {
		expect(findCrashViolations(runFleetScenario({
			seed: 2_147_483_636, gatewayCount: 2, soundPerSecond, limits: [], crashSegments: [{startsAt: 4501, perSecond: 0.5}, {startsAt: 9886, perSecond: 0.5}, {startsAt: 4505, perSecond: 8}], disruptions: [],
		}))).toEqual([]);
	});
});

const requestScenario: fc.Arbitrary<FleetScenario> = fc.record({
	seed: fc.nat(),
	gatewayCount: fc.integer({min: 1, max: 6}),
	soundPerSecond: fc.constant(soundPerSecond),
	limits: fc.constant([]),
	crashSegments: fc.constant([]),
	crashRequests: fc.array(fc.record({startsAt: fc.integer({min: 4500, max: 12_000}), perSecond: fc.constantFrom(0.5, 1, 3), hasPrompt: fc.boolean()}), {minLength: 1, maxLength: 2}),
	disruptions: fc.array(disruption, {maxLength: 4}),
});

const kills = fc.array(fc.record({at: fc.integer({min: 5000, max: 25_000}), serverIndex: fc.nat(11)}), {minLength: 3, maxLength: 20});

describe('gateways whose servers crash on a whole request', () => {
	// Guards against a request without a prompt that crashes each server that runs it, and is sent to the next one at each repeat.
	test.each([false, true])('stop sending its repeats, and serve all others (prompt: %s)', hasPrompt => {
		expect(findRequestCrashViolations(runFleetScenario({
			seed: 1, gatewayCount: 5, soundPerSecond, limits: [], crashSegments: [], crashRequests: [{startsAt: 6000, perSecond: 1, hasPrompt}], disruptions: [],
		}))).toEqual([]);
	});

	// Guards against two such requests that are lost in the same crashes, so that neither is told from the other.
	test('stop sending the repeats of two such requests at one gateway', () => {
		expect(findRequestCrashViolations(runFleetScenario({
			seed: 1_808_340_137, gatewayCount: 1, soundPerSecond, limits: [], crashSegments: [], disruptions: [], crashRequests: [
				{startsAt: 9947, perSecond: 3, hasPrompt: false}, {startsAt: 10_224, perSecond: 3, hasPrompt: true},
			],
		}))).toEqual([]);
	});

	// Guards against a segment that is blamed for crashes under whole requests while a gateway that has just started knows few completed prompts.
	test('refuse no sound request while the only gateway has completed few since its start', () => {
		expect(findRequestCrashViolations(runFleetScenario({
			seed: 1_231_538_628,
			gatewayCount: 1,
			soundPerSecond,
			limits: [],
			crashSegments: [],
			crashRequests: [{startsAt: 5329, perSecond: 1, hasPrompt: false}, {startsAt: 7223, perSecond: 1, hasPrompt: false}],
			disruptions: [
				{
					kind: 'restart', at: 13_726, gatewayIndex: 4, durationMs: 2348,
				},
				{
					kind: 'cutFromStore', at: 22_970, gatewayIndex: 5, durationMs: 1523,
				},
				{
					kind: 'restart', at: 1644, gatewayIndex: 1, durationMs: 5894,
				},
				{
					kind: 'cutFromPeers', at: 8992, gatewayIndex: 1, durationMs: 5340,
				},
			],
			kills: [[18_256, 3], [6956, 2], [17_374, 3], [15_032, 6], [13_239, 8], [5636, 1], [15_429, 7], [10_902, 10]].map(([at = 0, serverIndex = 0]) => ({at, serverIndex})),
		}))).toEqual([]);
	});

	// Guards against a segment that is blamed, and its sound requests refused, because servers are ended from outside while they run them.
	test('refuse hardly any sound request while many servers are ended from outside', () => {
		expect(findRequestCrashViolations(runFleetScenario({
			seed: 1_107_521_500,
			gatewayCount: 5,
			soundPerSecond,
			limits: [],
			crashSegments: [],
			crashRequests: [{startsAt: 9550, perSecond: 0.5, hasPrompt: true}, {startsAt: 4505, perSecond: 1, hasPrompt: true}],
			disruptions: [
				{
					kind: 'restart', at: 25_000, gatewayIndex: 1, durationMs: 206,
				},
				{
					kind: 'cutFromPeers', at: 24_989, gatewayIndex: 1, durationMs: 5281,
				},
				{
					kind: 'cutFromPeers', at: 17_806, gatewayIndex: 2, durationMs: 208,
				},
			],
			kills: [
				[13_925, 3], [8564, 1], [11_653, 6], [14_855, 9], [16_721, 8], [9122, 1], [11_404, 7], [13_308, 9], [24_854, 7], [10_261, 8], [10_307, 5], [12_196, 10], [23_160, 5],
			].map(([at = 0, serverIndex = 0]) => ({at, serverIndex})),
		}))).toEqual([]);
	});

	// Guards against the same while gateways restart or are cut off from each other or the store.
	test('stop sending its repeats under random restarts and cuts', () => {
		fc.assert(fc.property(requestScenario, input => {
			expect(findRequestCrashViolations(runFleetScenario(input))).toEqual([]);
		}), parameters);
	});

	// Guards against sound requests that are taken for the cause because servers were ended from outside while they ran.
	test('stop sending its repeats while other servers are ended from outside, and refuse hardly any sound request', () => {
		fc.assert(fc.property(requestScenario, kills, (input, killed) => {
			expect(findRequestCrashViolations(runFleetScenario({...input, kills: killed}))).toEqual([]);
		}), parameters);
	});
});

const limit: fc.Arbitrary<ServerLimit> = fc.record({
	serverIndex: fc.nat(11),
	perSecond: fc.constantFrom(0, 0.4, 1, 1.6, 3),
	startsAt: fc.integer({min: 1000, max: 12_000}),
	endsAt: fc.integer({min: 18_000, max: 28_000}),
});

const limitScenario: fc.Arbitrary<FleetScenario> = fc.record({
	seed: fc.nat(),
	gatewayCount: fc.integer({min: 1, max: 6}),
	soundPerSecond: fc.constant(busyPerSecond),
	crashSegments: fc.constant([]),
	limits: fc.uniqueArray(limit, {minLength: 1, maxLength: 8, selector: ({serverIndex}) => serverIndex}),
	disruptions: fc.array(disruption, {maxLength: 4}),
});

function checkLimits(input: FleetScenario): void {
	const endpoints = createFixtureEndpoints('models', 12);
	const limits = input.limits.map(({serverIndex, perSecond, endsAt}) => ({address: endpoints[serverIndex]?.address ?? '', perSecond, endsAt}));
	expect(findLimitViolations(runFleetScenario(input), limits)).toEqual([]);
}

describe('gateways whose servers name a limit', () => {
	// Guards against placement by load alone, which sends most requests to a limited server, since it looks idle.
	test('together keep to the limit', () => {
		checkLimits({
			seed: 1, gatewayCount: 5, soundPerSecond: busyPerSecond, crashSegments: [], disruptions: [], limits: [0, 1, 2, 3, 4, 5].map(serverIndex => ({
				serverIndex, perSecond: 1, startsAt: 5000, endsAt: 25_000,
			})),
		});
	});

	// Guards against requests that many gateways place within the delay of their exchange.
	test('together keep to the limit if they are many', () => {
		checkLimits({
			seed: 1, gatewayCount: 40, soundPerSecond: busyPerSecond, crashSegments: [], disruptions: [], limits: [0, 1, 2, 3, 4, 5].map(serverIndex => ({
				serverIndex, perSecond: 1, startsAt: 5000, endsAt: 25_000,
			})),
		});
	});

	// Guards against the same with several limited servers, while gateways restart or are cut off from each other or the store.
	test('together keep to the limits under random restarts and cuts', () => {
		fc.assert(fc.property(limitScenario, input => {
			checkLimits(input);
		}), parameters);
	});
});
