/**
Tests of agent sessions, some against golden files, and of how long an agent keeps its records and tombstones.
*/
import {describe, expect, test} from 'vitest';
import {createAgent, defaultAgentSettings, type Agent} from './agent.js';
import type {AgentAction, AgentEvent} from './agent-types.js';
import {createFixtureCall, createFixturePrompt} from './fixtures.js';
import {
	formatTranscript, replaySession, type StateMachine, type RecordedEvent,
} from './replay.js';
import type {Attempt, Work} from './types.js';

type RecordedAgentEvent = RecordedEvent<AgentEvent>;

const incarnation = 'i1';
const permit = {incarnation, stampedAt: 0};

function createFixtureAgent(): Agent {
	return createAgent({...defaultAgentSettings, server: 'm1', incarnation});
}

function createStateMachine(agent: Agent): StateMachine<AgentEvent, AgentAction> {
	return {
		step: agent.step,
		tryGetWakeAt() {
			const wakeAt = agent.getWakeAt();
			return Number.isFinite(wakeAt) ? wakeAt : undefined;
		},
	};
}

function createAttempt(attemptId: string, work: Work, stampedAt = 0): Attempt {
	return {
		attemptId, organisation: 'club', work, permit: {incarnation, stampedAt}, remainingMs: 30_000, deliveredTokens: [],
	};
}

function createSubmitArrived(at: number, attempt: Attempt, streamId = `${attempt.attemptId}/1`): RecordedAgentEvent {
	return {at, event: {kind: 'submitArrived', streamId, attempt}};
}

function createTokensGenerated(at: number, attemptId: string, ...tokens: readonly string[]): RecordedAgentEvent {
	return {at, event: {kind: 'tokensGenerated', attemptId, tokens}};
}

function createPromptCompleted(at: number, attemptId: string): RecordedAgentEvent {
	return {at, event: {kind: 'promptCompleted', attemptId, finishReason: 'stop'}};
}

function replayEvents(events: readonly RecordedAgentEvent[], endAt = 2000) {
	const steps = replaySession(createStateMachine(createFixtureAgent()), events, endAt);
	const actions: readonly AgentAction[] = steps.flatMap(step => step.actions);
	return {actions, transcript: formatTranscript(steps)};
}

function getStartedAttemptIds(actions: readonly AgentAction[]): readonly string[] {
	return actions.flatMap(action => action.kind === 'startWork' ? [action.attempt.attemptId] : []);
}

function getRefusalReasons(actions: readonly AgentAction[]): readonly string[] {
	return actions.flatMap(action => {
		const isRefusal = action.kind === 'sendMessage' && action.message.kind === 'ended' && action.message.result.kind === 'refused';
		return isRefusal && action.message.kind === 'ended' && action.message.result.kind === 'refused' ? [action.message.result.reason] : [];
	});
}

describe('agent session', () => {
	test('sends the complete answer on both streams when a prompt is resumed on a second one', async () => {
		const {transcript} = replayEvents([
			createSubmitArrived(0, createAttempt('r1.1', createFixturePrompt(1000))),
			createTokensGenerated(50, 'r1.1', 'a', 'b'),
			{
				at: 60,
				event: {
					kind: 'resumeArrived', streamId: 'r1.1/2', attemptId: 'r1.1', permit, nextOffset: 1,
				},
			},
			createTokensGenerated(70, 'r1.1', 'c'),
			createPromptCompleted(71, 'r1.1'),
		]);
		await expect(transcript).toMatchFileSnapshot('golden/agent-two-streams.txt');
	});

	test('starts a short prompt at once while a long one waits because of the limits on long prompts', async () => {
		const {actions, transcript} = replayEvents([
			createSubmitArrived(0, createAttempt('long.1', createFixturePrompt(150_000))),
			createSubmitArrived(1, createAttempt('long.2', createFixturePrompt(120_000))),
			createSubmitArrived(2, createAttempt('long.3', createFixturePrompt(40_000))),
			createSubmitArrived(3, createAttempt('short.1', createFixturePrompt(1000))),
			createTokensGenerated(10, 'short.1', 'a'),
			createPromptCompleted(11, 'short.1'),
			createTokensGenerated(500, 'long.1', 'a'),
		], 600);
		expect(getStartedAttemptIds(actions)).toEqual(['long.1', 'long.3', 'short.1']);
		await expect(transcript).toMatchFileSnapshot('golden/agent-short-passes-long.txt');
	});

	test('starts an aged long prompt before a later long prompt that would fit earlier', () => {
		const {actions} = replayEvents([
			createSubmitArrived(0, createAttempt('first.1', createFixturePrompt(200_000))),
			createSubmitArrived(1, createAttempt('large.1', createFixturePrompt(240_000))),
			createSubmitArrived(15_000, createAttempt('small.1', createFixturePrompt(40_000))),
			createSubmitArrived(15_001, createAttempt('short.1', createFixturePrompt(1000))),
			createTokensGenerated(16_000, 'first.1', 'a'),
			createPromptCompleted(16_001, 'first.1'),
		], 16_002);
		expect(getStartedAttemptIds(actions)).toEqual(['first.1', 'short.1', 'large.1']);
	});

	test('refuses a late copy of an attempt that it refused before', () => {
		const attempt = createAttempt('r1.1', createFixturePrompt(1000));
		const {actions} = replayEvents([
			{at: 0, event: {kind: 'drainStarted'}},
			createSubmitArrived(1, attempt),
			createSubmitArrived(2, attempt, 'copy'),
		]);
		expect(getRefusalReasons(actions)).toEqual(['draining', 'voided']);
		expect(getStartedAttemptIds(actions)).toEqual([]);
	});

	test('removes the tombstone of a voided attempt once its permit has expired, and still refuses a copy', () => {
		const agent = createFixtureAgent();
		const voided = createAttempt('r1.1', createFixtureCall('k1'));
		agent.step({
			kind: 'voidArrived', replyId: 'v', attemptId: 'r1.1', permit,
		}, 10);
		expect(agent.getTombstoneCount()).toBe(1);
		const expiredAt = 10 + defaultAgentSettings.permitLifetimeMs + 1;
		agent.step({kind: 'timePassed'}, expiredAt);
		expect(agent.getTombstoneCount()).toBe(0);
		const actions = agent.step({kind: 'submitArrived', streamId: 's', attempt: voided}, expiredAt);
		expect(getRefusalReasons(actions)).toEqual(['permitExpired']);
	});

	test('does not run an ended attempt again when a copy arrives after its record was removed', () => {
		const attempt = createAttempt('r1.1', createFixtureCall('k1'));
		const answer = {status: 201, contentType: 'text/plain', body: 'done'};
		const expiredAt = defaultAgentSettings.permitLifetimeMs * 2;
		const {actions} = replayEvents([
			createSubmitArrived(0, attempt),
			{at: 20, event: {kind: 'serviceAnswered', attemptId: 'r1.1', answer}},
			createSubmitArrived(expiredAt - 1000, attempt, 'copy 1'),
			createSubmitArrived(expiredAt, attempt, 'copy 2'),
		], expiredAt + 1);
		expect(getStartedAttemptIds(actions)).toEqual(['r1.1']);
		expect(getRefusalReasons(actions)).toEqual(['permitExpired', 'voided']);
	});

	test('reports that it is unknown whether an attempt ran when it is resumed after its record was removed', () => {
		const attempt = createAttempt('r1.1', createFixtureCall('k1'));
		const expiredAt = defaultAgentSettings.permitLifetimeMs * 2;
		const {actions} = replayEvents([
			createSubmitArrived(0, attempt),
			{at: 20, event: {kind: 'serviceAnswered', attemptId: 'r1.1', answer: {status: 201, contentType: 'text/plain', body: 'done'}}},
			{
				at: expiredAt,
				event: {
					kind: 'resumeArrived', streamId: 'late', attemptId: 'r1.1', permit, nextOffset: 0,
				},
			},
		], expiredAt + 1);
		const lateStreamMessages = actions.flatMap(action => action.kind === 'sendMessage' && action.streamId === 'late' ? [action.message] : []);
		expect(lateStreamMessages).toMatchObject([{kind: 'ended', result: {kind: 'failed', ran: 'unknown'}}]);
	});

	test('releases memory that no attempt owns when two engine reports in a row list it', () => {
		const agent = createFixtureAgent();
		const report = {totalMemoryTokens: 1000, prefillTokensPerSecond: 1000, held: [{attemptId: 'lost.1', tokens: 10}]};
		expect(agent.step({kind: 'engineReported', report}, 0)).toEqual([]);
		expect(agent.step({kind: 'engineReported', report}, 500)).toEqual([{kind: 'releaseMemory', attemptId: 'lost.1'}]);
	});

	test('completes running attempts and refuses new ones while draining', async () => {
		const {actions, transcript} = replayEvents([
			createSubmitArrived(0, createAttempt('r1.1', createFixturePrompt(1000))),
			{at: 10, event: {kind: 'drainStarted'}},
			createSubmitArrived(20, createAttempt('r2.1', createFixturePrompt(1000))),
			createTokensGenerated(50, 'r1.1', 'a'),
			createPromptCompleted(60, 'r1.1'),
		]);
		expect(getRefusalReasons(actions)).toEqual(['draining']);
		await expect(transcript).toMatchFileSnapshot('golden/agent-draining.txt');
	});

	test('cancels a prompt and releases its memory when its last stream has been closed for the orphan timeout', () => {
		const {actions} = replayEvents([
			createSubmitArrived(0, createAttempt('r1.1', createFixturePrompt(1000))),
			{at: 10, event: {kind: 'streamClosed', streamId: 'r1.1/1'}},
		], 10_000);
		expect(actions).toContainEqual({kind: 'cancelWork', attemptId: 'r1.1'});
		expect(actions).toContainEqual({kind: 'releaseMemory', attemptId: 'r1.1'});
	});
});

// Guards against work whose deadline has passed: an agent that stood still learns of free capacity before it expires its queue.
test.each([
	['another one ends', createPromptCompleted(31_000, 'long.1')],
	['it expires its attempts', {at: 31_000, event: {kind: 'timePassed'}}],
] as const)('an agent starts no queued attempt after its deadline when %s', (_, {event}) => {
	const agent = createFixtureAgent();
	const attempts = ['long.1', 'long.2', 'long.3'].map(id => createAttempt(id, createFixturePrompt(150_000)));
	const actions = [
		...attempts.flatMap(attempt => agent.step({kind: 'submitArrived', streamId: `${attempt.attemptId}/1`, attempt}, 0)),
		...agent.step(event, 31_000),
		...agent.step({kind: 'timePassed'}, 31_001),
	];
	expect(getStartedAttemptIds(actions)).toEqual(['long.1']);
	expect(agent.getLiveCount()).toBe(0);
});
