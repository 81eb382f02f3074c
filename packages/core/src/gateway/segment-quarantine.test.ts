import {describe, expect, test} from 'vitest';
import type {GatewayAction} from './gateway-events.js';
import {createFixtureEndpoints} from './gateway-fixtures.js';
import type {SegmentId} from './gateway-types.js';
import {createSegmentQuarantine, type QuarantineChange, type SegmentQuarantine} from './segment-quarantine.js';

const service = 'models';
const [sound, crashing] = ['aa', 'bad'];
const endpoints = createFixtureEndpoints(service, 8);
/** When all crashes are recorded and decided on. */
const decidedAt = 3000;

function createQuarantine(gateway: string): SegmentQuarantine {
	return createSegmentQuarantine({gateway, getRank: () => 0});
}

function getChanges(actions: readonly GatewayAction[]): readonly QuarantineChange[] {
	return actions.flatMap(action => action.kind === 'publishChange' ? [action.change as QuarantineChange] : []); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a quarantine publishes no others
}

/** Records that a server has crashed under one request, and returns what the other gateways are told. */
function loseRequest(quarantine: SegmentQuarantine, index: number, segments: readonly SegmentId[], now: number): readonly QuarantineChange[] {
	const endpoint = endpoints[index];
	if (endpoint === undefined) {
		throw new Error(`the fixtures have no endpoint ${index}`);
	}

	quarantine.recordBrokenSend(endpoint, segments, now);
	return getChanges(quarantine.applyCheck(endpoint.id, {isAlive: false, startedAt: undefined}, now));
}

function applyAll(quarantine: SegmentQuarantine, changes: readonly QuarantineChange[], now: number): void {
	for (const change of changes) {
		quarantine.applyPeerChange(change, now);
	}
}

/** Lets two requests with both segments crash four servers at one gateway, of which the other one is told. */
function quarantineBoth(): readonly [SegmentQuarantine, SegmentQuarantine] {
	const [first, second] = [createQuarantine('gateway-1'), createQuarantine('gateway-2')];
	for (let number = 0; number < 60; number += 1) {
		first.recordCompletion(service, [`c${number % 30}`, `request-other-${number}`], 0);
	}

	for (const [index, at] of [1000, 1300, 1600, 1900].entries()) {
		applyAll(second, loseRequest(first, index, [sound, crashing, `request-${index % 2}`], at), at + 20);
	}

	applyAll(second, getChanges(first.handleTimePassed(decidedAt)), decidedAt);
	return [first, second];
}

const soundPrompt = [sound, 'request-sound'];

describe('two segments that occur in the same lost prompts', () => {
	test('are both quarantined, for prompts that contain both', () => {
		for (const quarantine of quarantineBoth()) {
			expect(quarantine.check(service, [sound, crashing, 'request-9'], decidedAt)).toMatchObject({kind: 'quarantined'});
		}
	});

	// Guards against a sound segment that stays quarantined because no request that would clear it is sent.
	test('let one request with one of them through, which clears it at all gateways', () => {
		const [first, second] = quarantineBoth();
		const check = second.check(service, soundPrompt, decidedAt);
		expect(check).toEqual({kind: 'mayTry', segments: [{service, segment: sound}]});
		applyAll(first, getChanges(second.startTrial(check.kind === 'mayTry' ? check.segments : [], decidedAt)), decidedAt + 20);
		applyAll(first, getChanges(second.recordCompletion(service, soundPrompt, decidedAt + 200)), decidedAt + 220);
		for (const quarantine of [first, second]) {
			expect(quarantine.check(service, soundPrompt, decidedAt + 300)).toEqual({kind: 'free'});
			expect(quarantine.check(service, [crashing, 'request-9'], decidedAt + 300)).toMatchObject({kind: 'quarantined', segment: crashing});
		}
	});

	// Guards against several gateways, or requests, that each try a segment which crashes servers.
	test('let no second request through before the first one has an outcome, and say when to come back', () => {
		const [first, second] = quarantineBoth();
		applyAll(first, getChanges(second.startTrial([{service, segment: sound}], decidedAt)), decidedAt + 20);
		for (const quarantine of [first, second]) {
			expect(quarantine.check(service, soundPrompt, decidedAt + 500)).toEqual({kind: 'quarantined', segment: sound, retryAfterMs: 1000});
		}
	});

	// Guards against trials that go on though one has shown which segment crashes servers.
	test('are told apart by a request with one of them that crashes a server too', () => {
		const [first, second] = quarantineBoth();
		second.startTrial([{service, segment: crashing}], decidedAt);
		applyAll(first, loseRequest(second, 5, [crashing, 'request-tried'], decidedAt + 200), decidedAt + 220);
		for (const quarantine of [first, second]) {
			quarantine.handleTimePassed(decidedAt + 1000);
			expect(quarantine.check(service, [crashing, 'request-9'], decidedAt + 60_000)).toMatchObject({kind: 'quarantined', segment: crashing});
		}

		expect(first.check(service, soundPrompt, decidedAt + 1000)).toEqual({kind: 'free'});
	});
});

describe('a response that ends with its connection, while its segment is a suspect', () => {
	const [endpoint] = createFixtureEndpoints(service, 1);

	// Guards against segments that nothing clears at servers whose responses have neither a length nor chunks.
	test.each([
		['clears the segment if its endpoint answers a check', true, 'free'],
		['counts as lost if its endpoint has crashed', false, 'quarantined'],
	])('%s', (_, isAlive, kind) => {
		const [first] = quarantineBoth();
		if (endpoint === undefined) {
			throw new Error('the fixtures have no endpoint');
		}

		expect(first.recordUncertainCompletion(endpoint, soundPrompt, decidedAt)).toEqual([{kind: 'checkEndpoint', endpoint}]);
		first.applyCheck(endpoint.id, {isAlive, startedAt: endpoint.startedAt}, decidedAt + 10);
		expect(first.check(service, soundPrompt, decidedAt + 20)).toMatchObject({kind});
	});

	test('needs no check if none of its segments is one', () => {
		const [first] = quarantineBoth();
		expect(endpoint === undefined ? undefined : first.recordUncertainCompletion(endpoint, ['c1', 'request-sound'], decidedAt)).toEqual([]);
	});
});
