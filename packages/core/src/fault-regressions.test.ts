/**
Regression tests of failures, each with the scenario that reproduced it.
*/
import {describe, expect, test} from 'vitest';
import type {Fault, ScriptedRequest} from './fault-scenario.js';
import {runScenario} from './fault-simulation.js';

function createPrompt(at: number, entry: number, deadlineMs: number): ScriptedRequest {
	return {
		at, entry, kind: 'prompt', key: 'k1', promptTokens: 1000, deadlineMs,
	};
}

describe('an attempt whose agent was paused', () => {
	// The agent was paused after the attempt had been sent, and the entry took the missing reply to mean "never sent".
	test('is not reported as not run when it was started before the agent replied', () => {
		const requests = [createPrompt(0, 3, 300), createPrompt(105, 1, 300), createPrompt(0, 0, 300)];
		const result = runScenario({
			seed: 305_966, requests, faults: [{
				kind: 'pauseAgent', index: 1, at: 103, durationMs: 299,
			}],
		});
		for (const {finalAction, wasStarted} of result.requests) {
			if (finalAction?.kind === 'failRequest' && finalAction.failure.ran === 'no') {
				expect(wasStarted).toBe(false);
			}
		}
	});
});

describe('an idempotent call that has run at one server', () => {
	// The first attempt ran and its response was lost; the other server refused the second one, and the entry answered "overloaded".
	test('is not answered with a status that says that it was not run when the other server refuses it', () => {
		const {requests} = runScenario({
			seed: 1,
			requests: [
				{
					at: 0, entry: 1, kind: 'idempotentCall', key: 'k1', promptTokens: 0, deadlineMs: 1513,
				},
				{
					at: 1506, entry: 1, kind: 'idempotentCall', key: 'k1', promptTokens: 0, deadlineMs: 300,
				},
			],
			faults: [
				{
					kind: 'delaySubmits', at: 0, count: 1, delayMs: 1504, isDuplicated: false,
				},
				{
					kind: 'killAgent', index: 2, at: 1516, downMs: 0,
				},
				{kind: 'loseServiceResponses', at: 0, count: 1},
			],
		});
		expect(requests[1]?.wasStarted).toBe(true);
		expect(requests[1]?.finalAction).toMatchObject({kind: 'failRequest', failure: {kind: 'serverLost', ran: 'unknown'}});
	});
});

describe('a non-idempotent call whose outcome was never recorded', () => {
	function createAction(at: number, entry: number): ScriptedRequest {
		return {
			at, entry, kind: 'nonIdempotentCall', key: 'k1', promptTokens: 0, deadlineMs: 5000,
		};
	}

	// The agent had removed the record of the attempt by then, and voided it as if it had never arrived.
	test('does not run again when its caller retries after the agent has removed its record', () => {
		const requests = [createAction(0, 0), createAction(200_000, 1)];
		for (let killedAt = 10; killedAt < 60; killedAt += 1) {
			const {runCounts} = runScenario({seed: 1, requests, faults: [{kind: 'killEntry', index: 0, at: killedAt}]});
			expect(runCounts.get('k1') ?? 0).toBeLessThanOrEqual(1);
		}
	});
});

describe('a delayed copy of a non-idempotent call', () => {
	const callCount = 40;

	// The submit is delayed by the network, the attempt is voided and retried on another server, and then the submit arrives.
	test('does not run when it arrives after the attempt was voided', () => {
		const requests = Array.from({length: callCount}, (_, index): ScriptedRequest => ({
			at: index * 100, entry: 0, kind: 'nonIdempotentCall', key: `k${index}`, promptTokens: 0, deadlineMs: 9000,
		}));
		const faults: readonly Fault[] = [{
			kind: 'delaySubmits', at: 0, count: callCount, delayMs: 3000, isDuplicated: false,
		}];
		const result = runScenario({seed: 11, requests, faults});
		for (const {finalAction, request} of result.requests) {
			const runCount = result.runCounts.get(request.key) ?? 0;
			expect(runCount).toBe(finalAction?.kind === 'answerRequest' ? 1 : 0);
		}
	});
});
