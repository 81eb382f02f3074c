/**
Tests the client for endpoints with responses that it stops reading, over real connections.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createEndpointClient, type EndpointClient} from './endpoint-client.js';

const pauseMs = 1300;
const outcomeTimeoutMs = 20_000;
/** More than the buffers of both sockets hold. */
const longBytes = 8_000_000;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

type PausedSend = Readonly<{
	client: EndpointClient;
	endpointSocket: Socket;
	getText(): string;
	/** Returns whether the response has ended as complete, or failed, once it has. */
	getOutcome(): 'ended' | 'failed' | undefined;
}>;

/** Sends a request to an endpoint that answers with a head and some bytes, after which the response is paused. */
async function startPaused(head: string, firstBytes: string, pausedAt: 'head' | 'bytes' = 'bytes'): Promise<PausedSend> {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createEndpointClient({isCallerResponse: () => true});
	closers.push(client.close, () => {
		server.close();
	});
	let endpointSocket: Socket | undefined;
	server.on('connection', socket => {
		endpointSocket = socket.on('error', () => undefined).resume();
		socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${firstBytes}`);
	});
	let text = '';
	const bound = server.address();
	let outcome: 'ended' | 'failed' | undefined;
	let hasHead = false;
	client.send({
		sendId: 1, address: `127.0.0.1:${typeof bound === 'object' ? bound?.port ?? 0 : 0}`, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
	}, {
		onHead() {
			hasHead = true;
			if (pausedAt === 'head') {
				client.pause(1);
			}
		},
		onBytes(bytes) {
			if (text === '' && pausedAt === 'bytes') {
				client.pause(1);
			}

			text += Buffer.from(bytes).toString();
		},
		onEnd() {
			outcome = 'ended';
		},
		onFailure() {
			outcome = 'failed';
		},
	});
	await expect.poll(() => pausedAt === 'head' ? hasHead : text === 'hal').toBe(true);
	if (endpointSocket === undefined) {
		throw new Error('no connection was opened');
	}

	return {
		client, endpointSocket, getText: () => text, getOutcome: () => outcome,
	};
}

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

const framings = [
	['with a length', `Content-Length: ${longBytes + 3}`, 'hal'],
	['chunked', 'Transfer-Encoding: chunked', '3\r\nhal\r\n'],
	['undelimited', 'Connection: close', 'hal'],
] as const;

test('a paused response slows its endpoint, and is complete byte for byte once it is read on', async () => {
	const {client, endpointSocket, getText, getOutcome} = await startPaused(`Content-Length: ${longBytes + 3}`, 'hal');
	const rest = Array.from({length: longBytes / 8}, (_, index) => String(index).padStart(8, '0')).join('');
	endpointSocket.write(rest);
	await wait(300);
	expect(endpointSocket.writableLength).toBe(longBytes);
	expect(getText()).toBe('hal');
	client.resume(1);
	await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('ended');
	expect(getText() === `hal${rest}`).toBe(true);
});

// Guards against a process that ends: the parser throws where a connection is reset while it is paused, and so does one that resumes in another's turn.
test.each(framings)('a paused response (%s) whose connection is reset fails, also if the connection was to be closed after it', async (_framing, head, bytes) => {
	for (const connection of ['keep-alive', 'close']) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const {client, endpointSocket, getOutcome} = await startPaused(`${head}\r\nConnection: ${connection}`, bytes);
		endpointSocket.resetAndDestroy();
		await wait(50); // eslint-disable-line no-await-in-loop
		client.resume(1);
		await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('failed'); // eslint-disable-line no-await-in-loop
	}
});

test('a response that is paused at its head passes nothing on until it is read on', async () => {
	const {client, endpointSocket, getText, getOutcome} = await startPaused('Connection: close', 'hal', 'head');
	endpointSocket.end('ves');
	await wait(50);
	expect(getText()).toBe('');
	client.resume(1);
	await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('ended');
	expect(getText()).toBe('halves');
});

test('a paused response fails when the client is closed, also if the connection was to be closed after it', async () => {
	const {client, getOutcome} = await startPaused('Connection: close', 'hal');
	client.close();
	await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('failed');
});

test('the connection of a paused response is closed at once when its send is aborted', async () => {
	const {client, endpointSocket} = await startPaused('Transfer-Encoding: chunked', '3\r\nhal\r\n');
	const closed = once(endpointSocket, 'close');
	client.cancel(1, 'abort');
	client.resume(1);
	await closed;
});

test('the rest of a paused response that is discarded is read, so that its connection is used again', async () => {
	const {client, endpointSocket} = await startPaused('Content-Length: 6', 'hal');
	client.cancel(1, 'discard');
	endpointSocket.write('ves');
	await wait(pauseMs / 2);
	expect(endpointSocket.destroyed).toBe(false);
});

// Guards against bytes of a pause that are taken for bytes without progress, since nobody parses them.
test('a response that is read on after a pause is not taken for one without progress', async () => {
	const {client, endpointSocket, getText, getOutcome} = await startPaused('Transfer-Encoding: chunked', '3\r\nhal\r\n');
	for (let part = 0; part < 5; part += 1) {
		endpointSocket.write('400;a=b\r\n');
		await wait(pauseMs / 10); // eslint-disable-line no-await-in-loop
		endpointSocket.write(`${'x'.repeat(1024)}\r\n`);
		await wait(pauseMs / 10); // eslint-disable-line no-await-in-loop
	}

	client.resume(1);
	endpointSocket.write('3;a=b');
	await wait(50);
	endpointSocket.write('\r\nves\r\n0\r\n\r\n');
	await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('ended');
	expect(getText()).toBe(`hal${'x'.repeat(5 * 1024)}ves`);
});

// Guards against an error of undici that ends the process: the end of a connection that is read while its response is paused.
test.each(['f', ''])('an undelimited response whose connection ends while it is paused is complete once it is read on (after %j)', async rest => {
	const {client, endpointSocket, getText, getOutcome} = await startPaused('Connection: close', 'hal');
	endpointSocket.write(rest);
	await wait(100);
	endpointSocket.end();
	await wait(200);
	client.resume(1);
	await expect.poll(getOutcome, {timeout: outcomeTimeoutMs}).toBe('ended');
	expect(getText()).toBe(`hal${rest}`);
});
