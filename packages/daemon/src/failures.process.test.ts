/**
Processes that are killed, paused or cut off while requests are on their way. Outcomes are judged, not speeds: the
limits are wide.
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

const answerLength = 60;
const deadlineMs = 20_000;

/** How far past its deadline an answer may come on a busy machine. */
const graceMs = 10_000;

/** Takes an engine of the tests about two seconds to read. */
const longQuestion = 'what does the archive say of this? '.repeat(3000);

/** Longer than the deadline of an action. */
const pauseMs = 5500;

/** How long entries take to hear of a new host list, at the most. */
const hostListMs = 4000;

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

type Asked = Readonly<{prompt: string; outcome: Promise<ChatOutcome>; begun: Promise<void>}>;

/** Asks a new question; `begun` resolves with its first token. */
function ask(entry: number, maximumTokens = answerLength, question = 'who has right of way at the buoy?'): Asked {
	promptCount += 1;
	const prompt = `Question ${promptCount}: ${question}`;
	let resolveBegun: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		resolveBegun = resolve;
	});
	const outcome = streamChat({
		callerUrl: getCallerUrl(entry),
		key: demoKey,
		route: 'rules-assistant',
		prompt,
		maximumTokens,
		deadlineMs,
		onText() {
			resolveBegun();
		},
	});
	return {prompt, outcome, begun};
}

/** Either the whole right answer, or a clear failure in time that leaves the part that came a part. */
function expectWholeOrFailed(prompt: string, outcome: ChatOutcome): void {
	const whole = getAnswerTokens(prompt, answerLength).join('');
	expect(outcome.totalMs).toBeLessThan(deadlineMs + graceMs);
	if (outcome.isComplete) {
		expect(outcome.text).toBe(whole);
		return;
	}

	expect(whole.startsWith(outcome.text)).toBe(true);
	expect(outcome.error).toBeDefined();
}

async function expectWhole({prompt, outcome}: Asked): Promise<ChatOutcome> {
	const {isComplete: isWhole, text, ...rest} = await outcome;
	expect({isWhole, text, error: rest.error}).toEqual({
		isWhole: true, text: getAnswerTokens(prompt, answerLength).join(''), error: undefined,
	});
	return {isComplete: isWhole, text, ...rest};
}

/** Starts a relay before each agent of a model server, and waits until entries use them. */
async function startRelays(): Promise<readonly ByteRelay[]> {
	const models = deployment.getServers().filter(server => server.kind === 'model');
	const relays = await Promise.all(models.map(async server => startByteRelay(server.agent.ports.peer ?? 0)));
	const agentUrls = Object.fromEntries(models.map((server, index) => [server.name, `http://127.0.0.1:${relays[index]?.port ?? 0}`]));
	await deployment.publishHosts({agentUrls});
	await wait(hostListMs);
	return relays;
}

function silence(relays: readonly ByteRelay[]): void {
	for (const relay of relays) {
		relay.blackholeConnections();
	}
}

function countConnections(relays: readonly ByteRelay[]): number {
	return relays.reduce((sum, relay) => sum + relay.getConnectionCount(), 0);
}

async function findBusyServer(): Promise<ServerProcess> {
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

	throw new Error('no model server is busy');
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

/** Returns how often the reservation of a slot ran, at all servers together. */
async function countRuns(slot: string): Promise<number> {
	const shops = deployment.getServers().filter(server => server.kind === 'business');
	const answers = await Promise.all(shops.map(async shop => sendJsonRequest<Readonly<Record<string, number>>>('GET', `${shop.serverUrl}/runs`)));
	return answers.map(runs => runs[`/reservations ${JSON.stringify({slot})}`] ?? 0).reduce((sum, runs) => sum + runs, 0);
}

/** Returns the memory that all engines hold, once it is zero or the time is over. */
async function waitForFreeMemory(): Promise<number> {
	let held = 0;
	for (let tries = 0; tries < 100; tries += 1) {
		// eslint-disable-next-line no-await-in-loop
		const answers = await Promise.all(deployment.getServers()
			.filter(server => server.kind === 'model')
			.map(async server => sendJsonRequest<readonly unknown[]>('GET', `${server.serverUrl}/held`)));
		held = answers.flat().length;
		if (held === 0) {
			return 0;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(200);
	}

	return held;
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
	test('whose engine breaks off is resumed elsewhere, without a seam', async () => {
		const asked = ask(0);
		await asked.begun;
		const server = await findBusyServer();
		await sendJsonRequest('POST', `${server.serverUrl}/control`, {diesAfterTokens: 5});
		const outcome = await expectWhole(asked);
		await sendJsonRequest('POST', `${server.serverUrl}/control`, {diesAfterTokens: 0});
		expect(outcome.tries).toBe(2);
	});

	test('whose agent is killed is resumed elsewhere', async () => {
		const asked = ask(0);
		await asked.begun;
		const server = await findBusyServer();
		await stopProcess(server.agent, 'SIGKILL');
		await expectWhole(asked);
		await deployment.restartAgent(server.name);
		await wait(hostListMs);
		await expectWhole(ask(0));
	});

	test('whose agent is paused is resumed elsewhere, and the memory comes free', async () => {
		const asked = ask(0);
		await asked.begun;
		const server = await findBusyServer();
		server.agent.process.kill('SIGSTOP');
		await expectWhole(asked);
		server.agent.process.kill('SIGCONT');
		expect(await waitForFreeMemory()).toBe(0);
	});

	test('whose connections go silent, before the first token or mid-stream, is found again over a new one', async () => {
		const relays = await startRelays();
		const early = ask(0, answerLength, longQuestion);
		await wait(300);
		silence(relays);
		const late = ask(0);
		await late.begun;
		silence(relays);
		const before = countConnections(relays);
		await Promise.all([expectWhole(early), expectWhole(late)]);
		expect(countConnections(relays)).toBeGreaterThan(before);
		await deployment.publishHosts();
		await wait(hostListMs);
		await Promise.all(relays.map(async relay => relay.close()));
	});

	test('is answered while the object API is down', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: true});
		await Promise.all([ask(0), ask(1), ask(2)].map(async asked => expectWhole(asked)));
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: false});
	});

	test('whose entry is killed is cut off, does not look whole, and leaves no memory held', async () => {
		const asked = ask(1);
		await asked.begun;
		const [, entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('no entry');
		}

		await stopProcess(entry.running, 'SIGKILL');
		const outcome = await asked.outcome;
		expect(outcome.isComplete).toBe(false);
		expect(await waitForFreeMemory()).toBe(0);
		await deployment.restartEntry(entry.name);
		await expectWhole(ask(1));
	});

	test('that its caller gives up is cancelled down to the engine', async () => {
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
		await findBusyServer();
		controller.abort();
		expect(await waitForFreeMemory()).toBe(0);
	});
});

describe('an action', () => {
	test('is refused while the object API is down, and runs once afterwards', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: true});
		const refused = await reserve(0, 'outage');
		expect(refused.error).toMatchObject({kind: 'platformUnavailable', ran: 'no'});
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {isDown: false});
		const accepted = await reserve(1, 'outage');
		expect(accepted.status).toBe(201);
		expect(await countRuns('outage')).toBe(1);
	});

	test('runs once when the answers to its claim are lost after the write', async () => {
		await sendJsonRequest('POST', `${deployment.platformUrl}/control`, {lostAnswers: 2});
		const outcome = await reserve(0, 'lost-claim');
		expect(outcome.status).toBe(201);
		expect(await countRuns('lost-claim')).toBe(1);
	});

	test('whose answer the service lost is unknown for ever, and runs once', async () => {
		const shops = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {lostAnswers: 1})));
		const first = await reserve(0, 'lost-answer');
		expect(first.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		const again = await reserve(1, 'lost-answer');
		expect(again.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		expect(await countRuns('lost-answer')).toBe(1);
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {lostAnswers: 0})));
	});

	test('whose entry is killed after the claim runs at most once, however often its caller asks again', async () => {
		const shops = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {delayMs: 800})));
		const [entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('no entry');
		}

		const cut = reserve(0, 'dead-entry').catch(() => undefined);
		await wait(500);
		await stopProcess(entry.running, 'SIGKILL');
		await cut;
		const again = await Promise.all([reserve(1, 'dead-entry'), reserve(2, 'dead-entry')]);
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {delayMs: 0})));
		expect(again.map(outcome => outcome.status)).toEqual([201, 201]);
		expect(await countRuns('dead-entry')).toBe(1);
		await deployment.restartEntry(entry.name);
	});

	test('whose agent is killed while it runs is unknown, and never runs again', async () => {
		const shops = deployment.getServers().filter(server => server.kind === 'business');
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {delayMs: 1500})));
		const outcome = reserve(1, 'dead-agent');
		await wait(700);
		await Promise.all(shops.map(async shop => stopProcess(shop.agent, 'SIGKILL')));
		await Promise.all(shops.map(async shop => deployment.restartAgent(shop.name)));
		const first = await outcome;
		expect(first.error?.ran).toBe('unknown');
		await wait(hostListMs);
		await Promise.all(shops.map(async shop => sendJsonRequest('POST', `${shop.serverUrl}/control`, {delayMs: 0})));
		const again = await reserve(2, 'dead-agent');
		expect(again.error).toMatchObject({kind: 'outcomeUnknown', ran: 'unknown'});
		expect(await countRuns('dead-agent')).toBeLessThanOrEqual(1);
	});

	test('whose entry is paused past its time runs at most once, though another entry is asked meanwhile', async () => {
		const [entry] = deployment.getEntries();
		if (entry === undefined) {
			throw new Error('no entry');
		}

		const slots = Array.from({length: 12}, (_, index) => `paused-${index}`);
		const first = slots.map(async slot => reserve(0, slot));
		await wait(15);
		entry.running.process.kill('SIGSTOP');
		const second = await Promise.all(slots.map(async slot => reserve(1, slot)));
		await wait(pauseMs);
		entry.running.process.kill('SIGCONT');
		await Promise.all(first);
		const runs = await Promise.all(slots.map(async slot => countRuns(slot)));
		expect(Math.max(...runs)).toBeLessThanOrEqual(1);
		for (const [index, outcome] of second.entries()) {
			expect(runs[index]).toBeGreaterThanOrEqual(outcome.status === 201 ? 1 : 0);
		}
	});
});

describe('a planned stop', () => {
	test('of an entry cuts off nothing, also while callers still send', async () => {
		const entry = deployment.getEntries()[2];
		if (entry === undefined) {
			throw new Error('no entry');
		}

		const before = [ask(2), ask(2), ask(2)];
		await Promise.all(before.map(async asked => asked.begun));
		const exited = stopProcess(entry.running, 'SIGTERM');
		await wait(100);
		const during = ask(2);
		const ready = await fetch(`${entry.callerUrl}/readyz`);
		expect(ready.status).toBe(503);
		await Promise.all([...before, during].map(async asked => expectWhole(asked)));
		expect(await exited).toBe(0);
		await deployment.restartEntry(entry.name);
	});

	test('of an agent finishes what it has; new work goes elsewhere, though the host list says live', async () => {
		const before = [ask(0), ask(0), ask(0)];
		await Promise.all(before.map(async asked => asked.begun));
		const server = await findBusyServer();
		const exited = stopProcess(server.agent, 'SIGTERM');
		await wait(50);
		const during = [ask(0), ask(1), ask(2)];
		await Promise.all(before.map(async asked => expectWhole(asked)));
		const outcomes = await Promise.all(during.map(async asked => expectWhole(asked)));
		expect(outcomes.map(outcome => outcome.server)).not.toContain(server.name);
		expect(await exited).toBe(0);
		await expectWhole(ask(0));
		await deployment.restartAgent(server.name);
	});
});

describe('many prompts at once', () => {
	test('each end whole or with a clear failure when a process of each kind is killed', async () => {
		await wait(hostListMs);
		const asked = Array.from({length: 30}, (_, index) => ask(index % 2));
		await wait(500);
		const server = await findBusyServer();
		await stopProcess(server.agent, 'SIGKILL');
		await wait(200);
		const other = await findBusyServer();
		await stopProcess(other.server, 'SIGKILL');
		for (const {prompt, outcome} of asked) {
			// eslint-disable-next-line no-await-in-loop
			expectWholeOrFailed(prompt, await outcome);
		}
	});
});
