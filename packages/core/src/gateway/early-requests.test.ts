/**
Generated starts of a gateway: requests arrive and leave, calls of the store succeed and fail, and the configuration comes at some time.
CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {Failure} from '../errors.js';
import {
	createEarlyRequests, maximumHeldRequests, maximumEarlyWaitMs, maximumEarlyWaitShare,
} from './early-requests.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '500'),
};

const step = fc.record({
	kind: fc.constantFrom('arrive', 'arrive', 'arrive', 'leave', 'answered', 'failed'),
	afterMs: fc.nat({max: 60}),
	remainingMs: fc.option(fc.integer({min: -100, max: 15_000}), {nil: undefined}),
	unreadMs: fc.constantFrom(0, 0, 100, 500, 1500),
	index: fc.nat({max: 1000}),
});

test(`each request is held once, in its time, and is refused, checked or gone after that (seed ${parameters.seed})`, () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const early = createEarlyRequests<number>();
		const held = new Map<number, {arrivedAt: number; remainingMs: number | undefined}>();
		let now = 0;
		let failedCalls = 0;
		const end = (entry: number, failure: Failure): void => {
			expect(held.delete(entry)).toBe(true);
			expect(failure).toMatchObject({kind: 'notReady', ran: 'no'});
		};

		for (const [entry, {kind, afterMs, remainingMs, unreadMs, index}] of steps.entries()) {
			now = Math.min(now + afterMs, early.getWakeAt());
			for (const {entry: overdue, failure} of early.takeOverdue(now)) {
				end(overdue, failure);
			}

			switch (kind) {
				case 'arrive': {
					const failure = early.admit(entry, {remainingMs, unreadMs}, now);
					if (failure === undefined) {
						expect(failedCalls).toBeLessThan(2);
						held.set(entry, {arrivedAt: now - unreadMs, remainingMs});
					} else {
						const isPossible = failedCalls < 2 && held.size < maximumHeldRequests && unreadMs <= 500 && (remainingMs ?? Number.POSITIVE_INFINITY) >= 3 * (unreadMs + 100);
						expect(isPossible).toBe(false);
					}

					break;
				}

				case 'leave': {
					const leaving = [...held.keys()][index % Math.max(1, held.size)];
					expect(leaving !== undefined && early.remove(leaving)).toBe(leaving !== undefined);
					held.delete(leaving ?? -1);
					break;
				}

				case 'answered':
				case 'failed': {
					failedCalls = kind === 'answered' ? 0 : failedCalls + 1;
					for (const {entry: refused, failure} of early.recordCall(kind === 'answered')) {
						end(refused, failure);
					}

					expect(failedCalls < 2 || held.size === 0).toBe(true);
				}
			}

			expect(held.size).toBeLessThanOrEqual(maximumHeldRequests);
			for (const {arrivedAt, remainingMs: leftMs = Number.POSITIVE_INFINITY} of held.values()) {
				expect(now - arrivedAt).toBeLessThanOrEqual(Math.min(maximumEarlyWaitMs, leftMs * maximumEarlyWaitShare) + 1e-6);
			}
		}

		expect(early.takeAll()).toEqual([...held.keys()].toReversed());
		expect(early.getWakeAt()).toBe(Number.POSITIVE_INFINITY);
	}), parameters);
});

// Guards against requests that wait for a configuration that a failing store can't give.
test('refuses what is held and what arrives once two calls of the store have failed, and holds again once one has succeeded', () => {
	const early = createEarlyRequests<string>();
	expect(early.admit('a', {remainingMs: 10_000, unreadMs: 0}, 0)).toBeUndefined();
	expect(early.recordCall(false)).toEqual([]);
	expect(early.recordCall(false).map(({entry}) => entry)).toEqual(['a']);
	expect(early.admit('b', {remainingMs: 10_000, unreadMs: 0}, 1)).toMatchObject({kind: 'notReady', ran: 'no'});
	early.recordCall(true);
	expect(early.admit('c', {remainingMs: 10_000, unreadMs: 0}, 2)).toBeUndefined();
	expect(early.takeAll()).toEqual(['c']);
});

// Guards against callers of one start that all come back at the same moment.
test('spreads the times at which refused callers may come back', () => {
	const early = createEarlyRequests<number>();
	const times = Array.from({length: 64}, (_, index) => early.admit(index, {remainingMs: 0, unreadMs: 0}, 0)?.retryAfterMs ?? 0);
	expect(new Set(times).size).toBe(16);
	expect(Math.min(...times)).toBeGreaterThanOrEqual(500);
	expect(Math.max(...times)).toBeLessThan(1000);
});
