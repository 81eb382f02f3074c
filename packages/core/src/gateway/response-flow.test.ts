/**
Generated sequences of endpoints that send and callers that read, at any pace, or leave. CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another
seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createResponseFlow, pauseBytes, pressedPauseBytes, resumeBytes,
} from './response-flow.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '300'),
};
const responseCount = 8;
const maximumPartBytes = 20_000;

const step = fc.record({
	response: fc.nat({max: responseCount - 1}), bytes: fc.integer({min: 1, max: maximumPartBytes}), afterMs: fc.nat({max: 500}), kind: fc.constantFrom('send', 'send', 'send', 'read', 'drain', 'end'),
});

test(`no response holds more than its mark and one part, and one goes on exactly when its caller has read down to the low mark (seed ${parameters.seed})`, () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 300}), fc.integer({min: 1000, max: 1_000_000}), (steps, limitBytes) => {
		const flow = createResponseFlow<number>(limitBytes);
		const unread = new Map<number, number>();
		const pausedAt = new Map<number, number>();
		let now = 0;
		for (const {response, bytes, afterMs, kind} of steps) {
			now += afterMs;
			const before = unread.get(response) ?? 0;
			if (kind === 'end') {
				const since = pausedAt.get(response);
				expect(flow.remove(response, now)).toBe(since === undefined ? undefined : now - since);
				unread.delete(response);
				pausedAt.delete(response);
			} else if (kind !== 'send' || !pausedAt.has(response)) {
				const after = kind === 'send' ? before + bytes : Math.max(0, before - (kind === 'read' ? bytes : before));
				unread.set(response, after);
				const change = flow.setUnread(response, after, now);
				const all = [...unread.values()].reduce((sum, part) => sum + part, 0);
				const mark = all > limitBytes / 2 ? pressedPauseBytes : pauseBytes;
				const since = pausedAt.get(response);
				if (since === undefined) {
					expect(change).toEqual(after >= mark ? {kind: 'paused'} : {kind: 'unchanged'});
				} else {
					expect(change).toEqual(after <= resumeBytes ? {kind: 'resumed', pausedMs: now - since} : {kind: 'unchanged'});
				}

				if (change.kind === 'paused') {
					pausedAt.set(response, now);
				} else if (change.kind === 'resumed') {
					pausedAt.delete(response);
				}
			}

			expect(unread.get(response) ?? 0).toBeLessThan(pauseBytes + maximumPartBytes);
			expect(flow.getPausedCount()).toBe(pausedAt.size);
		}
	}), parameters);
});

test('no response is paused where the memory for callers is not bounded', () => {
	const flow = createResponseFlow<number>(Number.POSITIVE_INFINITY);
	expect(flow.setUnread(1, 100_000_000, 0)).toEqual({kind: 'unchanged'});
});
