/**
Invariants of requests under arbitrary endpoint faults. The seed is fixed so that every run gives the same result;
CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {getErrorDefinition, notRunStatuses} from '../errors.js';
import {fixtureGatewaySettings} from './gateway-fixtures.js';
import {reservationHoldMs} from './memory-reservation.js';
import {
	getCompleteBody, getStreamEvent, isRefusal, streamEventCount, type EndpointBehaviour, type StatingBehaviour,
} from './endpoint-behaviour.js';
import {
	runGatewayScenario, simulatedFixedSends, type RequestRecord, type GatewayScenario, type ScriptedGatewayRequest, type ScriptedChange, type GatewayScenarioResult,
} from './gateway-fault-simulation.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261204'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '500'),
};

const eventTime = fc.integer({min: 0, max: 12_000});
const delayMs = fc.oneof(fc.integer({min: 0, max: 300}), fc.integer({min: 0, max: 9000}));

/** An endpoint that runs a request states nothing false in the platform's own form, which nothing could tell from the truth. */
const statingBehaviour: fc.Arbitrary<StatingBehaviour> = fc.record({
	kind: fc.constant('state' as const),
	isRun: fc.boolean(),
	status: fc.constantFrom(200, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504),
	statement: fc.constantFrom('none' as const, 'notRun' as const, 'denied' as const),
	id: fc.constantFrom('own' as const, 'own' as const, 'other' as const, 'missing' as const),
	namesOther: fc.boolean(),
	isRepeated: fc.boolean(),
	delayMs,
}).filter(stating => !stating.isRun || !isRefusal(stating));

/** A refusal after which the same endpoint may be tried again, where a copy of it is left. */
const repeatedRefusal: fc.Arbitrary<StatingBehaviour> = fc.record({
	kind: fc.constant('state' as const),
	isRun: fc.constant(false),
	status: fc.constantFrom(...notRunStatuses),
	statement: fc.constant('notRun' as const),
	id: fc.constant('own' as const),
	namesOther: fc.constant(true),
	isRepeated: fc.constant(true),
	delayMs: fc.integer({min: 0, max: 300}),
});

const behaviour: fc.Arbitrary<EndpointBehaviour> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('serve' as const), delayMs})},
	fc.record({kind: fc.constantFrom('refuse' as const, 'misdirect' as const, 'failConnection' as const, 'reset' as const, 'skipEvent' as const), delayMs}),
	fc.record({kind: fc.constant('fail' as const), status: fc.constantFrom(500 as const, 504 as const), delayMs}),
	fc.record({kind: fc.constant('corrupt' as const), how: fc.constantFrom('foreign' as const, 'unstamped' as const, 'encoded' as const), delayMs}),
	fc.record({
		kind: fc.constant('truncate' as const),
		how: fc.constantFrom('break' as const, 'silent' as const, 'end' as const),
		events: fc.integer({min: 0, max: 5}),
		bytes: fc.integer({min: 0, max: 12}),
		delayMs,
	}),
	fc.constant({kind: 'silent' as const}),
	fc.constant({kind: 'hang' as const}),
	{weight: 4, arbitrary: statingBehaviour},
	repeatedRefusal,
);

const scriptedKinds = ['stream', 'nonResumableStream', 'longStream', 'nonResumableLongStream', 'nonIdempotent', 'idempotent'] as const;

const scriptedRequest: fc.Arbitrary<ScriptedGatewayRequest> = fc.record({
	at: eventTime,
	kind: fc.constantFrom(...scriptedKinds),
	promptTokens: fc.constantFrom(1000, 5000, 45_000, 200_000, 600_000, 1_000_000),
	callerTimeoutMs: fc.oneof(fc.integer({min: 20, max: 15_000}), fc.constant(15_000)),
	disconnectsAfterMs: fc.option(fc.integer({min: 0, max: 6000}), {nil: undefined, freq: 4}),
	isAnonymous: fc.oneof({weight: 9, arbitrary: fc.constant(false)}, fc.constant(true)),
});

const scriptedChange: fc.Arbitrary<ScriptedChange> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constantFrom('drain' as const, 'remove' as const), at: eventTime, index: fc.nat(10)})},
	fc.record({kind: fc.constantFrom('revokeKey' as const, 'loseVerification' as const), at: eventTime}),
);

const scenario: fc.Arbitrary<GatewayScenario> = fc.record({
	requests: fc.array(scriptedRequest, {minLength: 1, maxLength: 12}),
	behaviours: fc.array(behaviour, {minLength: 1, maxLength: 8}),
	grants: fc.array(fc.option(fc.boolean(), {nil: undefined, freq: 4}), {minLength: 1, maxLength: 6}),
	changes: fc.array(scriptedChange, {maxLength: 4}),
});

function checkRecords(check: (record: RequestRecord, result: GatewayScenarioResult) => void): void {
	fc.assert(fc.property(scenario, input => {
		const result = runGatewayScenario(input);
		for (const record of result.records) {
			check(record, result);
		}
	}), parameters);
}

/** Time for which memory may be reserved without use by the platform's rules, less the hold time after a lost release. */
const maximumUnusedMs = fixtureGatewaySettings.memoryIdleMs - reservationHoldMs;

/** Returns the number of events in the text if it is a prefix of the complete stream, or -1. */
function getEventCount(text: string): number {
	let prefix = '';
	for (let number = 0; ; number += 1) {
		if (text === prefix) {
			return number;
		}

		if (prefix.length > text.length) {
			return -1;
		}

		prefix += getStreamEvent(number + 1);
	}
}

/** Checks that the retries that reach a service stay within the limit in every window. */
function checkRetryLimit(records: readonly RequestRecord[]): void {
	const {ratio, windowMs} = fixtureGatewaySettings.retryQuota;
	const retries = records.flatMap(({sends}) => sends.filter(({hasArrived}) => hasArrived).slice(1).map(({at}) => at));
	for (const start of retries) {
		const requests = records.filter(({request: {arrivedAt}}) => arrivedAt >= start - windowMs && arrivedAt < start + windowMs);
		const inWindow = retries.filter(at => at >= start && at < start + windowMs);
		expect(inWindow.length).toBeLessThanOrEqual((ratio * requests.length) + simulatedFixedSends);
	}
}

describe('a request under random faults', () => {
	test('ends with exactly one final outcome, no later than its deadline', () => {
		checkRecords(({finalOutcomes, request}) => {
			expect(finalOutcomes).toHaveLength(1);
			expect(finalOutcomes[0]?.at).toBeLessThanOrEqual(request.deadlineAt);
		});
	});

	test('runs at most once if it is not repeatable', () => {
		checkRecords(({request, runs}) => {
			if (request.route.kind === 'nonIdempotent' || (request.route.kind === 'streaming' && !request.route.isResumable)) {
				expect(runs.length).toBeLessThanOrEqual(1);
			}
		});
	});

	test('has run on no endpoint if it is answered as not run', () => {
		checkRecords(({finalOutcomes, runs}) => {
			const outcome = finalOutcomes[0]?.outcome;
			if (outcome?.kind !== 'failed') {
				return;
			}

			const {status} = getErrorDefinition(outcome.failure.kind);
			if (outcome.failure.ran === 'no' || notRunStatuses.has(status)) {
				expect(runs).toEqual([]);
			}
		});
	});

	// Guards against answers that have run and are passed on with a status by which callers learn that they have not.
	test('has run on no endpoint if an answer is passed on whose status says so', () => {
		checkRecords(({status, runs}) => {
			if (notRunStatuses.has(status ?? 0)) {
				expect(runs).toEqual([]);
			}
		});
	});

	// Guards against a copy of a request's earlier refusal that is taken for the answer to a later send of it.
	test('has run on no endpoint if it is answered as not run, though its first refusal is repeated behind its second send', () => {
		const request = {
			kind: 'nonIdempotent', promptTokens: 0, callerTimeoutMs: 15_000, disconnectsAfterMs: undefined,
		} as const;
		// The second request raises the retry quota to one retry.
		const {records} = runGatewayScenario({
			requests: [{...request, at: 0}, {...request, at: 10}],
			behaviours: [{
				kind: 'state', isRun: false, status: 503, statement: 'notRun', id: 'own', namesOther: true, isRepeated: true, delayMs: 20,
			}, {kind: 'serve', delayMs: 10}, {kind: 'serve', delayMs: 10}],
			grants: [true],
			changes: [],
		});
		expect(records[0]?.runs).toHaveLength(1);
		expect(records[0]?.finalOutcomes).not.toMatchObject([{outcome: {failure: {ran: 'no'}}}]);
	});

	test('delivers exactly the complete response if it succeeds', () => {
		checkRecords(({finalOutcomes, request, text}) => {
			const outcome = finalOutcomes[0]?.outcome;
			if (outcome?.kind === 'answered' && outcome.status === 200) {
				expect(text).toBe(getCompleteBody(request.route.kind));
			}
		});
	});

	test('receives the events of a stream in order, complete and without duplicates', () => {
		checkRecords(({finalOutcomes, request, status, text}) => {
			if (request.route.kind === 'streaming' && status === 200) {
				const count = getEventCount(text);
				expect(count).toBeGreaterThanOrEqual(finalOutcomes[0]?.outcome.kind === 'answered' ? streamEventCount : 0);
			}
		});
	});

	test('runs on no more endpoints than its route allows, and each send is given at most the remaining time', () => {
		checkRecords(({request, runs, sends}) => {
			expect(new Set(runs.map(({endpoint}) => endpoint)).size).toBeLessThanOrEqual(request.route.maximumEndpoints);
			for (const {at, remainingMs} of sends) {
				expect(at + remainingMs).toBeLessThanOrEqual(request.deadlineAt);
			}
		});
	});

	test('is neither sent to nor processed by any endpoint after it has ended or its caller has disconnected', () => {
		checkRecords(({finalOutcomes, openSends, sends}) => {
			expect([...openSends]).toEqual([]);
			expect(sends.filter(({at}) => at > (finalOutcomes[0]?.at ?? 0))).toEqual([]);
		});
	});

	test('is not sent to a draining or removed endpoint, nor after its key can no longer be verified', () => {
		checkRecords((record, {drainedAt, revokedAt, verificationLostAt}) => {
			const staleAt = verificationLostAt + (fixtureGatewaySettings.configuration.maximumKeyAgeMs ?? 0);
			for (const {endpoint, at} of record.sends) {
				expect(at).toBeLessThanOrEqual(drainedAt.get(endpoint) ?? Number.POSITIVE_INFINITY);
				expect(at).toBeLessThanOrEqual(revokedAt < verificationLostAt ? revokedAt : staleAt);
			}
		});
	});
});

// Guards against a request that is sent with a key that may have been revoked while it waited for memory; found with seed 202.
test('a request that waits for memory is not sent once its key can no longer be verified', () => {
	const lostAt = 0;
	const {records} = runGatewayScenario({
		requests: [{
			at: 3591, kind: 'nonResumableLongStream', promptTokens: 600_000, callerTimeoutMs: 15_000, disconnectsAfterMs: undefined,
		}, {
			at: 0, kind: 'stream', promptTokens: 1000, callerTimeoutMs: 20, disconnectsAfterMs: undefined,
		}],
		behaviours: [{kind: 'silent'}],
		grants: [false, undefined, true],
		changes: [{kind: 'loseVerification', at: lostAt}],
	});
	const staleAt = lostAt + (fixtureGatewaySettings.configuration.maximumKeyAgeMs ?? 0);
	expect(records.flatMap(({sends}) => sends).filter(({at}) => at > staleAt)).toEqual([]);
});

describe('a gateway under random faults', () => {
	test('keeps its retries within the limit in every window', () => {
		fc.assert(fc.property(scenario, input => {
			const {records} = runGatewayScenario(input);
			checkRetryLimit(records.filter(({request}) => request.service === 'models'));
			checkRetryLimit(records.filter(({request}) => request.service === 'shop'));
		}), parameters);
	});

	test('releases all reservations and reports the end of all its requests to its peers', () => {
		fc.assert(fc.property(scenario, input => {
			const {heldReservations, reservationsAfterRelease, openWorkIds} = runGatewayScenario(input);
			expect([...heldReservations]).toEqual([]);
			expect(reservationsAfterRelease).toEqual([]);
			expect([...openWorkIds]).toEqual([]);
		}), parameters);
	});

	// Guards against memory that stays reserved at helpers while the receiver hangs the request and answers probes.
	test.each(['longStream', 'nonResumableLongStream'] as const)('reserves no memory without use for a %s whose receiver hangs it and answers probes', kind => {
		const {longestUnusedMs, records} = runGatewayScenario({
			requests: [{
				at: 0, kind, promptTokens: 600_000, callerTimeoutMs: 15_000, disconnectsAfterMs: undefined,
			}],
			behaviours: [{kind: 'hang'}],
			grants: [true],
			changes: [],
		});
		expect(records[0]?.sends.length).toBeGreaterThan(0);
		expect(longestUnusedMs).toBeLessThan(maximumUnusedMs);
	});

	// Guards against requests that stay at an endpoint that hangs them and answers probes, until the caller gives up.
	test('sends a stream again that its endpoint hangs, soon enough for its caller', () => {
		const request = {
			kind: 'stream', promptTokens: 5000, callerTimeoutMs: 15_000, disconnectsAfterMs: 2000,
		} as const;
		// The second request raises the retry quota to one retry.
		const {records} = runGatewayScenario({
			requests: [{...request, at: 0}, {...request, at: 10}],
			behaviours: [{kind: 'hang'}, {kind: 'serve', delayMs: 100}, {kind: 'serve', delayMs: 100}],
			grants: [true],
			changes: [],
		});
		expect(records[0]?.finalOutcomes).toMatchObject([{outcome: {kind: 'answered', status: 200}}]);
	});

	// Guards against memory that stays reserved at helpers while the receiver hangs the request and answers probes.
	test('reserves no memory without use', () => {
		fc.assert(fc.property(scenario, input => {
			expect(runGatewayScenario(input).longestUnusedMs).toBeLessThan(maximumUnusedMs);
		}), parameters);
	});
});
