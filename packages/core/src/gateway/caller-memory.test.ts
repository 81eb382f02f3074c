/**
Generated sequences of callers that hold more and more, finish, begin or end. CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and
number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createCallerMemory, getBoundFailure, getCallerMemoryLimit, getMaximumConnections,
} from './caller-memory.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '300'),
};
const limit = 1000;
const holderCount = 12;

const step = fc.record({
	holder: fc.nat({max: holderCount - 1}), bytes: fc.integer({min: 1, max: limit / 4}), afterMs: fc.nat({max: 50}), kind: fc.constantFrom('grow', 'grow', 'grow', 'leave', 'begin', 'end'),
});

test(`callers hold no more than the limit, and nobody gives way to one that has held as much for as long (seed ${parameters.seed})`, () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const memory = createCallerMemory<number>();
		memory.setLimit(limit);
		const held = new Map<number, {bytes: number; since: number}>();
		const kept: number[] = [];
		let now = 0;
		for (const {holder, bytes, afterMs, kind} of steps) {
			now += afterMs;
			const known = held.get(holder);
			switch (kind) {
				case 'grow': {
					held.set(holder, {bytes: (known?.bytes ?? 0) + bytes, since: known?.since ?? now});
					for (const given of memory.setHeld(holder, (known?.bytes ?? 0) + bytes, now)) {
						const {bytes: givenBytes, since} = held.get(given) ?? {bytes: 0, since: 0};
						held.delete(given);
						expect([...held.values()].filter(other => other.bytes > givenBytes && other.since < since)).toEqual([]);
					}

					break;
				}

				case 'leave': {
					memory.remove(holder);
					held.delete(holder);
					break;
				}

				case 'begin': {
					memory.remove(holder);
					memory.addKept(known?.bytes ?? 0);
					kept.push(known?.bytes ?? 0);
					held.delete(holder);
					break;
				}

				case 'end': {
					memory.addKept(-(kept.pop() ?? 0));
				}
			}

			const expected = [...held.values()].reduce((sum, {bytes: part}) => sum + part, 0) + kept.reduce((sum, part) => sum + part, 0);
			expect(memory.getHeldBytes()).toBe(expected);
			const isAlone = held.size + kept.filter(part => part > 0).length <= 1;
			expect(isAlone || expected <= limit || held.size === 0).toBe(true);
		}
	}), parameters);
});

test('bodies that stop short give way, and none that arrives at an ordinary pace, while the crowd comes back again and again', () => {
	const memory = createCallerMemory<string>();
	memory.setLimit(limit);
	const gaveWay: string[] = [];
	for (let now = 0; now < 10_000; now += 10) {
		gaveWay.push(...memory.setHeld(`crowd-${now % 400}`, 90, now), ...memory.setHeld(`ordinary-${now}`, 60, now));
		memory.remove(`ordinary-${now - 20}`);
	}

	expect(gaveWay.length).toBeGreaterThan(100);
	expect(gaveWay.filter(holder => holder.startsWith('ordinary'))).toEqual([]);
});

test('a host has room for two bodies of the greatest length, and returns are spread', () => {
	expect(getCallerMemoryLimit(undefined, 4_000_000)).toBe(Number.POSITIVE_INFINITY);
	expect(getCallerMemoryLimit(50, 4_000_000)).toBe(8_000_000);
	expect(getMaximumConnections(undefined)).toBe(Number.POSITIVE_INFINITY);
	expect(new Set(Array.from({length: 16}, (_, index) => getBoundFailure(index).retryAfterMs)).size).toBe(16);
});
