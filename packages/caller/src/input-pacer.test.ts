/**
Tests the pacing of what callers send, over real connections.
*/
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {text} from 'node:stream/consumers';
import {listen} from '@currantcross/core/listen';
import {afterEach, expect, test} from 'vitest';
import {createInputPacer, type PacedInput} from './input-pacer.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

type EchoServer = Readonly<{port: number; inputs: readonly PacedInput[]}>;

/** Starts a server that answers with what it has received. */
async function startEchoServer(): Promise<EchoServer> {
	const pacer = createInputPacer(1);
	const inputs: PacedInput[] = [];
	const server = http.createServer((message, response) => {
		void text(message).then(body => {
			response.end(body);
		}, () => undefined);
	});
	server.on('connection', socket => {
		inputs.push(pacer.add(socket));
	});
	closers.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return {port: await listen(server, {host: '127.0.0.1', port: 0}), inputs};
}

/** Sends bytes on a connection of its own and returns what comes back until it is closed. */
async function exchangeBytes(port: number, bytes: string): Promise<string> {
	const socket = net.connect(port, '127.0.0.1');
	closers.push(() => {
		socket.destroy();
	});
	socket.write(bytes);
	return text(socket);
}

function createChunkedRequest(body: string): string {
	return `POST / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${body.replaceAll(/./gv, '1\r\n$&\r\n')}0\r\n\r\n`;
}

test('a body in chunks of one byte arrives byte for byte, and so do pipelined requests', async () => {
	const {port} = await startEchoServer();
	const body = Array.from({length: 50_000}, (_, index) => String.fromCodePoint(97 + (index % 26))).join('');
	expect(await exchangeBytes(port, createChunkedRequest(body))).toContain(`\r\n\r\n${body}`);
	const heads = Array.from({length: 3000}, () => 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n').join('');
	const responses = await exchangeBytes(port, `${heads}GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n`);
	expect(responses.split('HTTP/1.1 200').length - 1).toBe(3001);
});

// Guards against a body in tiny chunks that keeps the loop from all others until it has ended.
test('an ordinary request is answered while a body in chunks of one byte arrives, of which what waits is counted', async () => {
	const {port, inputs} = await startEchoServer();
	let hasEnded = false;
	const fragmented = exchangeBytes(port, createChunkedRequest('x'.repeat(300_000))).then(answer => {
		hasEnded = true;
		return answer;
	});
	await expect.poll(() => inputs[0]?.getWaitingBytes() ?? 0).toBeGreaterThan(0);
	expect(inputs[0]?.getWaitingBytes()).toBeLessThan(262_144);
	expect(await exchangeBytes(port, createChunkedRequest('ordinary'))).toContain('ordinary');
	expect(hasEnded).toBe(false);
	expect(await fragmented).toContain('x'.repeat(1000));
	expect(inputs[0]?.getWaitingBytes()).toBe(0);
});

test('what waits of a caller that leaves is dropped', async () => {
	const {port, inputs} = await startEchoServer();
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(createChunkedRequest('x'.repeat(300_000)));
	await expect.poll(() => inputs[0]?.getWaitingBytes() ?? 0).toBeGreaterThan(0);
	socket.resetAndDestroy();
	await once(socket, 'close');
	await expect.poll(() => inputs[0]?.getWaitingBytes(), {timeout: 10_000}).toBe(0);
});
