/**
Tests the pacing of what callers send, over real connections.
*/
import {once} from 'node:events';
import http from 'node:http';
import net, {type Socket} from 'node:net';
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

type EchoServer = Readonly<{port: number; inputs: readonly PacedInput[]; bodies: readonly string[]; reads: readonly Uint8Array[]; sockets: readonly Socket[]}>;

/** Starts a server that answers with what it has received, with the given share of a processor. */
async function startEchoServer(processorShare = 1): Promise<EchoServer> {
	const pacer = createInputPacer({processorShare, getUnreadMs: () => 0, getUnacceptedMs: () => 0});
	const inputs: PacedInput[] = [];
	const bodies: string[] = [];
	const reads: Uint8Array[] = [];
	const sockets: Socket[] = [];
	const server = http.createServer((message, response) => {
		void text(message).then(body => {
			bodies.push(body);
			response.end(body);
		}, () => undefined);
	});
	server.on('connection', socket => {
		sockets.push(socket);
		inputs.push(pacer.add(socket));
		socket.on('data', (bytes: Uint8Array) => {
			reads.push(bytes);
		});
	});
	closers.push(() => {
		server.closeAllConnections();
		server.close();
	});
	return {
		port: await listen(server, {host: '127.0.0.1', port: 0}), inputs, bodies, reads, sockets,
	};
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

// Guards against bytes that are lost or change their order while a connection is held.
test('a body in chunks of one byte arrives byte for byte, and so do pipelined requests', async () => {
	const {port} = await startEchoServer();
	const body = Array.from({length: 50_000}, (_, index) => String.fromCodePoint(97 + (index % 26))).join('');
	expect(await exchangeBytes(port, createChunkedRequest(body))).toContain(`\r\n\r\n${body}`);
	const heads = Array.from({length: 3000}, () => 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n').join('');
	const responses = await exchangeBytes(port, `${heads}GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n`);
	expect(responses.split('HTTP/1.1 200').length - 1).toBe(3001);
});

// Guards against bodies that are held twice, as they were read and as they were parsed, until a garbage collection.
test('the memory of a large read is released once it is parsed, and the body arrives whole', async () => {
	const {port, bodies, reads} = await startEchoServer();
	const body = 'abcdefghij'.repeat(100_000);
	await exchangeBytes(port, `POST / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	expect(bodies).toEqual([body]);
	expect(reads.length).toBeGreaterThan(0);
	expect(reads.filter(read => read.length >= 16_384)).toEqual([]);
});

// Guards against chunk extensions without end that take the loop, though few chunks, and hardly a byte of a body, arrive.
test('what a connection brings beyond its allowance is read no faster than the share of the processor allows, whatever it is', async () => {
	const {port, sockets} = await startEchoServer(0.1);
	const socket = net.connect(port, '127.0.0.1');
	closers.push(() => {
		socket.destroy();
	});
	const chunks = `1;${'e'.repeat(15_000)}\r\nx\r\n`.repeat(20);
	const write = (): void => {
		while (socket.writable && socket.write(chunks)) {
			// Until the buffer is full.
		}
	};

	socket.on('error', () => undefined).on('drain', write);
	socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n');
	write();
	await new Promise<void>(resolve => {
		setTimeout(resolve, 2000);
	});
	const readBytes = sockets[0]?.bytesRead ?? 0;
	expect(readBytes).toBeGreaterThan(1_000_000);
	// Two seconds of a tenth of 32 MB a second, and the allowance of 0.5 MB that a connection begins with.
	expect(readBytes).toBeLessThan(8_000_000);
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

// Guards against the end of a connection that overtakes what was read before it and waits.
test('a body in chunks of one byte arrives as a whole if its caller closes the connection right after it', async () => {
	const {port, bodies} = await startEchoServer();
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.end(createChunkedRequest('x'.repeat(60_000)));
	await expect.poll(() => bodies.length, {timeout: 10_000}).toBe(1);
	expect(bodies[0]).toBe('x'.repeat(60_000));
});

// Guards against bytes that are kept for callers who have left.
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
