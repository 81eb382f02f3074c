/**
What must always hold, over generated orders of requests and faults. The seed is fixed, so that the verdict is the same
on every run; CURRANTCROSS_SEED and CURRANTCROSS_RUNS try others.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {
	Fault, RequestFacts, Scenario, ScriptedRequest,
} from './fault-scenario.js';
import {getWorldAnswer, runScenario} from './fault-world.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '1000'),
};

/** Time beyond the deadline that an answer may take, for one turn of the loop. */
const graceMs = 50;

const time = fc.integer({min: 0, max: 6000});
/** Also long after agents forget attempts. */
const requestTime = fc.oneof({weight: 4, arbitrary: time}, {weight: 1, arbitrary: fc.integer({min: 60_000, max: 200_000})});
const index = fc.integer({min: 0, max: 3});
const span = fc.integer({min: 10, max: 8000});
const count = fc.integer({min: 1, max: 3});

const fault: fc.Arbitrary<Fault> = fc.oneof(
	fc.record({kind: fc.constant('killEntry' as const), index, at: time}),
	fc.record({
		kind: fc.constant('killAgent' as const), index, at: time, downMs: fc.integer({min: 0, max: 2000}),
	}),
	fc.record({
		kind: fc.constant('pauseEntry' as const), index, at: time, forMs: span,
	}),
	fc.record({
		kind: fc.constant('pauseAgent' as const), index, at: time, forMs: span,
	}),
	fc.record({
		kind: fc.constant('silenceConnections' as const), entry: index, agent: index, at: time,
	}),
	fc.record({
		kind: fc.constant('partLink' as const), entry: index, agent: index, at: time, forMs: span,
	}),
	fc.record({kind: fc.constant('stopObjectApi' as const), at: time, forMs: span}),
	fc.record({kind: fc.constant('loseWriteAnswers' as const), at: time, count}),
	fc.record({kind: fc.constant('loseServiceAnswers' as const), at: time, count}),
	fc.record({kind: fc.constant('killEngines' as const), index, at: time}),
	fc.record({
		kind: fc.constant('delaySubmits' as const), at: time, count, delayMs: fc.integer({min: 1, max: 90_000}), isRepeated: fc.boolean(),
	}),
);

function getRequest(kinds: ReadonlyArray<ScriptedRequest['kind']>): fc.Arbitrary<ScriptedRequest> {
	return fc.record({
		at: requestTime,
		entry: index,
		kind: fc.constantFrom(...kinds),
		key: fc.constantFrom('k1', 'k2'),
		promptTokens: fc.constantFrom(1000, 20_000, 150_000),
		deadlineMs: fc.integer({min: 300, max: 9000}),
	});
}

function getScenario(kinds: ReadonlyArray<ScriptedRequest['kind']>): fc.Arbitrary<Scenario> {
	return fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		requests: fc.array(getRequest(kinds), {minLength: 1, maxLength: 8}),
		faults: fc.array(fault, {maxLength: 5}),
	});
}

function expectOneFinalInTime(facts: RequestFacts): void {
	if (facts.isEntryLost) {
		return;
	}

	expect(facts.finalCount).toBe(1);
	expect(facts.finalAt).toBeLessThanOrEqual(facts.request.at + facts.request.deadlineMs + facts.pausedMs + graceMs);
}

describe('under generated faults', () => {
	test('every request gets one final answer within its time', () => {
		fc.assert(fc.property(getScenario(['prompt', 'lookup', 'action']), scenario => {
			for (const facts of runScenario(scenario).requests) {
				expectOneFinalInTime(facts);
			}
		}), parameters);
	});

	test('no action runs more than once', () => {
		fc.assert(fc.property(getScenario(['action']), scenario => {
			for (const runCount of runScenario(scenario).runs.values()) {
				expect(runCount).toBeLessThanOrEqual(1);
			}
		}), parameters);
	});

	test('what is said not to have run never runs', () => {
		fc.assert(fc.property(getScenario(['prompt', 'lookup', 'action']), scenario => {
			for (const {final, wasStarted} of runScenario(scenario).requests) {
				if (final?.kind === 'failRequest' && final.failure.ran === 'no') {
					expect(wasStarted).toBe(false);
				}
			}
		}), parameters);
	});

	test('a caller gets only the own answer, without gap or repeat, and whole when it looks whole', () => {
		fc.assert(fc.property(getScenario(['prompt']), scenario => {
			for (const {final, delivered, requestId} of runScenario(scenario).requests) {
				const whole = getWorldAnswer(requestId);
				expect(delivered).toEqual(whole.slice(0, delivered.length));
				if (final?.kind === 'completeRequest') {
					expect(delivered).toEqual(whole);
				}
			}
		}), parameters);
	});

	test('no agent holds memory once no attempt lives', () => {
		fc.assert(fc.property(getScenario(['prompt']), scenario => {
			expect(runScenario(scenario).reservedOwners).toEqual([]);
		}), parameters);
	});
});
