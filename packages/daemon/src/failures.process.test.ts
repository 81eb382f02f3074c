/**
Tests with processes that are killed, paused or disconnected while requests are in flight. They check outcomes rather
than latencies, so the time limits are generous.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {getAnswerTokens} from '@currantcross/standins/answer-text';
import {startByteRelay, type ByteRelay} from '@currantcross/standins/byte-relay';
import {
	callService, streamChat, type ChatOutcome, type ServiceOutcome,
} from '@currantcross/standins/caller-client';
import {stopProcess} from '@currantcross/standins/child-process';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {
	sendJsonRequest, startDeployment, type Deployment, type ServerProcess,
} from '@currantcross/standins/deployment';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';

const answerTokenCount = 60;
const deadlineMs = 20_000;

/** How long after its deadline a request may end, since the machine may be busy. */
const deadlineToleranceMs = 10_000;

/** Prompt whose prefill takes about two seconds at an engine of the deployment. */
const longPrompt = 'what does the archive say of this? '.repeat(3000);

/** Pause that is longer than the deadline of an action. */
const entryPauseMs = 5500;

/** Maximum time until all entries have read a new host list. */
const hostListDelayMs = 4000;

let deployment: Deployment;
let promptCount = 0;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function getCallerUrl(index: number): string {
	return deployment.getEntries()[index]?.callerUrl ?? '';
}

type PendingChat = Readonly<{prompt: string; outcome: Promise<ChatOutcome>; firstToken: Promise<void>}>;

/** Starts a chat with a unique prompt; `firstToken` resolves when its first token arrives. */
function startChat(entry: number, maximumTokens = answerTokenCount, question = 'who has right of way at the buoy?'): PendingChat {
	promptCount += 1;
	const prompt = `Question ${promptCount}: ${question}`;
	let resolveFirstToken: () => void = () => undefined;
	const firstToken = new Promise<void>(resolve => {
		resolveFirstToken = resolve;
	});
	const outcome = streamChat({
		callerUrl: getCallerUrl(entry),
		key: demoKey,
		route: 'rules-assistant',
		prompt,
		maximumTokens,
		deadlineMs,
		onText() {
			resolveFirstToken();
		},
	});
	return {prompt, outcome, firstToken};
}

/** Checks that a chat ended in time, either with the complete expected answer, or with an error after a prefix of it. */
function checkCompleteOrFailed(prompt: string, outcome: ChatOutcome): void {
	const expectedText = getAnswerTokens(prompt, answerTokenCount).join('');
	expect(outcome.totalMs).toBeLessThan(deadlineMs + deadlineToleranceMs);
	if (outcome.isComplete) {
		expect(outcome.text).toBe(expectedText);
		return;
	}

	expect(expectedText.startsWith(outcome.text)).toBe(true);
	expect(outcome.error).toBeDefined();
}

/** Checks that a chat ended with the complete expected answer and without an error. */
async function checkComplete({prompt, outcome}: PendingChat): Promise<ChatOutcome> {
	const {isComplete: isWhole, text, ...rest} = await outcome;
	expect({isWhole, text, error: rest.error}).toEqual({
		isWhole: true, text: getAnswerTokens(prompt, answerTokenCount).join(''), error: undefined,
	});
	return {isComplete: isWhole, text, ...rest};
}

/** Starts a relay in front of each agent of a model server, and waits until all entries connect through the relays. */
async function startRelays(): Promise<readonly ByteRelay[]> {
	const models = deployment.getServers().filter(server => server.kind === 'model');
	const relays = await Promise.all(models.map(async server => startByteRelay(server.agent.ports.peer ?? 0)));
	const agentUrls = Object.fromEntries(models.map((server, index) => [server.name, `http://127.0.0.1:${relays[index]?.port ?? 0}`]));
	await deployment.publishHosts({agentUrls});
	await wait(hostListDelayMs);
	return relays;
}

/** Makes the relays drop all further bytes on the connections that are open now. */
function stopForwarding(relays: readonly ByteRelay[]): void {
	for (const relay of relays) {
		relay.blackholeConnections();
	}
}

function getTotalConnectionCount(relays: readonly ByteRelay[]): number {
	return relays.reduce((sum, relay) => sum + relay.getConnectionCount(), 0);
}

/** Waits until a model server holds memory for an attempt, and returns that server. */
async function waitForBusyServer(): Promise<ServerProcess> {
	for (let tries = 0; tries < 100; tries += 1) {
		for (const server of deployment.getServers().filter(candidate => candidate.kind === 'model')) {
			// eslint-disable-next-line no-await-in-loop
			const held = await sendJsonRequest<readonly unknown[]>('GET', `${server.serverUrl}/held`);
			if (held.length > 0) {
				return server;
			}
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(20);
	}

	throw new Error('no model server holds memory for an attempt');
}

async function reserve(entry: number, slot: string, key = slot): Promise<ServiceOutcome> {
	return callService({
		callerUrl: getCallerUrl(entry),
		key: demoKey,
		route: 'shop',
		method: 'POST',
		path: '/reservations',
		body: JSON.stringify({slot}),
		idempotencyKey: key,
		deadlineMs: 5000,
	});
}

/** Returns how often the reservation of a slot ran, summed over all business servers. */
async function getRunCount(slot: string): Promise<number> {
	const businessServers = deployment.getServers().filter(server => server.kind === 'business');
	const answers = await Promise.all(businessServers.map(async server => sendJsonRequest<Readonly<Record<string, number>>>('GET', `${server.serverUrl}/runs`)));
	return answers.map(runs => runs[`/reservations ${JSON.stringify({slot})}`] ?? 0).reduce((sum, runs) => sum + runs, 0);
}

/** Waits until no engine holds memory for an attempt; returns the number of attempts that still hold some at the timeout. */
async function waitForFreeMemory(): Promise<number> {
	let heldCount = 0;
	for (let tries = 0; tries < 100; tries += 1) {
		// eslint-disable-next-line no-await-in-loop
		const answers = await Promise.all(deployment.getServers()
			.filter(server => server.kind === 'model')
			.map(async server => sendJsonRequest<readonly unknown[]>('GET', `${server.serverUrl}/held`)));
		heldCount = answers.flat().length;
		if (heldCount === 0) {
			return 0;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(200);
	}

	return heldCount;
}

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres: ['a', 'b', 'c'], modelServersPerDataCentre: 1, businessServersPerDataCentre: 1, timeScale: 1, drainLagMs: 1000,
	});
	const file = path.join(deployment.directory, 'ticket-1.json');
	writeFileSync(file, JSON.stringify(getDemoTicket(1)));
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	const applied = await deployment.runCommand(['ticket', 'apply', file, '--wait', '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
	expect(applied.exitCode).toBe(0);
});

afterAll(async () => {
	await deployment.stop();
});

describe('a prompt', () => {
	test('whose engine ends the stream early is resumed at another server and yields the complete answer', async () => {
		const chat = startChat(0);
		await chat.firstToken;
		const server = await waitForBusyServer();
		await sendJsonRequest('POST', `${server.serverUrl}/control`, {diesAfterTokens: 5});
		const outcome = await checkComplete(chat);
		await sendJsonRequest('POST', `${server.serverUrl}/control`, {diesAfterTokens: 0});
		expect(outcome.tries).toBe(2);
	});

	test('whose agent is killed is resumed at another server', async () => {
		const chat = startChat(0);
		await chat.firstToken;
		const server = await waitForBusyServer();
		await stopProcess(server.agent, 'SIGKILL');
		await checkComplete(chat);
		await deployment.restartAgent(server.name);
		await wait(hostListDelayMs);
		await checkComplete(startChat(0));
	});

	test('whose agent is paused is resumed at another server, and its memory is released when the agent resumes', async () => {
		const chat = startChat(0);
		await chat.firstToken;
		const server = await waitForBusyServer();
		server.agent.process.kill('SIGSTOP');
		await checkComplete(chat);
		server.agent.process.kill('SIGCONT');
		expect(await waitForFreeMemory()).toBe(0);
	});

	test('whose connection drops all data, before or after the first token, is completed over a new connection', async () => {
		const relays = await startRelays();
		const early = startChat(0, answerTokenCount, longPrompt);
		await wait(300);
		stopForwarding(relays);
		const late = startChat(0);
		await late.firstToken;
		stopForwarding(relays);
		const before = getTotalConnectionCount(relays);
		await Promise.all([checkComplete(early), checkComplete(late)]);
		expect(getTotalConnectionCount(relays)).toBeGreaterThan(before);
		await deployment.publishHosts();
		await wait(hostListDelayMs);
		await Promise.all(relays.map(async relay => relay.close()));
	});

	test('is answered completely while the object API is down', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: true});
		await Promise.all([startChat(0), startChat(1), startChat(2)].map(async chat => checkComplete(chat)));
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: false});
	});

	test('whose entry is killed ends as incomplete, and its memory is released', async () => {
		const chat = startChat(1);
		await chat.firstToken;
		const [, entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('the deployment has no such entry');
		}

		await stopProcess(entry.running, 'SIGKILL');
		const outcome = await chat.outcome;
		expect(outcome.isComplete).toBe(false);
		expect(await waitForFreeMemory()).toBe(0);
		await deployment.restartEntry(entry.name);
		await checkComplete(startChat(1));
	});

	test('whose caller disconnects is cancelled at the engine, which releases its memory', async () => {
		const controller = new AbortController();
		const response = await fetch(`${getCallerUrl(0)}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${demoKey}`},
			body: JSON.stringify({
				model: 'rules-assistant', stream: true, max_tokens: 2000, messages: [{role: 'user', content: 'Tell me everything.'}],
			}),
			signal: controller.signal,
		});
		const reader = response.body?.getReader();
		await reader?.read();
		await waitForBusyServer();
		controller.abort();
		expect(await waitForFreeMemory()).toBe(0);
	});
});

describe('an action', () => {
	test('is refused without having run while the object API is down, and runs once when it is sent again afterwards', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: true});
		const refused = await reserve(0, 'outage');
		expect(refused.error).toMatchObject({kind: 'platformUnavailable', ran: 'no'});
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: false});
		const accepted = await reserve(1, 'outage');
		expect(accepted.status).toBe(201);
		expect(await getRunCount('outage')).toBe(1);
	});

	test('runs once if the responses to the writes of its claim are lost', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {lostAnswers: 2});
		const outcome = await reserve(0, 'lost-claim');
		expect(outcome.status).toBe(201);
		expect(await getRunCount('lost-claim')).toBe(1);
	});

	test('whose response from the service is lost runs once, and its outcome stays unknown when it is sent again', async () => {
		const businessServers = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {lostAnswers: 1})));
		const first = await reserve(0, 'lost-answer');
		expect(first.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		const again = await reserve(1, 'lost-answer');
		expect(again.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		expect(await getRunCount('lost-answer')).toBe(1);
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {lostAnswers: 0})));
	});

	test('whose entry is killed after the claim runs exactly once when its caller sends it again to two other entries', async () => {
		const businessServers = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {delayMs: 800})));
		const [entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('the deployment has no such entry');
		}

		const interrupted = reserve(0, 'dead-entry').catch(() => undefined);
		await wait(500);
		await stopProcess(entry.running, 'SIGKILL');
		await interrupted;
		const again = await Promise.all([reserve(1, 'dead-entry'), reserve(2, 'dead-entry')]);
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {delayMs: 0})));
		expect(again.map(outcome => outcome.status)).toEqual([201, 201]);
		expect(await getRunCount('dead-entry')).toBe(1);
		await deployment.restartEntry(entry.name);
	});

	test('whose agent is killed while it runs has an unknown outcome, and does not run again when it is sent again', async () => {
		const businessServers = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {delayMs: 1500})));
		const outcome = reserve(1, 'dead-agent');
		await wait(700);
		await Promise.all(businessServers.map(async server => stopProcess(server.agent, 'SIGKILL')));
		await Promise.all(businessServers.map(async server => deployment.restartAgent(server.name)));
		const first = await outcome;
		expect(first.error?.ran).toBe('unknown');
		await wait(hostListDelayMs);
		await Promise.all(businessServers.map(async server => sendJsonRequest('POST', `${server.serverUrl}/control`, {delayMs: 0})));
		const again = await reserve(2, 'dead-agent');
		expect(again.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		expect(await getRunCount('dead-agent')).toBeLessThanOrEqual(1);
	});

	test('whose entry is paused past the deadline runs at most once, although it is sent to another entry meanwhile', async () => {
		const [entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('the deployment has no such entry');
		}

		const slots = Array.from({length: 12}, (_, index) => `paused-${index}`);
		const first = slots.map(async slot => reserve(0, slot));
		await wait(15);
		entry.running.process.kill('SIGSTOP');
		const second = await Promise.all(slots.map(async slot => reserve(1, slot)));
		await wait(entryPauseMs);
		entry.running.process.kill('SIGCONT');
		await Promise.all(first);
		const runs = await Promise.all(slots.map(async slot => getRunCount(slot)));
		expect(Math.max(...runs)).toBeLessThanOrEqual(1);
		for (const [index, outcome] of second.entries()) {
			expect(runs[index]).toBeGreaterThanOrEqual(outcome.status === 201 ? 1 : 0);
		}
	});
});

describe('a planned stop', () => {
	test('of an entry completes all chats, including one that starts during the drain', async () => {
		const entry = deployment.getEntries()[2];
		if (entry === undefined) {
			throw new Error('the deployment has no such entry');
		}

		const before = [startChat(2), startChat(2), startChat(2)];
		await Promise.all(before.map(async chat => chat.firstToken));
		const exited = stopProcess(entry.running, 'SIGTERM');
		await wait(100);
		const during = startChat(2);
		const ready = await fetch(`${entry.callerUrl}/readyz`);
		expect(ready.status).toBe(503);
		await Promise.all([...before, during].map(async chat => checkComplete(chat)));
		expect(await exited).toBe(0);
		await deployment.restartEntry(entry.name);
	});

	test('of an agent completes its attempts, while new ones go to other servers although the host list still shows it as live', async () => {
		const before = [startChat(0), startChat(0), startChat(0)];
		await Promise.all(before.map(async chat => chat.firstToken));
		const server = await waitForBusyServer();
		const exited = stopProcess(server.agent, 'SIGTERM');
		await wait(50);
		const during = [startChat(0), startChat(1), startChat(2)];
		await Promise.all(before.map(async chat => checkComplete(chat)));
		const outcomes = await Promise.all(during.map(async chat => checkComplete(chat)));
		expect(outcomes.map(outcome => outcome.server)).not.toContain(server.name);
		expect(await exited).toBe(0);
		await checkComplete(startChat(0));
		await deployment.restartAgent(server.name);
	});
});

describe('concurrent prompts', () => {
	test('each end with the complete answer or an error when an agent and a model server are killed', async () => {
		await wait(hostListDelayMs);
		const chats = Array.from({length: 30}, (_, index) => startChat(index % 2));
		await wait(500);
		const server = await waitForBusyServer();
		await stopProcess(server.agent, 'SIGKILL');
		await wait(200);
		const other = await waitForBusyServer();
		await stopProcess(other.server, 'SIGKILL');
		for (const {prompt, outcome} of chats) {
			// eslint-disable-next-line no-await-in-loop
			checkCompleteOrFailed(prompt, await outcome);
		}
	});
});
