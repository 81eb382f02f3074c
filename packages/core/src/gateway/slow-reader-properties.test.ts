/**
Invariants of requests whose callers stop reading for a time, at endpoints that work, fail, or cut off what isn't read. CURRANTCROSS_SEED and
CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getCompleteBody, type EndpointBehaviour} from './endpoint-behaviour.js';
import {
	runGatewayScenario, type GatewayScenario, type ReaderPause, type ScriptedGatewayRequest,
} from './gateway-fault-simulation.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '100'),
};

const pause: fc.Arbitrary<ReaderPause> = fc.record({
	afterEvents: fc.nat({max: 6}), pausedMs: fc.oneof(fc.nat({max: 1000}), fc.nat({max: 16_000})), isCutOff: fc.boolean(),
});

const request: fc.Arbitrary<ScriptedGatewayRequest> = fc.record({
	at: fc.nat({max: 10_000}),
	kind: fc.constantFrom('stream', 'nonResumableStream', 'longStream', 'nonResumableLongStream'),
	promptTokens: fc.constantFrom(1000, 45_000, 600_000),
	callerTimeoutMs: fc.oneof(fc.integer({min: 20, max: 15_000}), fc.constant(15_000)),
	disconnectsAfterMs: fc.option(fc.nat({max: 6000}), {nil: undefined, freq: 4}),
	pause,
});

const serving: fc.Arbitrary<EndpointBehaviour> = fc.record({kind: fc.constant('serve' as const), delayMs: fc.nat({max: 300})});

const behaviour: fc.Arbitrary<EndpointBehaviour> = fc.oneof(
	{weight: 4, arbitrary: serving},
	fc.record({kind: fc.constantFrom('refuse' as const, 'reset' as const, 'skipEvent' as const), delayMs: fc.nat({max: 300})}),
	fc.record({
		kind: fc.constant('truncate' as const),
		how: fc.constantFrom('break' as const, 'silent' as const, 'end' as const),
		events: fc.nat({max: 4}),
		bytes: fc.nat({max: 12}),
		delayMs: fc.nat({max: 300}),
	}),
);

function createScenarios(behaviours: fc.Arbitrary<EndpointBehaviour>): fc.Arbitrary<GatewayScenario> {
	return fc.record({
		requests: fc.array(request, {minLength: 1, maxLength: 10}), behaviours: fc.array(behaviours, {minLength: 1, maxLength: 6}), grants: fc.constant([true]), changes: fc.constant([]),
	});
}

test(`a request ends once, by its deadline, whole or visibly broken, and runs no more often than it may (seed ${parameters.seed})`, () => {
	fc.assert(fc.property(createScenarios(behaviour), scenario => {
		const {records, heldReservations, openWorkIds} = runGatewayScenario(scenario);
		for (const {finalOutcomes, openSends, request: {deadlineAt, route}, runs, sends, text} of records) {
			const [final] = finalOutcomes;
			expect(finalOutcomes).toHaveLength(1);
			expect(final?.at).toBeLessThanOrEqual(deadlineAt);
			if (final?.outcome.kind === 'answered' && final.outcome.status === 200) {
				expect(text).toBe(getCompleteBody('streaming'));
			}

			expect(runs.length).toBeLessThanOrEqual(route.isResumable ? route.maximumEndpoints : 1);
			expect(sends.filter(({at}) => at > (final?.at ?? 0))).toEqual([]);
			expect([...openSends]).toEqual([]);
		}

		expect([...heldReservations]).toEqual([]);
		expect([...openWorkIds]).toEqual([]);
	}), parameters);
});

// Guards against sound endpoints that are left, and get the request again, while the gateway itself doesn't read from them.
test(`no stream is sent twice for its caller's pauses if no endpoint fails (seed ${parameters.seed})`, () => {
	fc.assert(fc.property(createScenarios(serving), scenario => {
		const requests = scenario.requests.map(scripted => ({
			...scripted, pause: {
				afterEvents: 0, pausedMs: 0, ...scripted.pause, isCutOff: false,
			},
		}));
		for (const {sends} of runGatewayScenario({...scenario, requests}).records) {
			expect(sends.length).toBeLessThanOrEqual(1);
		}
	}), parameters);
});
