/**
End-to-end tests against a deployment of separate processes: the APIs for callers, error responses, and the command line.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {parseTrustedJson} from '@currantcross/core/json';
import type {ApplyTicketResult} from '@currantcross/operator/operator-types';
import {getAnswerTokens} from '@currantcross/standins/answer-text';
import {callService, streamChat} from '@currantcross/standins/caller-client';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {startDeployment, type CommandResult, type Deployment} from '@currantcross/standins/deployment';
import OpenAI, {APIError} from 'openai';
import {request} from 'undici';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';

const prompt = 'May a skipper change the sail after the first heat?';
const messages = [{role: 'user' as const, content: prompt}];
const expectedText = getAnswerTokens(prompt, 12).join('');

let deployment: Deployment;
let callerUrl: string;

function writeDocument(name: string, value: unknown): string {
	const file = path.join(deployment.directory, name);
	writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
	return file;
}

async function runOperatorCommand(...commandArguments: readonly string[]): Promise<CommandResult> {
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	return deployment.runCommand([...commandArguments, '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
}

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres: ['a', 'b'], modelServersPerDataCentre: 1, businessServersPerDataCentre: 1, timeScale: 0.2, drainLagMs: 0,
	});
	callerUrl = deployment.getEntries()[0]?.callerUrl ?? '';
	const applied = await runOperatorCommand('ticket', 'apply', writeDocument('ticket-1.json', getDemoTicket(1)), '--wait', '--json');
	expect(applied.exitCode).toBe(0);
	const {inForce} = parseTrustedJson<Extract<ApplyTicketResult, {kind: 'settled'}>>(applied.stdout);
	expect(inForce.map(({dataCentre}) => dataCentre).toSorted()).toEqual(['a', 'b']);
	expect(inForce.every(({afterMs}) => afterMs !== undefined)).toBe(true);
});

afterAll(async () => {
	await deployment.stop();
});

describe('the OpenAI client', () => {
	function createOpenAiClient(apiKey = demoKey): OpenAI {
		return new OpenAI({baseURL: `${callerUrl}/v1`, apiKey, maxRetries: 0});
	}

	test('receives the complete answer without streaming', async () => {
		const completion = await createOpenAiClient().chat.completions.create({model: 'rules-assistant', messages, max_completion_tokens: 12});
		expect(completion.choices[0]?.message.content).toBe(expectedText);
		expect(completion.usage?.completion_tokens).toBe(12);
	});

	test('receives the complete answer and its usage with streaming', async () => {
		const stream = await createOpenAiClient().chat.completions.create({
			model: 'rules-assistant', messages, max_completion_tokens: 12, stream: true, stream_options: {include_usage: true},
		});
		let text = '';
		let usage: number | undefined;
		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
			usage ??= chunk.usage?.completion_tokens;
		}

		expect(text).toBe(expectedText);
		expect(usage).toBe(12);
	});

	test('lists routes as models', async () => {
		const page = await createOpenAiClient().models.list();
		expect(page.data.map(model => model.id)).toContain('rules-assistant');
	});

	test('throws an APIError with status 401 for an unknown key', async () => {
		const failing = createOpenAiClient('wrong').chat.completions.create({model: 'rules-assistant', messages});
		await expect(failing).rejects.toBeInstanceOf(APIError);
		await expect(failing).rejects.toMatchObject({status: 401});
	});
});

describe('error responses', () => {
	async function sendPost(body: string, headers: Readonly<Record<string, string>> = {}, target = '/v1/chat/completions') {
		const response = await request(`${callerUrl}${target}`, {
			method: 'POST', body, headers: {authorization: `Bearer ${demoKey}`, ...headers},
		});
		return {status: response.statusCode, body: await response.body.json()};
	}

	const chat = {model: 'rules-assistant', messages};

	test.each([
		['malformed JSON', '{', {}, 400, 'malformedRequest'],
		['a body without messages', JSON.stringify({model: 'rules-assistant'}), {}, 400, 'malformedRequest'],
		['an invalid deadline', JSON.stringify(chat), {'x-currantcross-deadline-ms': 'soon'}, 400, 'malformedRequest'],
		['an unknown key', JSON.stringify(chat), {authorization: 'Bearer wrong'}, 401, 'unauthorised'],
		['an unknown route', JSON.stringify({...chat, model: 'nowhere'}), {}, 404, 'routeNotFound'],
		['a body that is too large', 'x'.repeat(8_100_000), {}, 413, 'payloadTooLarge'],
		['a prompt that is too long', JSON.stringify({...chat, messages: [{role: 'user', content: 'x'.repeat(1_600_000)}]}), {}, 413, 'promptTooLarge'],
	] as const)('%s is refused with the matching status and error kind', async (...[, body, headers, status, kind]) => {
		const answer = await sendPost(body, headers);
		expect(answer).toMatchObject({status, body: {error: {kind, ran: 'no'}}});
	});

	test('an action without an idempotency key is refused with idempotencyKeyMissing', async () => {
		const answer = await sendPost('{}', {}, '/v1/services/shop/reservations');
		expect(answer).toMatchObject({status: 400, body: {error: {kind: 'idempotencyKeyMissing', ran: 'no'}}});
	});

	test('an unknown path is refused with routeNotFound', async () => {
		const answer = await sendPost('{}', {}, '/nowhere');
		expect(answer).toMatchObject({status: 404, body: {error: {kind: 'routeNotFound'}}});
	});
});

describe('business calls', () => {
	const call = {key: demoKey, route: 'shop'} as const;

	test('a GET call is answered without an idempotency key', async () => {
		const outcome = await callService({
			...call, callerUrl, method: 'GET', path: '/stock/cup-3?colour=blue',
		});
		expect(JSON.parse(outcome.body)).toEqual({item: 'cup-3', inStock: 7});
	});

	test('an action sent to several entries with one idempotency key runs once, and another body with that key is refused', async () => {
		const urls = deployment.getEntries().map(entry => entry.callerUrl);
		const action = {
			...call, method: 'POST', path: '/reservations', body: '{"slot":1}', idempotencyKey: 'once',
		} as const;
		const outcomes = await Promise.all([...urls, ...urls].map(async url => callService({...action, callerUrl: url})));
		expect(outcomes.map(outcome => outcome.status)).toEqual([201, 201, 201, 201]);
		expect(new Set(outcomes.map(outcome => outcome.body)).size).toBe(1);
		expect(outcomes.filter(outcome => !outcome.isReplay)).toHaveLength(1);
		const other = await callService({...action, callerUrl, body: '{"slot":2}'});
		expect(other).toMatchObject({status: 422, error: {kind: 'idempotencyKeyReused', ran: 'no'}});
	});

	test('a path that starts with two slashes is not sent to another host', async () => {
		const outcome = await callService({
			...call, callerUrl, method: 'GET', path: '//203.0.113.1/stock/x',
		});
		expect(outcome.status).toBe(404);
	});
});

describe('the command line', () => {
	test('the show, list and report commands print tickets, routes, servers and the burn report', async () => {
		await streamChat({
			callerUrl, key: demoKey, route: 'rules-assistant', prompt, maximumTokens: 2,
		});
		const commands = [['ticket', 'show', '1'], ['route', 'list'], ['route', 'show', 'shop'], ['server', 'list'], ['report', 'burn']] as const;
		const results = await Promise.all(commands.map(async command => runOperatorCommand(...command)));
		expect(results.map(result => result.exitCode)).toEqual([0, 0, 0, 0, 0]);
		expect(results[0]?.stdout).toContain('rules-assistant');
		expect(results[1]?.stdout).toContain('30000 ms');
		expect(JSON.parse(results[2]?.stdout ?? '')).toMatchObject({name: 'shop', route: {pool: 'shop'}});
		expect(results[3]?.stdout).toContain('model-a-1');
		expect(results[4]?.stdout).toContain('all entries answered');
	});

	test('applying a ticket older than one on the same object fails and names the newer ticket', async () => {
		const newer = writeDocument('ticket-9.json', {number: 9, objects: [{kind: 'pool', name: 'spare', state: {kind: 'model', engineMemoryTokens: 1}}]});
		const older = writeDocument('ticket-8.json', {number: 8, objects: [{kind: 'pool', name: 'spare', removed: true}]});
		const first = await runOperatorCommand('ticket', 'apply', newer);
		expect(first).toMatchObject({exitCode: 0, stdout: 'ticket 9 is accepted\n'});
		const again = await runOperatorCommand('ticket', 'apply', newer);
		expect(again).toMatchObject({exitCode: 0, stdout: 'ticket 9 was accepted before\n'});
		const late = await runOperatorCommand('ticket', 'apply', older);
		expect(late.exitCode).toBe(1);
		expect(late.stderr).toContain('ticket 9 touched pool/spare');
	});

	test('a command with a wrong operator key fails with exit code 1', async () => {
		const keyFile = writeDocument('wrong-key', 'wrong');
		const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
		const result = await deployment.runCommand(['route', 'list', '--operator', operatorUrl, '--key-file', keyFile]);
		expect(result).toMatchObject({exitCode: 1, stderr: 'currantcross: The key is unknown (unauthorised)\n'});
	});

	const badTicket = {number: 2, objects: [{kind: 'route', name: 'x', state: {kind: 'prompt', pool: 'models'}}]};
	const badSettings = {role: 'entry', name: 'e', unknown: 1};

	test.each([
		['ticket check with a missing file', ['ticket', 'check', 'missing.json'], '', 'missing.json: the file can not be read'],
		['ticket check with invalid JSON', ['ticket', 'check'], '{', 'not JSON'],
		['ticket check with an invalid property', ['ticket', 'check'], badTicket, 'objects.0.state.model: '],
		['ticket apply with an invalid property', ['ticket', 'apply'], badTicket, 'objects.0.state.model: '],
		['settings check with an invalid property', ['settings', 'check'], badSettings, 'dataCentre: '],
		['entry with invalid settings', ['entry', '--settings'], badSettings, 'dataCentre: '],
		['agent with an invalid role', ['agent', '--settings'], {role: 'nobody'}, 'role: '],
	] as const)('%s prints one line to standard error and exits with code 2', async (name, command, document, expected) => {
		const file = document === '' ? [] : [writeDocument(`${name}.json`, document)];
		const operator = command[1] === 'apply' ? ['--operator', 'http://127.0.0.1:1', '--key-file', deployment.operatorKeyFile] : [];
		const result = await deployment.runCommand([...command, ...file, ...operator]);
		expect(result.exitCode).toBe(2);
		expect(result.stderr).toContain(expected);
		expect(result.stderr.trim().split('\n')).toHaveLength(1);
	});

	test.each([
		['an unknown flag', ['entry', '--nonsense']],
		['an unknown command', ['nonsense']],
		['a missing flag', ['route', 'list']],
		['an invalid ticket number', ['ticket', 'show', 'x', '--operator', 'http://127.0.0.1:1', '--key-file', 'missing']],
	] as const)('%s exits with code 2 and prints no stack trace', async (_name, command) => {
		const result = await deployment.runCommand(command);
		expect(result.exitCode).toBe(2);
		expect(result.stderr).not.toContain('    at ');
	});
});

describe('agents', () => {
	test('refuse a request without the shared key with status 401', async () => {
		const agentUrl = deployment.getServers()[0]?.agentUrl ?? '';
		const {connect, constants} = await import('node:http2');
		const session = connect(agentUrl);
		const stream = session.request({
			[constants.HTTP2_HEADER_METHOD]: 'POST',
			[constants.HTTP2_HEADER_PATH]: '/currantcross.v1.AgentService/GetStatus',
			[constants.HTTP2_HEADER_CONTENT_TYPE]: 'application/json',
		});
		stream.end('{}');
		const status = await new Promise(resolve => {
			stream.on('response', headers => {
				resolve(headers[':status']);
			});
		});
		session.destroy();
		expect(status).toBe(401);
	});
});
