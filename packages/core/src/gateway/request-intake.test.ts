import {expect, test} from 'vitest';
import {createRequestIntake, getOverdueFailure, maximumIntakeWaitMs} from './request-intake.js';

type Arrival = Readonly<{id: number; at: number}>;

/** Time between two turns of the loop, and the number of requests that are begun in one. */
const turnMs = 20;
const begunPerTurn = 2;
const arrivalsPerTurn = 5;
const durationMs = 10_000;

/** Adds more requests than can be begun, turn by turn, and returns how long each one waited until it was begun or refused. */
function runOverload(): Readonly<{begunAfterMs: readonly number[]; refusedAfterMs: readonly number[]}> {
	const intake = createRequestIntake<Arrival>();
	const begunAfterMs: number[] = [];
	const refusedAfterMs: number[] = [];
	let id = 0;
	for (let now = 0; now < durationMs; now += turnMs) {
		refusedAfterMs.push(...intake.takeOverdue(now).map(({at}) => now - at));
		for (let count = 0; count < begunPerTurn; count += 1) {
			const entry = intake.tryTakeNewest();
			if (entry !== undefined) {
				begunAfterMs.push(now - entry.at);
			}
		}

		intake.recordReads();
		for (let count = 0; count < arrivalsPerTurn; count += 1) {
			id += 1;
			intake.add({id, at: now}, now);
		}
	}

	return {begunAfterMs, refusedAfterMs};
}

// Guards against an overloaded gateway that works in order of arrival, and so for callers that are about to leave.
test('begins requests soon after they arrive, and refuses the others in time, while more arrive than can be begun', () => {
	const {begunAfterMs, refusedAfterMs} = runOverload();
	const turns = durationMs / turnMs;
	expect(begunAfterMs.length).toBeGreaterThan((turns - 3) * begunPerTurn);
	expect(Math.max(...begunAfterMs)).toBeLessThanOrEqual(2 * turnMs);
	expect(Math.max(...refusedAfterMs)).toBeLessThanOrEqual(maximumIntakeWaitMs + (2 * turnMs));
	expect(begunAfterMs.length + refusedAfterMs.length).toBeGreaterThan((turns * arrivalsPerTurn) - (2 * arrivalsPerTurn * maximumIntakeWaitMs / turnMs));
});

// Guards against work for callers that have left: a close is read after the request that it follows.
test('gives out a request only after another read', () => {
	const intake = createRequestIntake<string>();
	intake.add('a', 0);
	expect(intake.tryTakeNewest()).toBeUndefined();
	expect(intake.takeOverdue(2 * maximumIntakeWaitMs)).toEqual([]);
	intake.recordReads();
	intake.add('b', 1);
	expect(intake.tryTakeNewest()).toBe('a');
	expect(intake.tryTakeNewest()).toBeUndefined();
	expect(intake.isEmpty()).toBe(false);
});

test('spreads the times at which refused callers may come back', () => {
	const times = Array.from({length: 64}, (_, index) => getOverdueFailure(index).retryAfterMs ?? 0);
	expect(new Set(times).size).toBeGreaterThanOrEqual(16);
	expect(Math.min(...times)).toBeGreaterThanOrEqual(1000);
	expect(Math.max(...times)).toBeLessThan(2000);
});
