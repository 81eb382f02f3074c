/**
Tests the test by which crashes are attributed to a segment or a request: how often it blames a sound one, and how many crashes a
real one costs. The seed is fixed so that every run gives the same result.
*/
import {describe, expect, test} from 'vitest';
import {createRandom} from '../random.js';
import {createSegmentSuspicion} from './segment-suspicion.js';
import {conclusiveEvidence, getCrashEvidence, type CrashIndication} from './crash-evidence.js';

const momentMs = 50;
const intervalMs = 300;
const seed = 20_261_205;
const sequenceCount = 4000;
const crashCount = 40;

/** Draws crashes in each of which a sound trait is lost with the given chance. */
function drawSoundIndications(random: ReturnType<typeof createRandom>, chance: number): readonly CrashIndication[] {
	return Array.from({length: crashCount}, (_, index): CrashIndication => {
		const at = index * intervalMs;
		return random.getFraction() < chance
			? {
				kind: 'hit', at, chance, request: `request-${index}`,
			}
			: {kind: 'miss', at};
	});
}

function createHits(times: readonly number[], chance: number, request?: string): readonly CrashIndication[] {
	return times.map(at => ({
		kind: 'hit', at, chance, request: request ?? `request-${at}`,
	}));
}

describe('the evidence of crashes against a segment or a request', () => {
	// Guards against sound segments that are blamed because servers were ended from outside while they ran.
	test.each([0.02, 0.1, 0.3, 0.6])('suffices against a sound one in no more than one of 50 sequences of 40 crashes (lost in %s of them by chance)', chance => {
		const random = createRandom(seed);
		const blamed = Array.from({length: sequenceCount}, () => getCrashEvidence(drawSoundIndications(random, chance), momentMs).highest)
			.filter(highest => highest >= conclusiveEvidence);
		expect(blamed.length).toBeLessThanOrEqual(sequenceCount / conclusiveEvidence);
	});

	// Guards against requests that go on to crash servers because the test needs more than the platform's bound allows.
	test.each([0.01, 0.1])('suffices after three crashes against one that is lost in all of them (chance: %s)', chance => {
		expect(getCrashEvidence(createHits([0, 300], chance), momentMs).highest).toBeLessThan(conclusiveEvidence);
		expect(getCrashEvidence(createHits([0, 300, 600], chance), momentMs).highest).toBeGreaterThanOrEqual(conclusiveEvidence);
	});

	// Guards against a cause that goes unnoticed beside servers that are ended from outside.
	test('suffices after six crashes against one that is lost in every second one', () => {
		const indications: readonly CrashIndication[] = createHits([0, 600, 1200, 1800, 2400, 3000], 0.05).flatMap(hit => [hit, {kind: 'miss', at: hit.at + 300}]);
		expect(getCrashEvidence(indications, momentMs).highest).toBeGreaterThanOrEqual(conclusiveEvidence);
	});

	// Guards against segments that are blamed when a rack is lost.
	test('does not grow with the number of servers that end at the same moment', () => {
		const one = getCrashEvidence(createHits([0], 0.02), momentMs);
		expect(getCrashEvidence(createHits([0, 1, 2, 3, 20, 30, 49], 0.02), momentMs)).toEqual(one);
	});

	// Guards against segments that are blamed for a request that crashes servers by other means.
	test('does not suffice against a segment of one request alone, however often that is lost', () => {
		const times = Array.from({length: 30}, (_, index) => index * intervalMs);
		expect(getCrashEvidence(createHits(times, 0.05, 'request'), momentMs).highest).toBeLessThan(conclusiveEvidence);
	});

	// Guards against later crashes of another cause that free a segment which is refused, and therefore in none of them.
	test('keeps its highest value through crashes of other causes', () => {
		const hits = createHits([0, 300, 600], 0.05);
		const misses = Array.from({length: 50}, (_, index): CrashIndication => ({kind: 'miss', at: 1000 + (index * intervalMs)}));
		const {current, highest} = getCrashEvidence([...hits, ...misses], momentMs);
		expect(highest).toBe(getCrashEvidence(hits, momentMs).highest);
		expect(current).toBeLessThan(highest);
	});
});

// Guards against reports that grow with what callers put into the heads of their requests.
test('a report of a crash holds a limited number of lost requests and of their segments, with each request as a whole', () => {
	const lostPrompts = Array.from({length: 500}, (_, index) => [...Array.from({length: 300}, (_ignored, segment) => `${segment}`), `request-${index}`]);
	const report = createSegmentSuspicion().countRequests('models', lostPrompts);
	expect(report.requests).toBe(500);
	expect(report.lostPrompts.length).toBeLessThanOrEqual(64);
	expect(Math.max(...report.lostPrompts.map(({length}) => length))).toBeLessThanOrEqual(32);
	expect(report.lostPrompts.every(traits => traits.at(-1)?.startsWith('request-'))).toBe(true);
	expect(report.suspects.length).toBeLessThanOrEqual(64 + 32);
});
