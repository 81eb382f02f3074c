/**
Tests the clients of engines and services with responses that never end.
*/
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {listen} from '@currantcross/core/listen';
import type {Attempt, PromptWork} from '@currantcross/core/types';
import {afterEach, expect, test} from 'vitest';
import {createBusinessServiceClient} from './business-service.js';
import {createModelServerClient} from './model-server.js';

/** Time after which a client that doesn't notice gives up. */
const timeoutMs = 2000;
/** What the longest answer may have, and as much again in the buffers of the operating system. */
const maximumSentBytes = 2 * 8_388_608;
const blockBytes = 65_536;
const blockIntervalMs = 1;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

type EndlessServer = Readonly<{url: string; getSentBytes(): number}>;

/** Starts a server that answers each request with a head and then a block of bytes each millisecond until the client closes the connection. */
async function startEndlessServer(status: string, contentType: string, text: string): Promise<EndlessServer> {
	const block = Buffer.from(text.repeat(blockBytes / text.length));
	let sentBytes = 0;
	const server = net.createServer(socket => {
		let timer: NodeJS.Timeout | undefined;
		socket.on('error', () => undefined);
		socket.once('close', () => {
			clearInterval(timer);
		});
		socket.once('data', () => {
			socket.write(`HTTP/1.1 ${status}\r\nContent-Type: ${contentType}\r\nConnection: close\r\n\r\n`);
			timer = setInterval(() => {
				if (!socket.writableNeedDrain) {
					socket.write(block);
					sentBytes += block.length;
				}
			}, blockIntervalMs);
		});
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	closers.push(() => {
		server.close();
	});
	return {url: `http://127.0.0.1:${port}`, getSentBytes: () => sentBytes};
}

const prompt = {
	attempt: {attemptId: 'a-1', deliveredTokens: 0} as unknown as Attempt, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- what the client sends
	work: {model: 'm', body: '{}', maximumTokens: 1} as unknown as PromptWork, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	priority: 1,
};

async function runPrompt(url: string): Promise<void> {
	const outputs = createModelServerClient(url, timeoutMs).runPrompt({...prompt, signal: AbortSignal.timeout(timeoutMs)});
	for await (const output of outputs) {
		expect(output).toBeUndefined();
	}
}

// Guards against an engine that fills its agent's memory with one event that never ends.
test.each(['x', 'data: x\n'])('fails a prompt whose engine sends one event without end, of %j', async text => {
	const server = await startEndlessServer('200 OK', 'text/event-stream', text);
	await expect(runPrompt(server.url)).rejects.toThrow('the engine sent an event of more than 262144 characters');
	expect(server.getSentBytes()).toBeLessThan(maximumSentBytes);
});

// Guards against an engine that fills its agent's memory with the body of an error.
test('fails a prompt whose engine answers with an error without end, and says how it begins', async () => {
	const server = await startEndlessServer('500 Internal Server Error', 'text/plain', 'broken..');
	await expect(runPrompt(server.url)).rejects.toThrow(`the engine answered 500: ${'broken..'.repeat(25)}`);
	expect(server.getSentBytes()).toBeLessThan(maximumSentBytes);
});

// Guards against an engine that fills its agent's memory with a report.
test('fails a report without end before its time limit', async () => {
	const server = await startEndlessServer('200 OK', 'application/json', '[0],');
	await expect(createModelServerClient(server.url, timeoutMs).getReport()).rejects.toMatchObject({name: 'ResponseExceededMaxSizeError'});
	expect(server.getSentBytes()).toBeLessThan(maximumSentBytes);
});

// Guards against a service that fills its agent's memory with one answer, until the call's time limit.
test('fails a call whose service answers without end', async () => {
	const server = await startEndlessServer('200 OK', 'text/plain', 'x');
	const outcome = await createBusinessServiceClient(server.url).call({
		kind: 'service', service: 'shop', method: 'POST', path: '/', body: '', contentType: undefined, bodySha256: '', idempotencyKey: undefined, isIdempotent: false,
	}, timeoutMs);
	expect(outcome).toMatchObject({kind: 'failed', ran: 'unknown'});
	expect(server.getSentBytes()).toBeLessThan(maximumSentBytes);
});
