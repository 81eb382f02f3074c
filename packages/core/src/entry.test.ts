/**
Replays complete sessions of an entry and compares their transcripts with golden files.
*/
import {describe, expect, test} from 'vitest';
import type {Claim, ClaimRecord} from './claims.js';
import {createEntry, defaultEntrySettings, type Entry} from './entry.js';
import type {EntryAction, EntryEvent} from './entry-types.js';
import {
	createFixtureCall, createFixtureConfiguration, createFixtureListings, createFixturePrompt, createFixtureRequest, createFixtureServer,
	createFixtureStatus,
} from './fixtures.js';
import {createRandom} from './random.js';
import {formatTranscript, replaySession, type RecordedEvent} from './replay.js';
import {defaultRoutingPolicy} from './routing.js';
import type {AttemptMessage, AttemptResult} from './types.js';

type RecordedEntryEvent = RecordedEvent<EntryEvent>;
type EntryRun = Readonly<{actions: readonly EntryAction[]; transcript: string}>;

const servers = [createFixtureServer('m1', 'models'), createFixtureServer('m2', 'models'), createFixtureServer('s1', 'shops')];

const initialEvents: readonly RecordedEntryEvent[] = [
	{at: 0, event: {kind: 'hostListRead', listings: createFixtureListings(servers), entryCount: 1}},
	...servers.map(server => ({at: 0, event: {kind: 'statusReceived', status: createFixtureStatus(server.name)}} as const)),
];

const completed = {kind: 'completed', tokenCount: 3, finishReason: 'stop'} as const;

function createFixtureEntry(): Entry {
	return createEntry({...defaultEntrySettings, entryName: 'e1', dataCentre: 'a'}, {
		configuration: createFixtureConfiguration(),
		random: createRandom(7),
		policy: defaultRoutingPolicy,
		getHash: text => text.length,
	});
}

function createMessage(at: number, streamId: string, message: AttemptMessage): RecordedEntryEvent {
	return {
		at,
		event: {
			kind: 'messageReceived', requestId: 'r1', streamId, message,
		},
	};
}

function createEndMessage(at: number, streamId: string, result: AttemptResult, server = 'm1'): RecordedEntryEvent {
	return createMessage(at, streamId, {kind: 'ended', result, status: createFixtureStatus(server, 'i1', at)});
}

function createTokensMessage(at: number, streamId: string, offset: number, tokens: readonly string[]): RecordedEntryEvent {
	return createMessage(at, streamId, {kind: 'tokens', offset, tokens});
}

function createArrival(at: number, work: Parameters<typeof createFixtureRequest>[1], deadlineMs?: number): RecordedEntryEvent {
	return {at, event: {kind: 'requestArrived', request: createFixtureRequest('r1', work, deadlineMs)}};
}

function createClaimEvent(at: number, claim: Claim): RecordedEntryEvent {
	return {at, event: {kind: 'claimKnown', requestId: 'r1', claim}};
}

function runEntry(events: readonly RecordedEntryEvent[]): EntryRun {
	const steps = replaySession(createFixtureEntry(), [...initialEvents, ...events], 60_000);
	return {actions: steps.flatMap(step => step.actions), transcript: formatTranscript(steps)};
}

function getFinalActions(actions: readonly EntryAction[]): readonly EntryAction[] {
	return actions.filter(action => action.kind === 'completeRequest' || action.kind === 'answerRequest' || action.kind === 'failRequest');
}

function getDeliveredText(actions: readonly EntryAction[]): string {
	return actions.flatMap(action => action.kind === 'deliverTokens' ? action.tokens : []).join('');
}

describe('entry session', () => {
	test('delivers the tokens of an answered prompt in order', async () => {
		const {actions, transcript} = runEntry([
			createArrival(10, createFixturePrompt(1000)),
			createMessage(12, 'r1.1/1', {kind: 'accepted', status: createFixtureStatus('m1', 'i1', 12)}),
			createTokensMessage(100, 'r1.1/1', 0, ['a', 'b']),
			createTokensMessage(150, 'r1.1/1', 2, ['c']),
			createEndMessage(151, 'r1.1/1', completed),
		]);
		expect(getDeliveredText(actions)).toBe('abc');
		await expect(transcript).toMatchFileSnapshot('golden/entry-prompt-answered.txt');
	});

	test('resumes a silent stream over a new connection and drops tokens that were already delivered', async () => {
		const {actions, transcript} = runEntry([
			createArrival(10, createFixturePrompt(1000)),
			createTokensMessage(100, 'r1.1/1', 0, ['a', 'b']),
			createTokensMessage(1700, 'r1.1/2', 0, ['a', 'b', 'c']),
			createTokensMessage(1701, 'r1.1/1', 2, ['x']),
			createEndMessage(1702, 'r1.1/2', completed),
		]);
		expect(getDeliveredText(actions)).toBe('abc');
		await expect(transcript).toMatchFileSnapshot('golden/entry-silent-stream.txt');
	});

	test('resumes a prompt on another server after its engine failed', async () => {
		const {actions, transcript} = runEntry([
			createArrival(10, createFixturePrompt(1000)),
			createTokensMessage(100, 'r1.1/1', 0, ['a', 'b']),
			createEndMessage(200, 'r1.1/1', {kind: 'failed', ran: 'yes', detail: 'the engine broke off'}),
			createTokensMessage(300, 'r1.2/1', 2, ['c']),
			createEndMessage(301, 'r1.2/1', completed, 'm2'),
		]);
		expect(getDeliveredText(actions)).toBe('abc');
		await expect(transcript).toMatchFileSnapshot('golden/entry-engine-failed.txt');
	});

	test('does not complete a prompt whose answer lacks tokens', async () => {
		const {actions, transcript} = runEntry([
			createArrival(10, createFixturePrompt(1000), 3000),
			createTokensMessage(100, 'r1.1/1', 0, ['a', 'b']),
			createEndMessage(150, 'r1.1/1', completed),
		]);
		expect(getFinalActions(actions)).toMatchObject([{kind: 'failRequest'}]);
		await expect(transcript).toMatchFileSnapshot('golden/entry-missing-tokens.txt');
	});

	test('fails a prompt as not run as soon as every server has refused it', async () => {
		const refused = {kind: 'refused', reason: 'overloaded', retryAfterMs: 700} as const;
		const {actions, transcript} = runEntry([
			createArrival(10, createFixturePrompt(1000)),
			createEndMessage(20, 'r1.1/1', refused),
			createEndMessage(30, 'r1.2/1', refused, 'm2'),
		]);
		const failure = {kind: 'overloaded', ran: 'no', retryAfterMs: 700};
		expect(getFinalActions(actions)).toMatchObject([{kind: 'failRequest', failure}]);
		await expect(transcript).toMatchFileSnapshot('golden/entry-all-refuse.txt');
	});

	// Guards against an entry that serves a request beyond its caller's deadline, since the time before it was read isn't counted.
	test('counts the deadline of a request from when it can have arrived', () => {
		const request = {...createFixtureRequest('r1', createFixturePrompt(1000), 2000), ageMs: 500};
		const steps = replaySession(createFixtureEntry(), [...initialEvents, {at: 10, event: {kind: 'requestArrived', request}}], 60_000);
		const failedAt = steps.find(({actions}) => getFinalActions(actions).length > 0)?.at;
		expect(failedAt).toBeLessThanOrEqual(1510);
	});

	test('fails a prompt without an answer at its deadline and reports that it may have run', async () => {
		const {actions, transcript} = runEntry([createArrival(10, createFixturePrompt(1000), 2000)]);
		expect(getFinalActions(actions)).toMatchObject([{kind: 'failRequest', failure: {ran: 'unknown'}}]);
		await expect(transcript).toMatchFileSnapshot('golden/entry-deadline.txt');
	});

	test('claims a non-idempotent call, sends it and records its outcome', async () => {
		const holder = {attemptId: 'r1.1', server: 's1', permit: {incarnation: 'i1', stampedAt: 0}};
		const bodyHash = 'sha256 of slot 1';
		const record: ClaimRecord = {
			kind: 'claimed', key: 'club/shop/k1', bodyHash, holder,
		};
		const {actions, transcript} = runEntry([
			createArrival(10, createFixtureCall('k1')),
			createClaimEvent(20, {bodyHash, holder, outcome: undefined}),
			createEndMessage(40, 'r1.1/1', {kind: 'answered', answer: {status: 201, contentType: 'application/json', body: '{}'}}, 's1'),
		]);
		expect(actions).toContainEqual(expect.objectContaining({kind: 'submitClaim', record}));
		await expect(transcript).toMatchFileSnapshot('golden/entry-claimed-call.txt');
	});

	test('reports an unknown outcome and does not resend a non-idempotent call whose agent restarted', async () => {
		const holder = {attemptId: 'other.1', server: 's1', permit: {incarnation: 'i0', stampedAt: 0}};
		const {actions, transcript} = runEntry([
			createArrival(10, createFixtureCall('k1')),
			createClaimEvent(20, {bodyHash: 'sha256 of slot 1', holder, outcome: undefined}),
			createEndMessage(40, 'other.1/1', {kind: 'failed', ran: 'unknown', detail: 'the agent was restarted'}, 's1'),
		]);
		expect(getFinalActions(actions)).toMatchObject([{kind: 'failRequest', failure: {kind: 'outcomeUnknown', ran: 'unknown'}}]);
		expect(actions.filter(action => action.kind === 'openStream' && action.mode.kind === 'submit')).toEqual([]);
		await expect(transcript).toMatchFileSnapshot('golden/entry-claimed-call-unknown.txt');
	});

	test('refuses a non-idempotent call while the object API is unavailable', async () => {
		const {actions, transcript} = runEntry([
			createArrival(10, createFixtureCall('k1')),
			{at: 4000, event: {kind: 'claimExpired', requestId: 'r1'}},
		]);
		expect(getFinalActions(actions)).toMatchObject([{kind: 'failRequest', failure: {kind: 'platformUnavailable', ran: 'no'}}]);
		await expect(transcript).toMatchFileSnapshot('golden/entry-claimed-call-outage.txt');
	});
});
