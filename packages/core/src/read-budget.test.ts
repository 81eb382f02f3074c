import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createReadBudget, type ReadAllowance} from './read-budget.js';

const settings = {burstUnits: 2000, ownUnitsPerSecond: 4000, sharedUnitsPerSecond: 100_000};

// Guards against sound streams that are held up because of others.
test('a connection that stays within its own allowance is never held up, however much others read', () => {
	const budget = createReadBudget(settings);
	const [sound, ...others] = Array.from({length: 200}, () => budget.createAllowance());
	for (let now = 0; now < 20_000; now += 1) {
		for (const other of others) {
			other.record(10_000, now);
		}

		// A thousand a second.
		expect(sound?.record(1, now)).toBe(0);
	}
});

// Guards against connections that together take all of the event loop, each within what is harmless alone.
test('what connections read beyond their allowances is bounded for all of them together, and each goes on', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 11_000}), (count, unitsPerRead) => {
		const budget = createReadBudget(settings);
		const connections = Array.from({length: count}, () => ({allowance: budget.createAllowance(), nextAt: 0, reads: 0}));
		const playMs = 10_000;
		let units = 0;
		for (let now = 0; now < playMs; now += 1) {
			for (const connection of connections.filter(({nextAt}) => nextAt <= now)) {
				units += unitsPerRead;
				connection.reads += 1;
				connection.nextAt = now + connection.allowance.record(unitsPerRead, now);
			}
		}

		const ownUnits = count * (settings.burstUnits + (settings.ownUnitsPerSecond * playMs / 1000));
		// Each connection may have read once more than is paid for.
		expect(units).toBeLessThanOrEqual(ownUnits + (settings.sharedUnitsPerSecond * playMs / 1000) + (count * unitsPerRead));
		expect(Math.min(...connections.map(({reads}) => reads))).toBeGreaterThan(1);
	}), {seed: 49, numRuns: 60});
});

test('a connection that exceeds its allowance alone goes on at the rate of the shared units, besides its own', () => {
	const allowance: ReadAllowance = createReadBudget(settings).createAllowance();
	expect(allowance.record(12_000, 0)).toBe(100);
	// In 100 ms it has got 400 units of its own.
	expect(allowance.record(5000, 100)).toBeCloseTo(46);
});
