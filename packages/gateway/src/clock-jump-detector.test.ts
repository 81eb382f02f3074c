import {expect, test} from 'vitest';
import {createClockJumpDetector} from './clock-jump-detector.js';

function createTestClocks() {
	const clocks = {monotonicMs: 0, wallClockMs: 1_000_000};
	const detector = createClockJumpDetector({getMonotonicMs: () => clocks.monotonicMs, getWallClockMs: () => clocks.wallClockMs});
	return {
		advance(monotonicMs: number, wallClockMs: number): boolean {
			clocks.monotonicMs += monotonicMs;
			clocks.wallClockMs += wallClockMs;
			return detector.hasJumped();
		},
	};
}

test('reports no jump when both clocks advance equally, however far', () => {
	const clocks = createTestClocks();
	expect([1, 250, 2000, 60_000].map(ms => clocks.advance(ms, ms))).toEqual([false, false, false, false]);
});

test('reports a suspension and a backward step of the wall clock once each', () => {
	const clocks = createTestClocks();
	expect(clocks.advance(10, 3010)).toBe(true);
	expect(clocks.advance(250, 250)).toBe(false);
	expect(clocks.advance(250, -2150)).toBe(true);
	expect(clocks.advance(250, 250)).toBe(false);
});
