import {expect, test} from 'vitest';
import {createClockWatch} from './clock-watch.js';

function createClocks() {
	const clocks = {steadyMs: 0, timeOfDayMs: 1_000_000};
	const watch = createClockWatch({getSteadyMs: () => clocks.steadyMs, getTimeOfDayMs: () => clocks.timeOfDayMs});
	return {
		pass(steadyMs: number, timeOfDayMs: number): boolean {
			clocks.steadyMs += steadyMs;
			clocks.timeOfDayMs += timeOfDayMs;
			return watch.hasJumped();
		},
	};
}

test('time that passes on both clocks is no jump, however long it is', () => {
	const clocks = createClocks();
	expect([1, 250, 2000, 60_000].map(ms => clocks.pass(ms, ms))).toEqual([false, false, false, false]);
});

test('a suspension and a step of the time of day are noticed once each', () => {
	const clocks = createClocks();
	expect(clocks.pass(10, 3010)).toBe(true);
	expect(clocks.pass(250, 250)).toBe(false);
	expect(clocks.pass(250, -2150)).toBe(true);
	expect(clocks.pass(250, 250)).toBe(false);
});
