import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import {once} from 'node:events';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {Pool, type Dispatcher} from 'undici';
import {startEndlessServer} from '@currantcross/standins/platform-endless-server-standin';
import type {ConnectionUse} from './connection-uses.js';
import {createEndpointClient, type EndpointClient} from './endpoint-client.js';

type Outcome = Readonly<{kind: 'ended'; text: string}> | Readonly<{kind: 'failed'; wasSent: boolean}>;

/** Interval between the bytes of a slow response. */
const slowByteMs = 20;

/** Limit on the bytes that an endless response may transfer, including the buffers of both sockets. */
const maximumEndlessBytes = 32 * 1024 * 1024;

const closers: Array<() => void> = [];

afterEach(() => {
	vi.restoreAllMocks();
	for (const close of closers.splice(0)) {
		close();
	}
});

async function startEndpoint(answer: (socket: Socket) => void): Promise<string> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`;
}

async function sendRequest(client: EndpointClient, address: string, body = new Uint8Array(0)): Promise<Outcome> {
	return new Promise(resolve => {
		let text = '';
		client.send({
			sendId: 1, address, method: body.length === 0 ? 'GET' : 'POST', target: '/', headers: ['Host', 'a.example'], body,
		}, {
			onHead: () => undefined,
			onBytes(bytes) {
				text += Buffer.from(bytes).toString();
			},
			onEnd() {
				resolve({kind: 'ended', text});
			},
			onFailure(wasSent) {
				resolve({kind: 'failed', wasSent});
			},
		});
	});
}

function createClient(processorShare = 1): EndpointClient {
	const client = createEndpointClient({isCallerResponse: (_status, headers) => headers['request-id'] === 'r-0'}, processorShare);
	closers.push(client.close);
	return client;
}

test('completes an undelimited response when the endpoint closes the connection', async () => {
	const address = await startEndpoint(socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'ended', text: 'whole'});
});

test('fails an undelimited response when the connection is reset', async () => {
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'failed', wasSent: true});
});

// Guards against a part of a response that is passed on as whole, since its reset is read in the same turn as its last bytes.
test.each([
	['undelimited', 'Connection: close\r\n\r\nhal'],
	['with a length', 'Connection: close\r\nContent-Length: 5\r\n\r\nhal'],
	['chunked', 'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n'],
])('fails a response (%s) whose last bytes arrive together with a reset', async (_framing, rest) => {
	const address = await startEndpoint(socket => {
		socket.write(`HTTP/1.1 200 OK\r\n${rest}`, () => {
			socket.resetAndDestroy();
		});
	});
	const client = createClient();
	// Whether the two arrive together varies.
	for (let trial = 0; trial < 20; trial += 1) {
		// eslint-disable-next-line no-await-in-loop
		expect(await sendRequest(client, address)).toEqual({kind: 'failed', wasSent: true});
	}
});

/** Lengths of uploads, the longer one of which the operating system doesn't take at once. */
const uploadLengths = [100_000, 8_000_000];

// Guards against a part of a response that is passed on as whole, since its end is read before the reset that an unread upload causes.
test.each(uploadLengths)('fails an undelimited response that ends while an upload of %d bytes is written, when the connection is reset then', async length => {
	const address = await startEndpoint(socket => {
		socket.pause();
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	expect(await sendRequest(createClient(), address, new Uint8Array(length))).toEqual({kind: 'failed', wasSent: true});
});

test.each(uploadLengths)('completes an undelimited response that ends while an upload of %d bytes is written, when the endpoint reads on', async length => {
	const address = await startEndpoint(socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
		socket.resume();
	});
	expect(await sendRequest(createClient(), address, new Uint8Array(length))).toEqual({kind: 'ended', text: 'whole'});
});

// Guards against a part of a control response that counts as the whole of it, and its endpoint as alive.
test.each([0, 20])('rejects a control request whose undelimited response is reset %d ms after its last bytes', async delayMs => {
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"wai', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, delayMs);
		});
	});
	const probe = {
		method: 'GET', target: '/', headers: [], body: '',
	};
	await expect(createClient().sendControlRequest(address, probe)).rejects.toThrow('reset');
});

test.each(['', 'Connection: close\r\n'])('fails a chunked response when the connection closes before the last chunk (%j)', async header => {
	const address = await startEndpoint(socket => {
		socket.end(`HTTP/1.1 200 OK\r\n${header}Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n`);
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'failed', wasSent: true});
});

test('reports a request as not sent when the connection is refused', async () => {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port ?? 0 : 0;
	server.close();
	await once(server, 'close');
	expect(await sendRequest(createClient(), `127.0.0.1:${port}`)).toEqual({kind: 'failed', wasSent: false});
});

describe('a request that the client library fails to dispatch', () => {
	function createController(): Dispatcher.DispatchController {
		return {
			aborted: false, paused: false, reason: null, rawHeaders: null, rawTrailers: null, abort: vi.fn<() => void>(), pause: vi.fn<() => void>(), resume: vi.fn<() => void>(),
		};
	}

	/** Makes the client library take a request, handle it by `handle`, and throw. Returns the handlers of the requests. */
	function breakDispatch(handle: (handler: Dispatcher.DispatchHandler) => void): readonly Dispatcher.DispatchHandler[] {
		const handlers: Dispatcher.DispatchHandler[] = [];
		vi.spyOn(Pool.prototype, 'dispatch').mockImplementation((_options, handler) => {
			handlers.push(handler);
			handle(handler);
			throw new Error('broken');
		});
		return handlers;
	}

	// Guards against a request that is sent to another endpoint, though the library has begun to write it.
	test('is reported as sent if it has been started', async () => {
		breakDispatch(handler => {
			handler.onRequestStart?.(createController(), {});
		});
		expect(await sendRequest(createClient(), '127.0.0.1:1')).toEqual({kind: 'failed', wasSent: true});
	});

	// Guards against a request that the library still has in its queue after it was sent to another endpoint.
	test('is not written later if it has been reported as not sent', async () => {
		const handlers = breakDispatch(() => undefined);
		expect(await sendRequest(createClient(), '127.0.0.1:1')).toEqual({kind: 'failed', wasSent: false});
		const controller = createController();
		handlers[0]?.onRequestStart?.(controller, {});
		expect(controller.abort).toHaveBeenCalledOnce();
	});

	// Guards against a library that writes a request again after the connection on which it was written has closed.
	test('is not written a second time', async () => {
		const controller = createController();
		breakDispatch(handler => {
			handler.onRequestStart?.(controller, {});
			handler.onRequestStart?.(controller, {});
		});
		expect(await sendRequest(createClient(), '127.0.0.1:1')).toEqual({kind: 'failed', wasSent: true});
		expect(controller.abort).toHaveBeenCalledOnce();
	});
});

// Guards against requests that are written after their callers have left, whose closes came in a long turn after an idle connection was chosen.
test.each([false, true])('a request on an idle connection is written only after the loop has read what arrived in a long turn (cancelled by that: %s)', async isCancelled => {
	const received: string[] = [];
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		socket.on('data', (bytes: Uint8Array) => {
			received.push(Buffer.from(bytes).toString().split('\r\n', 1)[0] ?? '');
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore');
		});
	});
	const client = createClient();
	expect(await sendRequest(client, address)).toEqual({kind: 'ended', text: 'ok'});
	const outcome = new Promise<Outcome>(resolve => {
		setImmediate(() => {
			setImmediate(() => {
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
				if (isCancelled) {
					setImmediate(() => {
						client.cancel(1, 'abort');
					});
				}
			});
			void sendRequest(client, address).then(resolve);
		});
	});
	if (isCancelled) {
		await new Promise(resolve => {
			setTimeout(resolve, 900);
		});
		expect(received).toEqual([]);
	} else {
		expect(await outcome).toEqual({kind: 'ended', text: 'more'});
		expect(received).toEqual(['GET / HTTP/1.1']);
	}
});

// Guards against a faulty endpoint whose endless response fills the memory or keeps the connection.
test.each(['garbage', 'reason', 'header', 'headers', 'informational', 'trailers', 'chunkSize', 'chunkExtension', 'body'] as const)('fails an endless response (%s) and closes the connection', async kind => {
	const endpoint = await startEndlessServer(kind);
	closers.push(endpoint.close);
	expect(await sendRequest(createClient(), endpoint.address)).toEqual({kind: 'failed', wasSent: true});
	await vi.waitFor(() => {
		expect(endpoint.getOpenConnectionCount()).toBe(0);
	});
	expect(endpoint.getSentByteCount()).toBeLessThan(maximumEndlessBytes);
});

// Guards against a response that is waited for until the deadline, since bytes go on to come and bring it no further.
test.each([
	['reason', 'HTTP/1.1 200 ', 'x'],
	['header', 'HTTP/1.1 200 OK\r\nX-Long: ', 'x'],
	['chunk size', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '0'],
	['chunk extension', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', 'x'],
])('fails a response whose %s never ends, though its bytes come slowly', async (_, start, part) => {
	const address = await startEndpoint(socket => {
		socket.write(start);
		const timer = setInterval(() => {
			socket.write(part);
		}, 2);
		socket.once('close', () => {
			clearInterval(timer);
		});
	});
	const startedAt = performance.now();
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'failed', wasSent: true});
	expect(performance.now() - startedAt).toBeLessThan(2500);
});

// Guards against bytes that are no answer in HTTP and that a caller gets as the endpoint's answer.
test.each(['000', '099', '101', '600', '700', '999'])('fails a response, and a control request, whose status is %s, and closes the connection', async status => {
	let openConnections = 0;
	const address = await startEndpoint(socket => {
		openConnections += 1;
		socket.on('close', () => {
			openConnections -= 1;
		});
		socket.write(`HTTP/1.1 ${status} Trouble\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\n{}`);
	});
	const client = createClient();
	expect(await sendRequest(client, address)).toEqual({kind: 'failed', wasSent: true});
	await expect(client.sendControlRequest(address, {
		method: 'POST', target: '/order', headers: [], body: '{}',
	})).rejects.toThrow();
	await expect.poll(() => openConnections).toBe(0);
});

// Guards against a body in a coding that nobody decodes, and whose name isn't passed on, that a caller gets as the endpoint's body.
test.each(['gzip', 'gzip, chunked', 'x-chunked'])('fails a response with the transfer coding %s', async coding => {
	const address = await startEndpoint(socket => {
		socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: ${coding}\r\n\r\n4\r\ncode\r\n0\r\n\r\n`);
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'failed', wasSent: true});
});

// Guards against a slow sound response that is taken for one without progress.
test('completes a response whose chunks and their framing come apart, with pauses', async () => {
	const parts = ['HTTP/1.1 200 OK\r\n', 'Transfer-Encoding: chunked\r\n\r\n', ...Array.from({length: 8}, () => ['3;a=b\r\n', 'abc', '\r\n']).flat(), '0\r\n\r\n'];
	const address = await startEndpoint(socket => {
		for (const [index, part] of parts.entries()) {
			setTimeout(() => {
				socket.write(part);
			}, index * 150);
		}
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'ended', text: 'abc'.repeat(8)});
});

// Guards against a faulty endpoint whose endless response to a probe fills the memory.
test('rejects a control request with an endless response, and closes the connection', async () => {
	const endpoint = await startEndlessServer('body');
	closers.push(endpoint.close);
	const probe = {
		method: 'GET', target: '/', headers: [], body: '',
	};
	await expect(createClient().sendControlRequest(endpoint.address, probe)).rejects.toThrow('exceeds');
	await vi.waitFor(() => {
		expect(endpoint.getOpenConnectionCount()).toBe(0);
	});
});

/** Sends a request whose response is discarded once its head has arrived. */
async function sendAndDiscard(client: EndpointClient, address: string, sendId: number): Promise<void> {
	await new Promise<void>(resolve => {
		client.send({
			sendId, address, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
		}, {
			onHead() {
				client.cancel(sendId, 'discard');
				resolve();
			},
			onBytes: () => undefined,
			onEnd: () => undefined,
			onFailure: () => undefined,
		});
	});
}

// Guards against a refusal whose slow body has no end and keeps the connection for good.
test('closes the connection of a discarded response that does not end', async () => {
	let isClosed = false;
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n');
		const timer = setInterval(() => {
			socket.write('x');
		}, slowByteMs);
		socket.once('close', () => {
			isClosed = true;
			clearInterval(timer);
		});
	});
	await sendAndDiscard(createClient(), address, 1);
	await vi.waitFor(() => {
		expect(isClosed).toBe(true);
	});
});

// Guards against a new connection for each refusal of a busy endpoint.
test('reuses the connection of a discarded response that ends soon', async () => {
	let connections = 0;
	const server = net.createServer(socket => {
		connections += 1;
		socket.on('data', () => {
			socket.write('HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	const client = createClient();
	for (const sendId of [1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop -- the connection is free only after the response has ended
		await sendAndDiscard(client, `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`, sendId);
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, slowByteMs);
		});
	}

	expect(connections).toBe(1);
});

// Guards against memory that counts as reserved, or as refused, because of a response to an earlier request of the connection.
test('rejects a control request whose response belongs to a request of a caller, and closes the connection', async () => {
	let closedCount = 0;
	const address = await startEndpoint(socket => {
		socket.on('close', () => {
			closedCount += 1;
		});
		socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
	});
	const client = createClient();
	await expect(client.sendControlRequest(address, {
		method: 'POST', target: '/order', headers: [], body: '{}',
	})).rejects.toThrow('another request');
	await expect.poll(() => closedCount).toBe(1);
});

type ReceivedBytes = Readonly<{text: string; calls: number; fragmentedCalls: number; failure: string | undefined}>;

/** Sends a request and returns what its listener got. */
async function receiveBytes(address: string): Promise<ReceivedBytes> {
	return new Promise(resolve => {
		let text = '';
		let calls = 0;
		let fragmentedCalls = 0;
		createClient().send({
			sendId: 1, address, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
		}, {
			onHead: () => undefined,
			onBytes(bytes, isFragmented) {
				text += Buffer.from(bytes).toString();
				calls += 1;
				fragmentedCalls += isFragmented ? 1 : 0;
			},
			onEnd() {
				resolve({
					text, calls, fragmentedCalls, failure: undefined,
				});
			},
			onFailure(_wasSent, failure) {
				resolve({
					text, calls, fragmentedCalls, failure,
				});
			},
		});
	});
}

// Guards against a response whose listener is called, and whose bytes are kept, for each piece that its server cuts it into.
test('passes on a response in chunks of one byte by what is read at once, byte for byte', async () => {
	const text = Array.from({length: 30_000}, (_, index) => String.fromCodePoint(97 + (index % 26))).join('');
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
		socket.write(`${text.replaceAll(/./gv, '1\r\n$&\r\n')}0\r\n\r\n`);
	});
	const received = await receiveBytes(address);
	expect(received).toMatchObject({text, failure: undefined});
	expect(received.calls).toBeLessThan(text.length / 100);
	expect(received.fragmentedCalls).toBeGreaterThan(0);
});

// Guards against framing, which no listener gets, that takes the event loop: chunks of one event each with a long extension, without end.
test('reads framing without end no faster than the share of the processor allows', async () => {
	const chunk = Buffer.from(`8;${'e'.repeat(2000)}\r\ndata:x\n\n\r\n`.repeat(32));
	let sentBytes = 0;
	const address = await startEndpoint(socket => {
		const write = (): void => {
			while (socket.writable && socket.write(chunk)) {
				sentBytes += chunk.length;
			}
		};

		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
		socket.on('drain', write);
		write();
	});
	const client = createClient(0.1);
	let receivedCalls = 0;
	client.send({
		sendId: 1, address, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
	}, {
		onHead: () => undefined,
		onBytes() {
			receivedCalls += 1;
		},
		onEnd: () => undefined,
		onFailure: () => undefined,
	});
	await new Promise<void>(resolve => {
		setTimeout(resolve, 2000);
	});
	expect(receivedCalls).toBeGreaterThan(0);
	// A tenth of what a whole processor may read in two seconds, its burst, and the buffers of both sockets.
	expect(sentBytes).toBeLessThan(maximumEndlessBytes / 2);
});

// Guards against sound responses whose bytes count as no progress.
test('a response in large chunks, and a stream of a thousand events a second, do not count as fragmented', async () => {
	const large = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
		socket.write(`${'4000\r\n'}${'x'.repeat(16_384)}\r\n`.repeat(250));
		socket.write('0\r\n\r\n');
	});
	expect(await receiveBytes(large)).toMatchObject({fragmentedCalls: 0, failure: undefined});
	const stream = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
		const startedAt = performance.now();
		let sent = 0;
		const timer = setInterval(() => {
			for (; sent < Math.min(3000, performance.now() - startedAt); sent += 1) {
				socket.write('8\r\ndata:x\n\n\r\n');
			}

			if (sent >= 3000) {
				clearInterval(timer);
				socket.write('0\r\n\r\n');
			}
		}, 1);
	});
	expect(await receiveBytes(stream)).toMatchObject({text: 'data:x\n\n'.repeat(3000), fragmentedCalls: 0, failure: undefined});
});

// Guards against an error of undici, which can't end a response that is paused, that ends the process.
test.each(['Connection: close\r\n\r\n', 'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'])('fails a response that is read slowly when its connection is reset (%j)', async rest => {
	const address = await startEndpoint(socket => {
		socket.write(`HTTP/1.1 200 OK\r\n${rest}`);
		socket.write('1\r\nx\r\n'.repeat(60_000), () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 30);
		});
	});
	expect(await sendRequest(createClient(), address)).toEqual({kind: 'failed', wasSent: true});
});

// Guards against an error of undici that ends the process, when a connection ends while its response is not read.
test('completes a long undelimited response that is read slowly and whose connection ends meanwhile', async () => {
	const length = 8_000_000;
	const address = await startEndpoint(socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n');
		socket.end('x'.repeat(length));
	});
	for (let trial = 0; trial < 5; trial += 1) {
		const {text, failure} = await receiveBytes(address); // eslint-disable-line no-await-in-loop
		expect({length: text.length, failure}).toEqual({length, failure: undefined});
	}
});

// Guards against logs that don't tell a request which follows others on a kept connection from the first one on a new connection.
test('tells on which connection each request was written, after how many others, and how much of it', async () => {
	let answerCount = 0;
	const server = net.createServer(socket => {
		socket.on('error', () => undefined).on('data', () => {
			answerCount += 1;
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', () => {
				if (answerCount === 2) {
					socket.end();
				}
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const bound = server.address();
	const address = `127.0.0.1:${typeof bound === 'object' ? bound?.port ?? 0 : 0}`;
	const client = createEndpointClient({isCallerResponse: () => false});
	closers.push(client.close);
	const uses: Array<ConnectionUse | undefined> = [];
	for (const sendId of [1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop -- each request is written after the one before has ended
		await new Promise<void>(resolve => {
			let getUse: () => ConnectionUse | undefined = () => undefined;
			const recordUse = (): void => {
				uses.push(getUse());
				resolve();
			};

			client.send({
				sendId, address, method: 'POST', target: '/', headers: ['Host', 'a.example', 'Content-Length', '4'], body: Buffer.from('body'),
			}, {
				onStart(startedUse) {
					getUse = startedUse;
				},
				onHead: () => undefined,
				onBytes: () => undefined,
				onEnd: recordUse,
				onFailure: recordUse,
			});
		});
		// eslint-disable-next-line no-await-in-loop -- the connection is kept or closed by then
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
	}

	expect(uses.map(use => [use?.connection, use?.requestNumber])).toEqual([[1, 1], [1, 2], [2, 1]]);
	expect(uses.every(use => (use?.writtenBytes ?? 0) > 30)).toBe(true);
});
