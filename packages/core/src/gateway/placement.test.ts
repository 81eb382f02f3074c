import {describe, expect, test} from 'vitest';
import {getPrefillMs} from './engine-timing.js';
import {createFixtureEndpoints, fixtureEngine} from './gateway-fixtures.js';
import type {DecodingSequence, EndpointLoad} from './load-view.js';
import {findPromptPlacement, findServicePlacement} from './placement.js';
import type {Candidate, PromptDemand} from './placement-cost.js';
import {singleLevel} from './urgency.js';

const idle: EndpointLoad = {
	requests: 0, prefillBacklogMs: 0, helpedRequests: 0, decodingSequences: [], memoryTokens: 0,
};
const shortSequence: DecodingSequence = {longestPauseMs: 250, promptTokens: 5000, priority: 1};

function createLoad(decodingSequences: readonly DecodingSequence[], prefillBacklogMs = 0): EndpointLoad {
	return {
		...idle, decodingSequences, requests: decodingSequences.length, prefillBacklogMs, memoryTokens: decodingSequences.length * 5000,
	};
}

function createCandidates(loads: readonly EndpointLoad[]): readonly Candidate[] {
	return createFixtureEndpoints('models', loads.length).map((endpoint, index) => ({endpoint, load: loads[index] ?? idle, rank: 0}));
}

const shortPrompt: PromptDemand = {
	promptTokens: 5000, objectiveMs: 300, longestPauseMs: 250, remainingMs: 10_000, dataCentre: 'east', urgency: {priority: 1, levels: singleLevel},
};
const longPrompt: PromptDemand = {
	promptTokens: 182_000, objectiveMs: 3000, longestPauseMs: 1000, remainingMs: 15_000, dataCentre: 'east', urgency: {priority: 1, levels: singleLevel},
};

describe('getPrefillMs', () => {
	test.each([[5000, 34], [45_000, 456], [182_000, 3865]])('the prefill of %i tokens takes %i ms', (tokens, ms) => {
		expect(Math.round(getPrefillMs(fixtureEngine, tokens))).toBe(ms);
	});
});

describe('findPromptPlacement for a short prompt', () => {
	test('chooses a server that already decodes short prompts if idle servers are scarce', () => {
		const prefilling = createLoad([], 800);
		const placement = findPromptPlacement(fixtureEngine, createCandidates([idle, prefilling, createLoad([shortSequence, shortSequence]), prefilling, prefilling]), shortPrompt);
		expect(placement?.endpoint.id).toBe('models-2');
	});

	test('chooses an idle server if most servers are idle, so that prefills do not queue', () => {
		const placement = findPromptPlacement(fixtureEngine, createCandidates([createLoad([shortSequence, shortSequence], 34), idle, idle, idle]), shortPrompt);
		expect(placement?.endpoint.id).toBe('models-2');
	});

	test('avoids a server that is busy with a long prefill', () => {
		const placement = findPromptPlacement(fixtureEngine, createCandidates([createLoad([shortSequence], 800), idle]), shortPrompt);
		expect(placement?.endpoint.id).toBe('models-1');
	});

	test('avoids a server without a free slot', () => {
		const full = createLoad(Array.from({length: 11}, () => shortSequence));
		expect(findPromptPlacement(fixtureEngine, createCandidates([full, idle]), shortPrompt)?.endpoint.id).toBe('models-1');
	});
});

test('a prompt that no single server can hold is split even if its prefill is fast', () => {
	const fastEngine = {...fixtureEngine, prefillTokensPerMs: 10_000, prefillMsPerMillionPairs: 0};
	const placement = findPromptPlacement(fastEngine, createCandidates([idle, idle, idle]), {...longPrompt, promptTokens: 600_000});
	expect(placement?.helpers.filter(({reservedTokens}) => reservedTokens > 0)).toHaveLength(1);
});

describe('findPromptPlacement for a long prompt', () => {
	test('splits it across servers that decode no short prompts', () => {
		const busy = createLoad([shortSequence, shortSequence, shortSequence]);
		const placement = findPromptPlacement(fixtureEngine, createCandidates([busy, idle, idle, busy, idle, idle, idle]), longPrompt);
		const usedIds = [placement?.endpoint.id, ...placement?.helpers.map(({endpoint}) => endpoint.id) ?? []];
		expect(usedIds).not.toContain('models-0');
		expect(usedIds).not.toContain('models-3');
		expect(placement?.firstEventMs).toBeLessThan(longPrompt.objectiveMs);
	});

	test('does not use helpers that already help with the maximum number of requests', () => {
		const fullyHelping = {...idle, helpedRequests: 11};
		const placement = findPromptPlacement(fixtureEngine, createCandidates([idle, fullyHelping, fullyHelping, idle, idle, idle]), longPrompt);
		const helpers = placement?.helpers.map(({endpoint}) => endpoint.id);
		expect(helpers).not.toContain('models-1');
		expect(helpers).not.toContain('models-2');
	});

	test('splits it into parts shorter than the pause target of short prompts if every server decodes them', () => {
		const placement = findPromptPlacement(
			fixtureEngine,
			createCandidates(Array.from({length: 21}, () => createLoad([shortSequence, shortSequence]))),
			{...longPrompt, promptTokens: 120_000},
		);
		expect(placement?.prefillMs).toBeLessThan(shortPrompt.longestPauseMs);
	});
});

describe('findPromptPlacement for a prompt that no single server can hold', () => {
	const hugePrompt = {...longPrompt, promptTokens: 800_000};
	const idleCandidates = createCandidates(Array.from({length: 12}, () => idle));

	test('reserves memory at helpers so that each part fits and the prompt meets its deadline', () => {
		const placement = findPromptPlacement(fixtureEngine, idleCandidates, hugePrompt);
		const reserved = placement?.helpers.map(({reservedTokens}) => reservedTokens) ?? [];
		expect(Math.max(...reserved)).toBeLessThan(fixtureEngine.memoryTokens);
		expect(hugePrompt.promptTokens - reserved.reduce((sum, tokens) => sum + tokens, 0)).toBeLessThan(fixtureEngine.memoryTokens);
		expect(placement?.firstEventMs).toBeLessThan(hugePrompt.remainingMs);
	});

	test('returns undefined if all servers together have too little memory', () => {
		expect(findPromptPlacement(fixtureEngine, idleCandidates.slice(0, 2), hugePrompt)).toBeUndefined();
	});

	test('reserves no memory at servers whose memory is full', () => {
		const full = {...idle, requests: 1, memoryTokens: 400_000};
		const candidates = createCandidates([idle, full, idle, full, idle, idle, idle, idle, idle, idle, idle, idle]);
		const placement = findPromptPlacement(fixtureEngine, candidates, hugePrompt);
		const holderIds = placement?.helpers.filter(({reservedTokens}) => reservedTokens > 0).map(({endpoint}) => endpoint.id);
		expect(holderIds).not.toContain('models-1');
		expect(holderIds).not.toContain('models-3');
	});
});

describe('findServicePlacement', () => {
	test('chooses the endpoint with the lowest load, preferring the same data centre if equal', () => {
		const candidates = createCandidates([createLoad([shortSequence]), idle, idle]);
		expect(findServicePlacement(candidates, 'west')?.endpoint.id).toBe('models-1');
		expect(findServicePlacement(candidates, 'east')?.endpoint.id).toBe('models-2');
	});
});
