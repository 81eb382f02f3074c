/**
Property tests of invariants under generated requests and faults. The seed is fixed so that runs are reproducible;
CURRANTCROSS_SEED and CURRANTCROSS_RUNS override the seed and the number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {getErrorDefinition, notRunStatuses} from './errors.js';
import type {
	Fault, RequestResult, Scenario, ScriptedRequest,
} from './fault-scenario.js';
import {getExpectedAnswer, runScenario} from './fault-simulation.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '1000'),
};

/** How long after its deadline a request may be answered; allows for one turn of the event loop. */
const graceMs = 50;

const time = fc.integer({min: 0, max: 6000});
/** Includes times long after agents have removed their records of earlier attempts. */
const requestTime = fc.oneof({weight: 4, arbitrary: time}, {weight: 1, arbitrary: fc.integer({min: 60_000, max: 200_000})});
const index = fc.integer({min: 0, max: 3});
const duration = fc.integer({min: 10, max: 8000});
const count = fc.integer({min: 1, max: 3});

const fault: fc.Arbitrary<Fault> = fc.oneof(
	fc.record({kind: fc.constant('killEntry' as const), index, at: time}),
	fc.record({
		kind: fc.constant('killAgent' as const), index, at: time, downMs: fc.integer({min: 0, max: 2000}),
	}),
	fc.record({
		kind: fc.constant('pauseEntry' as const), index, at: time, durationMs: duration,
	}),
	fc.record({
		kind: fc.constant('pauseAgent' as const), index, at: time, durationMs: duration,
	}),
	fc.record({
		kind: fc.constant('blackholeConnections' as const), entry: index, agent: index, at: time,
	}),
	fc.record({
		kind: fc.constant('partitionLink' as const), entry: index, agent: index, at: time, durationMs: duration,
	}),
	fc.record({kind: fc.constant('stopObjectApi' as const), at: time, durationMs: duration}),
	fc.record({kind: fc.constant('loseWriteResponses' as const), at: time, count}),
	fc.record({kind: fc.constant('refuseAppliedWrites' as const), at: time, count}),
	fc.record({kind: fc.constant('loseServiceResponses' as const), at: time, count}),
	fc.record({kind: fc.constant('refuseServiceCalls' as const), at: time, count}),
	fc.record({kind: fc.constant('killEngine' as const), index, at: time}),
	fc.record({
		kind: fc.constant('delaySubmits' as const), at: time, count, delayMs: fc.integer({min: 1, max: 90_000}), isDuplicated: fc.boolean(),
	}),
);

function createRequestArbitrary(kinds: ReadonlyArray<ScriptedRequest['kind']>): fc.Arbitrary<ScriptedRequest> {
	return fc.record({
		at: requestTime,
		entry: index,
		kind: fc.constantFrom(...kinds),
		key: fc.constantFrom('k1', 'k2'),
		promptTokens: fc.constantFrom(1000, 20_000, 150_000),
		deadlineMs: fc.integer({min: 300, max: 9000}),
	});
}

function createScenarioArbitrary(kinds: ReadonlyArray<ScriptedRequest['kind']>): fc.Arbitrary<Scenario> {
	return fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		requests: fc.array(createRequestArbitrary(kinds), {minLength: 1, maxLength: 8}),
		faults: fc.array(fault, {maxLength: 5}),
	});
}

function checkOneFinalActionInTime(result: RequestResult): void {
	if (result.isEntryLost) {
		return;
	}

	expect(result.finalActionCount).toBe(1);
	expect(result.finalActionAt).toBeLessThanOrEqual(result.request.at + result.request.deadlineMs + result.pausedMs + graceMs);
}

describe('under generated faults', () => {
	test('every request gets exactly one final answer by its deadline unless its entry is killed', () => {
		fc.assert(fc.property(createScenarioArbitrary(['prompt', 'idempotentCall', 'nonIdempotentCall']), scenario => {
			for (const result of runScenario(scenario).requests) {
				checkOneFinalActionInTime(result);
			}
		}), parameters);
	});

	test('no non-idempotent call runs more than once', () => {
		fc.assert(fc.property(createScenarioArbitrary(['nonIdempotentCall']), scenario => {
			for (const runCount of runScenario(scenario).runCounts.values()) {
				expect(runCount).toBeLessThanOrEqual(1);
			}
		}), parameters);
	});

	test('a request that is reported as not run never started', () => {
		fc.assert(fc.property(createScenarioArbitrary(['prompt', 'idempotentCall', 'nonIdempotentCall']), scenario => {
			for (const {finalAction, wasStarted} of runScenario(scenario).requests) {
				if (finalAction?.kind === 'failRequest' && finalAction.failure.ran === 'no') {
					expect(wasStarted).toBe(false);
				}
			}
		}), parameters);
	});

	// Guards against a 503 for a request that has run, which clients repeat whatever the rest of the answer says.
	test('a request whose failure has a status that says that it was not run never started', () => {
		fc.assert(fc.property(createScenarioArbitrary(['prompt', 'idempotentCall', 'nonIdempotentCall']), scenario => {
			for (const {finalAction, wasStarted} of runScenario(scenario).requests) {
				if (finalAction?.kind === 'failRequest' && notRunStatuses.has(getErrorDefinition(finalAction.failure.kind).status)) {
					expect(wasStarted).toBe(false);
					expect(finalAction.failure.ran).toBe('no');
				}
			}
		}), parameters);
	});

	test('a caller receives a prefix of its own answer, and all of it when the request completes', () => {
		fc.assert(fc.property(createScenarioArbitrary(['prompt']), scenario => {
			for (const {finalAction, deliveredTokens, requestId} of runScenario(scenario).requests) {
				const expectedAnswer = getExpectedAnswer(requestId);
				expect(deliveredTokens).toEqual(expectedAnswer.slice(0, deliveredTokens.length));
				if (finalAction?.kind === 'completeRequest') {
					expect(deliveredTokens).toEqual(expectedAnswer);
				}
			}
		}), parameters);
	});

	test('agents hold no reserved memory after all attempts have ended', () => {
		fc.assert(fc.property(createScenarioArbitrary(['prompt']), scenario => {
			expect(runScenario(scenario).reservationOwners).toEqual([]);
		}), parameters);
	});
});
