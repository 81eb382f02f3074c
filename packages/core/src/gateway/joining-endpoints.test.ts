/**
Empty endpoints that join while gateways know each other's requests late: whether all gateways choose the new ones at once. The seed
is fixed; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureConfiguration, fixtureGatewaySettings, fixtureIdempotentRoute, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayAction} from './gateway-events.js';
import type {EndpointId} from './gateway-types.js';
import {createGateway} from './gateway.js';
import type {PeerChange} from './peer-changes.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 50),
};

const joinedAt = 2000;
const endAt = 3500;
const stepMs = 10;

/** Prompts that may pause long are not packed onto few servers. */
const loads = {
	prompts: {route: fixtureStreamRoute, usualCount: 20, holdMs: 1000},
	patientPrompts: {route: fixtureLongStreamRoute, usualCount: 20, holdMs: 1000},
	lookups: {route: fixtureIdempotentRoute, usualCount: 6, holdMs: 200},
};

type Scenario = Readonly<{
	kind: keyof typeof loads;
	gatewayCount: number;
	joiningCount: number;
	/** Share of the slots that is in use before the endpoints join. */
	usedShare: number;
	/** Delay after which the others know of a request. */
	lagMs: number;
}>;

const scenarios: fc.Arbitrary<Scenario> = fc.record({
	kind: fc.constantFrom('prompts' as const, 'patientPrompts' as const, 'lookups' as const),
	gatewayCount: fc.constantFrom(5, 28),
	joiningCount: fc.integer({min: 1, max: 3}),
	usedShare: fc.double({min: 0.3, max: 0.8, noNaN: true}),
	lagMs: fc.integer({min: 20, max: 500}),
});

/** Plays a scenario, and returns the most requests that were open at a joining endpoint and at one of the others. */
function play({kind, gatewayCount, joiningCount, usedShare, lagMs}: Scenario): Readonly<{joining: number; other: number; slots: number}> {
	const {route, usualCount, holdMs} = loads[kind];
	const endpoints = createFixtureEndpoints(route.services[0]!.service, usualCount + joiningCount);
	const usual = endpoints.slice(0, usualCount);
	const {slots} = endpoints[0]!;
	const gateways = Array.from({length: gatewayCount}, (_, index) =>
		createGateway({...fixtureGatewaySettings, name: `gateway-${index}`, dataCentre: index % 2 === 0 ? 'east' : 'west'}));
	for (const gateway of gateways) {
		gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		gateway.step({kind: 'endpointsListed', endpoints: usual}, 0);
	}

	const messages: Array<Readonly<{from: number; at: number; change: PeerChange}>> = [];
	const open: Array<Readonly<{gatewayIndex: number; key: number; endsAt: number; endpoint: EndpointId}>> = [];
	const most = {joining: 0, other: 0, slots};
	const joiningIds = new Set(endpoints.slice(usualCount).map(({id}) => id));

	function perform(gatewayIndex: number, key: number, actions: readonly GatewayAction[], now: number): void {
		for (const action of actions) {
			if (action.kind === 'publishChange') {
				messages.push({from: gatewayIndex, at: now + lagMs, change: action.change});
			} else if (action.kind === 'send') {
				const {id} = action.endpoint;
				open.push({
					gatewayIndex, key, endsAt: now + holdMs, endpoint: id,
				});
				const side = joiningIds.has(id) ? 'joining' : 'other';
				most[side] = Math.max(most[side], open.filter(({endpoint}) => endpoint === id).length);
			}
		}
	}

	function deliverMessages(now: number): void {
		while (messages.length > 0 && messages[0]!.at <= now) {
			const {from, change} = messages.shift()!;
			for (const gateway of gateways.filter((_, index) => index !== from)) {
				gateway.step({kind: 'peerChanged', gateway: `gateway-${from}`, changes: [change]}, now);
			}
		}
	}

	let arrivals = 0;
	for (let now = stepMs; now < endAt; now += stepMs) {
		if (now === joinedAt) {
			for (const gateway of gateways) {
				gateway.step({kind: 'endpointsListed', endpoints}, now);
			}
		}

		deliverMessages(now);
		while (open.length > 0 && open[0]!.endsAt <= now) {
			const {gatewayIndex, key} = open.shift()!;
			perform(gatewayIndex, key, gateways[gatewayIndex]!.step({kind: 'requestChanged', key, event: {kind: 'clientGone'}}, now), now);
		}

		for (; arrivals < now * usualCount * slots * usedShare / holdMs; arrivals += 1) {
			const gatewayIndex = (arrivals * 7) % gatewayCount;
			const request = createFixtureGatewayRequest(route, {key: arrivals, arrivedAt: now});
			perform(gatewayIndex, arrivals, gateways[gatewayIndex]!.step({kind: 'requestArrived', request}, now), now);
		}
	}

	return most;
}

// Guards against gateways that all send to the endpoint that has just joined until they hear of each other.
test('endpoints that join get no more requests at once than twice their slots, or than others get by the same lag', () => {
	fc.assert(fc.property(scenarios, scenario => {
		const {joining, other, slots} = play(scenario);
		expect(joining).toBeLessThanOrEqual(Math.max(2 * slots, other));
	}), parameters);
}, 120_000);
