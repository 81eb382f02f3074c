/**
Tests burn rates over several windows, and the report lines computed from them.
*/
import {expect, test} from 'vitest';
import {createBurnCounter, getBurnLines} from './burn.js';

const minuteMs = 60_000;

test('a fault of ten minutes uses up the error budget of the longer windows, but not of the short window that begins after it', () => {
	const counter = createBurnCounter();
	for (let minute = 0; minute < 60; minute += 1) {
		const isBad = minute >= 40 && minute < 50;
		for (let index = 0; index < 10; index += 1) {
			counter.record({
				route: 'rules', organisation: index < 8 ? 'league' : 'club', bucket: index < 9 ? 'under4k' : 'over100k', isGood: !isBad,
			}, minute * minuteMs);
		}
	}

	const objectives = new Map([['rules', {firstTokenMs: 390, share: 0.95}], ['quiet', {firstTokenMs: 390, share: 0.95}]]);
	const lines = getBurnLines(counter.getCounts(59 * minuteMs), objectives);
	expect(lines).toMatchObject([
		{
			route: 'rules', windowMs: 5 * minuteMs, good: 50, bad: 0, burnRate: 0, budgetLeft: 1, worstOrganisations: [],
		},
		{
			route: 'rules', windowMs: 60 * minuteMs, good: 500, bad: 100, budgetLeft: 0, worstOrganisations: ['league', 'club'], worstBuckets: ['under4k', 'over100k'],
		},
		{route: 'rules', windowMs: 360 * minuteMs, bad: 100},
		{
			route: 'quiet', good: 0, bad: 0, burnRate: 0,
		},
		{route: 'quiet'},
		{route: 'quiet'},
	]);
	expect(lines[1]?.burnRate).toBeCloseTo(100 / 600 / 0.05);
});
