/**
Golden files of whole sessions of an agent, and the bounds of what it remembers.
*/
import {describe, expect, test} from 'vitest';
import {createAgent, defaultAgentSettings, type Agent} from './agent.js';
import type {AgentAction, AgentEvent} from './agent-types.js';
import {createFixtureCall, createFixturePrompt} from './fixtures.js';
import {
	formatTranscript, replaySession, type Machine, type RecordedEvent,
} from './replay.js';
import type {Attempt, Work} from './types.js';

type Recorded = RecordedEvent<AgentEvent>;

const incarnation = 'i1';
const permit = {incarnation, stampedAt: 0};

function createFixtureAgent(): Agent {
	return createAgent({...defaultAgentSettings, server: 'm1', incarnation});
}

function getMachine(agent: Agent): Machine<AgentEvent, AgentAction> {
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

function submit(at: number, attempt: Attempt, streamId = `${attempt.attemptId}/1`): Recorded {
	return {at, event: {kind: 'submitArrived', streamId, attempt}};
}

function generate(at: number, attemptId: string, ...tokens: readonly string[]): Recorded {
	return {at, event: {kind: 'tokensGenerated', attemptId, tokens}};
}

function complete(at: number, attemptId: string): Recorded {
	return {at, event: {kind: 'promptCompleted', attemptId, finishReason: 'stop'}};
}

function replay(events: readonly Recorded[], endAt = 2000) {
	const steps = replaySession(getMachine(createFixtureAgent()), events, endAt);
	const actions: readonly AgentAction[] = steps.flatMap(step => step.actions);
	return {actions, transcript: formatTranscript(steps)};
}

function getStarted(actions: readonly AgentAction[]): readonly string[] {
	return actions.flatMap(action => action.kind === 'startWork' ? [action.attempt.attemptId] : []);
}

function getRefusals(actions: readonly AgentAction[]): readonly string[] {
	return actions.flatMap(action => {
		const isRefusal = action.kind === 'sendMessage' && action.message.kind === 'ended' && action.message.result.kind === 'refused';
		return isRefusal && action.message.kind === 'ended' && action.message.result.kind === 'refused' ? [action.message.result.reason] : [];
	});
}

describe('agent session', () => {
	test('a prompt is taken, heard by two streams and answered whole to both', async () => {
		const {transcript} = replay([
			submit(0, createAttempt('r1.1', createFixturePrompt(1000))),
			generate(50, 'r1.1', 'a', 'b'),
			{
				at: 60,
				event: {
					kind: 'resumeArrived', streamId: 'r1.1/2', attemptId: 'r1.1', permit, nextOffset: 1,
				},
			},
			generate(70, 'r1.1', 'c'),
			complete(71, 'r1.1'),
		]);
		await expect(transcript).toMatchFileSnapshot('golden/agent-two-streams.txt');
	});

	test('short prompts pass long ones, and a long one can not take all slots', async () => {
		const {actions, transcript} = replay([
			submit(0, createAttempt('long.1', createFixturePrompt(150_000))),
			submit(1, createAttempt('long.2', createFixturePrompt(120_000))),
			submit(2, createAttempt('long.3', createFixturePrompt(40_000))),
			submit(3, createAttempt('short.1', createFixturePrompt(1000))),
			generate(10, 'short.1', 'a'),
			complete(11, 'short.1'),
			generate(500, 'long.1', 'a'),
		], 600);
		expect(getStarted(actions)).toEqual(['long.1', 'long.3', 'short.1']);
		await expect(transcript).toMatchFileSnapshot('golden/agent-short-passes-long.txt');
	});

	test('a long prompt that has waited long is not passed by smaller ones for ever', () => {
		const {actions} = replay([
			submit(0, createAttempt('first.1', createFixturePrompt(200_000))),
			submit(1, createAttempt('large.1', createFixturePrompt(240_000))),
			submit(15_000, createAttempt('small.1', createFixturePrompt(40_000))),
			submit(15_001, createAttempt('short.1', createFixturePrompt(1000))),
			generate(16_000, 'first.1', 'a'),
			complete(16_001, 'first.1'),
		], 16_002);
		expect(getStarted(actions)).toEqual(['first.1', 'short.1', 'large.1']);
	});

	test('a copy of a refused attempt that comes later is refused too', () => {
		const attempt = createAttempt('r1.1', createFixturePrompt(1000));
		const {actions} = replay([
			{at: 0, event: {kind: 'drainStarted'}},
			submit(1, attempt),
			submit(2, attempt, 'copy'),
		]);
		expect(getRefusals(actions)).toEqual(['draining', 'voided']);
		expect(getStarted(actions)).toEqual([]);
	});

	test('an attempt that was voided is refused as long as its permit could be taken, with bounded memory', () => {
		const agent = createFixtureAgent();
		const voided = createAttempt('r1.1', createFixtureCall('k1'));
		agent.step({
			kind: 'voidArrived', replyId: 'v', attemptId: 'r1.1', permit,
		}, 10);
		expect(agent.getTombstoneCount()).toBe(1);
		const forgottenAt = 10 + defaultAgentSettings.permitLifeMs + 1;
		agent.step({kind: 'timePassed'}, forgottenAt);
		expect(agent.getTombstoneCount()).toBe(0);
		const actions = agent.step({kind: 'submitArrived', streamId: 's', attempt: voided}, forgottenAt);
		expect(getRefusals(actions)).toEqual(['permitExpired']);
	});

	test('an attempt that ended does not run again when its copy comes after it was forgotten', () => {
		const attempt = createAttempt('r1.1', createFixtureCall('k1'));
		const answer = {status: 201, contentType: 'text/plain', body: 'done'};
		const later = defaultAgentSettings.permitLifeMs * 2;
		const {actions} = replay([
			submit(0, attempt),
			{at: 20, event: {kind: 'serviceAnswered', attemptId: 'r1.1', answer}},
			submit(later - 1000, attempt, 'copy 1'),
			submit(later, attempt, 'copy 2'),
		], later + 1);
		expect(getStarted(actions)).toEqual(['r1.1']);
		expect(getRefusals(actions)).toEqual(['permitExpired', 'voided']);
	});

	test('of an attempt that it may have forgotten the agent says that nobody can know', () => {
		const attempt = createAttempt('r1.1', createFixtureCall('k1'));
		const later = defaultAgentSettings.permitLifeMs * 2;
		const {actions} = replay([
			submit(0, attempt),
			{at: 20, event: {kind: 'serviceAnswered', attemptId: 'r1.1', answer: {status: 201, contentType: 'text/plain', body: 'done'}}},
			{
				at: later,
				event: {
					kind: 'resumeArrived', streamId: 'late', attemptId: 'r1.1', permit, nextOffset: 0,
				},
			},
		], later + 1);
		const late = actions.flatMap(action => action.kind === 'sendMessage' && action.streamId === 'late' ? [action.message] : []);
		expect(late).toMatchObject([{kind: 'ended', result: {kind: 'failed', ran: 'unknown'}}]);
	});

	test('memory that the engine holds for nobody is released on the second report that names it', () => {
		const agent = createFixtureAgent();
		const report = {totalMemoryTokens: 1000, prefillTokensPerSecond: 1000, held: [{attemptId: 'lost.1', tokens: 10}]};
		expect(agent.step({kind: 'engineReported', report}, 0)).toEqual([]);
		expect(agent.step({kind: 'engineReported', report}, 500)).toEqual([{kind: 'releaseMemory', attemptId: 'lost.1'}]);
	});

	test('a draining agent finishes what it has and takes nothing new', async () => {
		const {actions, transcript} = replay([
			submit(0, createAttempt('r1.1', createFixturePrompt(1000))),
			{at: 10, event: {kind: 'drainStarted'}},
			submit(20, createAttempt('r2.1', createFixturePrompt(1000))),
			generate(50, 'r1.1', 'a'),
			complete(60, 'r1.1'),
		]);
		expect(getRefusals(actions)).toEqual(['draining']);
		await expect(transcript).toMatchFileSnapshot('golden/agent-draining.txt');
	});

	test('a prompt to which nobody listens any longer is cancelled and its memory released', () => {
		const {actions} = replay([
			submit(0, createAttempt('r1.1', createFixturePrompt(1000))),
			{at: 10, event: {kind: 'streamClosed', streamId: 'r1.1/1'}},
		], 10_000);
		expect(actions).toContainEqual({kind: 'cancelWork', attemptId: 'r1.1'});
		expect(actions).toContainEqual({kind: 'releaseMemory', attemptId: 'r1.1'});
	});
});
