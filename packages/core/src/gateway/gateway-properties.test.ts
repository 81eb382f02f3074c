/**
What must hold for every request, whatever the endpoints do. The seed is fixed, so that the verdict is the same on every
run; CURRANTCROSS_SEED and CURRANTCROSS_RUNS try others.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {getErrorDefinition} from '../errors.js';
import {fixtureGatewaySettings} from './gateway-fixtures.js';
import {
	getWorldAnswer, getWorldEvent, worldEventCount, type Conduct,
} from './gateway-fault-conduct.js';
import {
	runGatewayScenario, worldFixedSends, type CallFacts, type GatewayScenario, type ScriptedCall, type WorldChange, type WorldFacts,
} from './gateway-fault-world.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '500'),
};

const time = fc.integer({min: 0, max: 12_000});
const delayMs = fc.oneof(fc.integer({min: 0, max: 300}), fc.integer({min: 0, max: 9000}));

const conduct: fc.Arbitrary<Conduct> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('serve' as const), delayMs})},
	fc.record({kind: fc.constantFrom('refuse' as const, 'misdirect' as const, 'failConnection' as const, 'reset' as const, 'skipEvent' as const), delayMs}),
	fc.record({kind: fc.constant('fail' as const), status: fc.constantFrom(500 as const, 504 as const), delayMs}),
	fc.record({kind: fc.constant('spoil' as const), how: fc.constantFrom('foreign' as const, 'unstamped' as const, 'encoded' as const), delayMs}),
	fc.record({
		kind: fc.constant('stop' as const),
		how: fc.constantFrom('break' as const, 'silence' as const, 'end' as const),
		events: fc.integer({min: 0, max: 5}),
		bytes: fc.integer({min: 0, max: 12}),
		delayMs,
	}),
	fc.constant({kind: 'silence' as const}),
);

const call: fc.Arbitrary<ScriptedCall> = fc.record({
	at: time,
	kind: fc.constantFrom('stream' as const, 'plainStream' as const, 'action' as const, 'lookup' as const),
	promptTokens: fc.constantFrom(1000, 5000, 45_000, 200_000, 600_000, 1_000_000),
	waitMs: fc.integer({min: 20, max: 15_000}),
	leavesAfterMs: fc.option(fc.integer({min: 0, max: 6000}), {nil: undefined, freq: 4}),
});

const change: fc.Arbitrary<WorldChange> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constantFrom('drain' as const, 'remove' as const), at: time, index: fc.nat(10)})},
	fc.record({kind: fc.constantFrom('revokeKey' as const, 'loseStore' as const), at: time}),
);

const scenario: fc.Arbitrary<GatewayScenario> = fc.record({
	calls: fc.array(call, {minLength: 1, maxLength: 12}),
	conducts: fc.array(conduct, {minLength: 1, maxLength: 8}),
	grants: fc.array(fc.option(fc.boolean(), {nil: undefined, freq: 4}), {minLength: 1, maxLength: 6}),
	changes: fc.array(change, {maxLength: 4}),
});

function checkCalls(check: (facts: CallFacts, world: WorldFacts) => void): void {
	fc.assert(fc.property(scenario, input => {
		const world = runGatewayScenario(input);
		for (const facts of world.calls) {
			check(facts, world);
		}
	}), parameters);
}

/** Returns the part of a whole answer that the text is, counted in events; -1 where it is none. */
function getEventCount(text: string): number {
	let whole = '';
	for (let number = 0; ; number += 1) {
		if (text === whole) {
			return number;
		}

		if (whole.length > text.length) {
			return -1;
		}

		whole += getWorldEvent(number + 1);
	}
}

/** Checks that further arrivals at a service stay within the budget in any window. */
function checkBudget(calls: readonly CallFacts[]): void {
	const {ratio, windowMs} = fixtureGatewaySettings.budget;
	const further = calls.flatMap(({sends}) => sends.filter(({hasArrived}) => hasArrived).slice(1).map(({at}) => at));
	for (const start of further) {
		const requests = calls.filter(({request: {arrivedAt}}) => arrivedAt >= start - windowMs && arrivedAt < start + windowMs);
		const inWindow = further.filter(at => at >= start && at < start + windowMs);
		expect(inWindow.length).toBeLessThanOrEqual((ratio * requests.length) + worldFixedSends);
	}
}

describe('every request', () => {
	test('gets one final answer, at its deadline at the latest', () => {
		checkCalls(({finals, request}) => {
			expect(finals).toHaveLength(1);
			expect(finals[0]?.at).toBeLessThanOrEqual(request.deadlineAt);
		});
	});

	test('that is not to be repeated runs at most once', () => {
		checkCalls(({request, runs}) => {
			if (request.route.kind === 'nonIdempotent' || (request.route.kind === 'streaming' && !request.route.isResumable)) {
				expect(runs.length).toBeLessThanOrEqual(1);
			}
		});
	});

	test('that is answered as not run has not run', () => {
		checkCalls(({finals, runs}) => {
			const answer = finals[0]?.answer;
			if (answer?.kind !== 'failed') {
				return;
			}

			const {status} = getErrorDefinition(answer.failure.kind);
			if (answer.failure.ran === 'no' || [408, 421, 429, 503].includes(status)) {
				expect(runs).toEqual([]);
			}
		});
	});

	test('that ends well has the whole answer and nothing else', () => {
		checkCalls(({finals, request, text}) => {
			const answer = finals[0]?.answer;
			if (answer?.kind === 'answered' && answer.status === 200) {
				expect(text).toBe(getWorldAnswer(request.route.kind));
			}
		});
	});

	test('gets the events of its stream in order, none twice and none cut', () => {
		checkCalls(({finals, request, status, text}) => {
			if (request.route.kind === 'streaming' && status === 200) {
				const count = getEventCount(text);
				expect(count).toBeGreaterThanOrEqual(finals[0]?.answer.kind === 'answered' ? worldEventCount : 0);
			}
		});
	});

	test('runs on no more endpoints than its route allows, and is given no more time than is left', () => {
		checkCalls(({request, runs, sends}) => {
			expect(new Set(runs.map(({endpoint}) => endpoint)).size).toBeLessThanOrEqual(request.route.maximumEndpoints);
			for (const {at, remainingMs} of sends) {
				expect(at + remainingMs).toBeLessThanOrEqual(request.deadlineAt);
			}
		});
	});

	test('is left alone by endpoints once it has ended or its caller has left', () => {
		checkCalls(({finals, openSends, sends}) => {
			expect([...openSends]).toEqual([]);
			expect(sends.filter(({at}) => at > (finals[0]?.at ?? 0))).toEqual([]);
		});
	});

	test('goes to no endpoint that leaves, and to none without a valid key', () => {
		checkCalls((facts, {drainedAt, revokedAt, lostStoreAt}) => {
			const staleAt = lostStoreAt + (fixtureGatewaySettings.configuration.maximumKeyAgeMs ?? 0);
			for (const {endpoint, at} of facts.sends) {
				expect(at).toBeLessThanOrEqual(drainedAt.get(endpoint) ?? Number.POSITIVE_INFINITY);
				expect(at).toBeLessThanOrEqual(revokedAt < lostStoreAt ? revokedAt : staleAt);
			}
		});
	});
});

describe('a gateway', () => {
	test('sends again within its budget', () => {
		fc.assert(fc.property(scenario, input => {
			const {calls} = runGatewayScenario(input);
			checkBudget(calls.filter(({request}) => request.service === 'models'));
			checkBudget(calls.filter(({request}) => request.service === 'shop'));
		}), parameters);
	});

	test('frees all memory and takes back all work that it told of', () => {
		fc.assert(fc.property(scenario, input => {
			const {heldReservations, lateReservations, openWorks} = runGatewayScenario(input);
			expect([...heldReservations]).toEqual([]);
			expect(lateReservations).toEqual([]);
			expect([...openWorks]).toEqual([]);
		}), parameters);
	});
});
