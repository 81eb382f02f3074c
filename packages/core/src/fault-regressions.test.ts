/**
Failures that were once seen, each by the scenario that showed it.
*/
import {describe, expect, test} from 'vitest';
import type {Fault, ScriptedRequest} from './fault-scenario.js';
import {runScenario} from './fault-world.js';

function createPrompt(at: number, entry: number, deadlineMs: number): ScriptedRequest {
	return {
		at, entry, kind: 'prompt', key: 'k1', promptTokens: 1000, deadlineMs,
	};
}

describe('once seen', () => {
	// The attempt was sent, its agent was paused before it said a word, and the entry took silence for "never sent".
	test('an attempt without any word from its agent may have run', () => {
		const requests = [createPrompt(0, 3, 300), createPrompt(105, 1, 300), createPrompt(0, 0, 300)];
		const facts = runScenario({
			seed: 305_966, requests, faults: [{
				kind: 'pauseAgent', index: 1, at: 103, forMs: 299,
			}],
		});
		for (const {final, wasStarted} of facts.requests) {
			if (final?.kind === 'failRequest' && final.failure.ran === 'no') {
				expect(wasStarted).toBe(false);
			}
		}
	});
});

describe('an action whose outcome was never recorded', () => {
	function createAction(at: number, entry: number): ScriptedRequest {
		return {
			at, entry, kind: 'action', key: 'k1', promptTokens: 0, deadlineMs: 5000,
		};
	}

	// The agent had forgotten the attempt by then, and took it for one that never came.
	test('does not run again when its caller comes back after the agent forgot it', () => {
		const requests = [createAction(0, 0), createAction(200_000, 1)];
		for (let killedAt = 10; killedAt < 60; killedAt += 1) {
			const {runs} = runScenario({seed: 1, requests, faults: [{kind: 'killEntry', index: 0, at: killedAt}]});
			expect(runs.get('k1') ?? 0).toBeLessThanOrEqual(1);
		}
	});
});

describe('tombstones', () => {
	const actionCount = 40;

	// The copy is lost on a connection that went silent, the attempt is voided and moved, and then the copy arrives.
	test('a copy of an action that comes late never runs', () => {
		const requests = Array.from({length: actionCount}, (_, index): ScriptedRequest => ({
			at: index * 100, entry: 0, kind: 'action', key: `k${index}`, promptTokens: 0, deadlineMs: 9000,
		}));
		const faults: readonly Fault[] = [{
			kind: 'delaySubmits', at: 0, count: actionCount, delayMs: 3000, isRepeated: false,
		}];
		const facts = runScenario({seed: 11, requests, faults});
		for (const {final, request} of facts.requests) {
			const runCount = facts.runs.get(request.key) ?? 0;
			expect(runCount).toBe(final?.kind === 'answerRequest' ? 1 : 0);
		}
	});
});
