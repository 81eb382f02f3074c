import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import {text} from 'node:stream/consumers';
import type {CallerBound} from '@currantcross/caller/caller-connections';
import {afterEach, expect, test} from 'vitest';
import {startCallerServer, type CallerServer} from './caller-server.js';
import type {WireFormat} from './gateway-hosts.js';

const idleTimeoutMs = 200;
const maximumBodyBytes = 1000;
/** More than the buffers of both sockets hold. */
const responseBytes = 32 * 1024 * 1024;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Returns a monitor of a loop that reads with this delay and accepts without. */
function createLoopFixture(unreadMs: number): Parameters<typeof startCallerServer>[2]['loopMonitor'] {
	return {
		getUnreadMs: () => unreadMs, getUnacceptedMs: () => 0, recordAccept: () => undefined, recordAcceptedUntil: () => undefined,
	};
}

type RequestHandler = Parameters<typeof startCallerServer>[2]['handleRequest'];

/** Answers a request at once with `responseBytes` bytes. */
const answerAtOnce: RequestHandler = exchange => {
	exchange.startResponse({status: 200, headers: ['Content-Length', String(responseBytes)]});
	exchange.write(Buffer.alloc(responseBytes));
	exchange.end();
	return () => undefined;
};

/** Answers a request at once with as many bytes without a length. */
const answerWithoutLength: RequestHandler = exchange => {
	exchange.startResponse({status: 200, headers: []});
	exchange.write(Buffer.alloc(responseBytes));
	exchange.end();
	return () => undefined;
};

async function startServer(handleRequest: RequestHandler = answerAtOnce, host: Partial<Parameters<typeof startCallerServer>[2]> = {}): Promise<CallerServer & Readonly<{bounds: readonly CallerBound[]}>> {
	const bounds: CallerBound[] = [];
	const wireFormat: Pick<WireFormat, 'parseCallerHead' | 'formatFailureHead'> = {
		parseCallerHead: () => ({
			requestId: 'r-1', credential: undefined, remainingMs: undefined, lastEventId: undefined, prompt: undefined, sharedSegments: [],
		}),
		formatFailureHead: () => [],
	};
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, {memoryMb: undefined, maximumConnections: Number.POSITIVE_INFINITY, processorShare: 1}, {
		wireFormat: wireFormat as WireFormat, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the other members are not used
		isDraining: () => false,
		isHolding: () => false,
		recordEarly: () => undefined,
		checkHead: () => undefined,
		handleRequest,
		waitForNews: async () => undefined,
		loopMonitor: createLoopFixture(0),
		recordRefusal: () => undefined,
		recordProbeFailure: () => undefined,
		recordDeparture: () => undefined,
		recordBound(bound) {
			bounds.push(bound);
		},
		...host,
	});
	server.setLimits({maximumBodyBytes, headerTimeoutMs: 1000, idleTimeoutMs});
	closers.push(server.close);
	return {...server, bounds};
}

/** Sends a request, reads nothing of the response for `pauseMs`, and returns the number of bytes that are received after that. */
async function readAfter(port: number, pauseMs: number): Promise<number> {
	const socket = net.connect(port, '127.0.0.1');
	closers.push(() => {
		socket.destroy();
	});
	socket.write('GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n');
	await new Promise(resolve => {
		setTimeout(resolve, pauseMs);
	});
	let receivedBytes = 0;
	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		receivedBytes += bytes.length;
	});
	await once(socket, 'close');
	return receivedBytes;
}

/** Sends a text and returns what is received until the connection is closed. */
async function exchangeText(port: number, text: string): Promise<string> {
	const socket = net.connect(port, '127.0.0.1');
	let received = '';
	socket.setEncoding('utf8').on('error', () => undefined).on('data', (part: string) => {
		received += part;
	});
	socket.write(text);
	await once(socket, 'close');
	return received;
}

// Guards against a caller that reads nothing and keeps its connection and a complete response in memory for good.
test('closes the connection of a caller that reads nothing of a complete response for the idle timeout', async () => {
	const {port} = await startServer();
	expect(await readAfter(port, 5 * idleTimeoutMs)).toBeLessThan(responseBytes);
});

// Guards against a part of a response with neither a length nor chunks that looks complete, since the connection is closed and not reset.
test.each(['idle timeout', 'close of the server'] as const)('resets the connection of an HTTP/1.0 caller whose response has no length and is not delivered by the %s', async cause => {
	const {port, close} = await startServer(answerWithoutLength);
	const socket = net.connect(port, '127.0.0.1');
	socket.write('GET / HTTP/1.0\r\nHost: a.example\r\n\r\n');
	await new Promise(resolve => {
		setTimeout(resolve, cause === 'idle timeout' ? 5 * idleTimeoutMs : idleTimeoutMs / 2);
	});
	if (cause === 'close of the server') {
		close();
	}

	const end = await new Promise(resolve => {
		socket.on('error', () => {
			resolve('reset');
		}).once('end', () => {
			// A reset that is read together with the last bytes is reported as an end.
			resolve(socket.remoteAddress === undefined ? 'reset' : 'closed');
		}).resume();
	});
	expect(end).toBe('reset');
});

test('delivers a complete response to a caller that pauses for less than the idle timeout', async () => {
	const {port} = await startServer();
	expect(await readAfter(port, idleTimeoutMs / 4)).toBeGreaterThan(responseBytes);
});

// Guards against connections that the gateway keeps for good: one that is paused in a body never reports that it was closed.
test('closes the connection of a caller that goes on sending a body that is too large, after the response', async () => {
	const {port} = await startServer();
	const socket = net.connect(port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		text += Buffer.from(bytes).toString();
	});
	socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n');
	const timer = setInterval(() => {
		socket.write(`${(maximumBodyBytes + 1).toString(16)}\r\n${'x'.repeat(maximumBodyBytes + 1)}\r\n`);
	}, 20);
	closers.push(() => {
		clearInterval(timer);
		socket.destroy();
	});
	// A connection that is closed while its caller sends is reset at the caller.
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	expect(text).toMatch(/^HTTP\/1.1 413 /v);
	expect(text.match(/HTTP\/1.1/gv)).toHaveLength(1);
});

// Guards against work for callers that have left: a response that waits behind another one is not told that its socket closes.
test('reports the disconnect for each request of a connection, also for one that waits behind another', async () => {
	const disconnected: Array<string | undefined> = [];
	let requestCount = 0;
	const {port} = await startServer(({message: {url}}) => {
		requestCount += 1;
		return () => {
			disconnected.push(url);
		};
	});
	const socket = net.connect(port, '127.0.0.1');
	socket.write('GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\nGET /2 HTTP/1.1\r\nHost: a.example\r\n\r\n');
	await expect.poll(() => requestCount).toBe(2);
	socket.destroy();
	await expect.poll(() => disconnected.toSorted((a, b) => String(a).localeCompare(String(b)))).toEqual(['/1', '/2']);
});

// Guards against connections that are opened shortly before the end of the process and reset, though a request is sent on each.
test('answers the requests on connections that were opened before it stops listening', async () => {
	const connectionCount = 20;
	const server = await startServer(exchange => {
		exchange.startResponse({status: 200, headers: ['Content-Length', '0']});
		exchange.end();
		return () => undefined;
	});
	const sockets = Array.from({length: connectionCount}, () => net.connect(server.port, '127.0.0.1'));
	await Promise.all(sockets.map(async socket => once(socket, 'connect')));
	const received = sockets.map(async socket => {
		socket.write('GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n');
		return text(socket);
	});
	await server.stopListening(Number.POSITIVE_INFINITY);
	await expect(once(net.connect(server.port, '127.0.0.1'), 'connect')).rejects.toMatchObject({code: 'ECONNREFUSED'});
	for (const response of await Promise.all(received)) {
		expect(response).toMatch(/^HTTP\/1\.1 200 /v);
	}

	expect(server.getConnectionCount()).toBe(0);
});

// Guards against requests that the HTTP server answers itself, as many as were read at once, beside the bounds on what callers make it hold.
test.each([
	['no host', '', 400],
	['an expectation that is not met', 'Host: a.example\r\nExpect: x\r\n', 417],
] as const)('answers a request with %s, and closes the connection of many such requests at once', async (_, fields, status) => {
	const {port, bounds} = await startServer();
	const single = await exchangeText(port, `GET / HTTP/1.1\r\n${fields}\r\n`);
	expect(single).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	expect(bounds).toEqual([]);
	await exchangeText(port, `GET / HTTP/1.1\r\n${fields}\r\n`.repeat(500));
	expect(bounds).toEqual(['pipelining']);
});

// Guards against a small host that refuses what it has held as overdue, since decoding its first configuration takes longer than a backlog may wait.
test('requests that were held are begun once they can be checked, also when the loop stands still after that', async () => {
	let isHolding = true;
	const server = await startServer(exchange => {
		exchange.startResponse({status: 200, headers: ['Content-Length', '0']});
		exchange.end();
		return () => undefined;
	}, {isHolding: () => isHolding, loopMonitor: createLoopFixture(1)});
	const calls = [1, 2, 3].map(async () => fetch(`http://127.0.0.1:${server.port}/`));
	while (server.getPendingCount() < calls.length) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	isHolding = false;
	server.resumeHeld();
	setImmediate(() => {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
	});
	const responses = await Promise.all(calls);
	expect(responses.map(({status}) => status)).toEqual([200, 200, 200]);
});

const answerMs = 2600;
const shortHeaderTimeoutMs = 300;

/** Answers a request with 200 and its path, some time after its head timeout. */
const answerLate: RequestHandler = exchange => {
	setTimeout(() => {
		exchange.startResponse({status: 200, headers: ['Content-Length', '2']});
		exchange.write(Buffer.from(exchange.message.url ?? ''));
		exchange.end();
	}, answerMs);
	return () => undefined;
};

/** What a caller may send behind a request, on the same connection, that is no request. */
const brokenHeads = [
	['stops short of its end', 'POST /b HTTP/1.1\r\nHost: a.exam', '408'],
	['is malformed', 'no request\r\n\r\n', '400'],
	['is too long', `GET /b HTTP/1.1\r\nHost: a.example\r\nX-Long: ${'x'.repeat(70_000)}`, '431'],
] as const;

// Guards against a request that runs and is answered by the status for what its caller sent behind it, such as 408: not run.
test.each(brokenHeads)('a request gets its own response, and then its connection is closed, if what follows it %s', async (_, next) => {
	const server = await startServer(answerLate);
	server.setLimits({
		maximumHeaderBytes: 65_536, maximumBodyBytes: 1000, headerTimeoutMs: shortHeaderTimeoutMs, idleTimeoutMs: 20_000,
	});
	const received = await exchangeText(server.port, `POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx${next}`);
	expect(received).toMatch(/^HTTP\/1\.1 200 /v);
	expect(received).toMatch(/\r\nconnection: close\r\n/iv);
	expect(received).toMatch(/\r\n\r\n\/a$/v);
});

// Guards against such connections that get no answer, or stay open.
test.each(brokenHeads)('a connection without a request is answered with a status and closed if what arrives %s', async (_, next, status) => {
	const server = await startServer(answerLate);
	server.setLimits({
		maximumHeaderBytes: 65_536, maximumBodyBytes: 1000, headerTimeoutMs: shortHeaderTimeoutMs, idleTimeoutMs: 20_000,
	});
	expect(await exchangeText(server.port, next)).toMatch(new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
});

// Guards against a request that waits for the rest of a body which can't be parsed.
test('a request whose own body is malformed is answered with 400', async () => {
	const {port} = await startServer(answerLate);
	expect(await exchangeText(port, 'POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n')).toMatch(/^HTTP\/1\.1 400 /v);
});

// Guards against requests that are begun for callers who have left while their connection was not read.
test('a request whose body comes in chunks of one byte is not begun if its caller leaves right after it', async () => {
	let begun = 0;
	let departed = 0;
	const {port, setLimits} = await startServer(exchange => {
		begun += 1;
		exchange.startResponse({status: 200, headers: ['Content-Length', '0']});
		exchange.end();
		return () => undefined;
	}, {
		recordDeparture() {
			departed += 1;
		},
	});
	setLimits({
		maximumHeaderBytes: 65_536, maximumBodyBytes: 100_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000,
	});
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(60_000)}0\r\n\r\n`);
	socket.destroySoon();
	await expect.poll(() => begun + departed, {timeout: 20_000}).toBe(1);
	expect({begun, departed}).toEqual({begun: 0, departed: 1});
});

// Guards against a request that is begun while the connection, and with it its caller's close, isn't read because of what follows it.
test('a request is not begun whose caller sends a body in chunks of one byte behind it and leaves', async () => {
	const begun: string[] = [];
	let departed = 0;
	const {port, setLimits} = await startServer(exchange => {
		begun.push(exchange.message.url ?? '');
		return () => undefined;
	}, {
		recordDeparture() {
			departed += 1;
		},
	});
	setLimits({
		maximumHeaderBytes: 65_536, maximumBodyBytes: 100_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000,
	});
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	const fragmented = `POST /b HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(20_000)}0\r\n\r\n`;
	socket.write(`GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n${fragmented}`);
	socket.destroySoon();
	await expect.poll(() => begun.length + departed, {timeout: 20_000}).toBeGreaterThan(0);
	expect(begun).toEqual([]);
});

// Guards against a request that is refused as overdue because the loop stood still between its reading and its start.
test('a request that was read before the loop stood still is begun after that', async () => {
	const {port} = await startServer(exchange => {
		exchange.startResponse({status: 200, headers: ['Content-Length', '0']});
		exchange.end();
		return () => undefined;
	}, {
		checkHead() {
			setImmediate(() => {
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
			});
			return undefined;
		},
	});
	const {status} = await fetch(`http://127.0.0.1:${port}/`);
	expect(status).toBe(200);
});
