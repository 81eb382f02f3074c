/**
A request body over the size limit must not break later requests on the same keep-alive connection, as it would if the
server left the rest of the body unread.
*/
import {once} from 'node:events';
import net from 'node:net';
import {Readable} from 'node:stream';
import {Client} from 'undici';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {getHandlerFailure, sendFailure} from './failure-response.js';
import {sendJson, startHttpServer, type HttpServer} from './http-server.js';
import {discardTimeoutMs} from './unread-body.js';

let server: HttpServer | undefined;
let handledCount = 0;

async function startEchoServer(maximumBodyBytes: number): Promise<string> {
	server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		maximumBodyBytes,
		routes: [{
			method: 'POST',
			path: '/echo',
			async handler(request, response) {
				const text = await request.readText();
				handledCount += 1;
				sendJson(response, 200, {length: text.length});
			},
		}],
		handleUnknownRoute(_request, response) {
			sendJson(response, 404, {});
		},
		handleError(error, response) {
			sendFailure(response, getHandlerFailure(error), 'r1');
		},
	});
	return `http://127.0.0.1:${server.port}`;
}

function * createEndlessBody(): Generator<string> {
	for (;;) {
		yield 'x'.repeat(1000);
	}
}

afterEach(async () => {
	await server?.close();
});

describe('a request body over the size limit', () => {
	test('is answered with 413 and leaves the connection usable for the next request', async () => {
		const client = new Client(await startEchoServer(1_000_000));
		const statuses: number[] = [];
		for (let round = 0; round < 10; round += 1) {
			for (const body of ['x'.repeat(2_500_000), 'small']) {
				// eslint-disable-next-line no-await-in-loop
				const response = await client.request({method: 'POST', path: '/echo', body});
				// eslint-disable-next-line no-await-in-loop
				await response.body.dump();
				statuses.push(response.statusCode);
			}
		}

		await client.close();
		expect(statuses).toEqual(Array.from({length: 10}, () => [413, 200]).flat());
	});

	// Guards against a request that is never answered, since its body has ended before the rest of it is waited for.
	test.each([1001, 1500])('is answered with 413 if its end is read together with the byte that exceeds the limit (%i bytes)', async length => {
		const client = new Client(await startEchoServer(1000));
		const response = await client.request({
			method: 'POST', path: '/echo', body: 'x'.repeat(length), signal: AbortSignal.timeout(2000),
		});
		expect(response.statusCode).toBe(413);
		await client.destroy();
	});

	test('is cut off and answered with 413 when it never ends', async () => {
		const client = new Client(await startEchoServer(1000));
		const response = await client.request({method: 'POST', path: '/echo', body: Readable.from(createEndlessBody())});
		expect(response.statusCode).toBe(413);
		await client.destroy();
	});
});

/** Opens a connection, writes the start of a request, and returns when it is closed. */
async function writeAndWait(port: number, text: string): Promise<void> {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(text);
	await once(socket, 'close');
}

// Guards against connections that a server keeps for good because nothing reads what their callers still send.
describe('a connection on which a caller goes on sending', () => {
	test('is closed soon after a response that did not need the body', async () => {
		const {port} = new URL(await startEchoServer(1000));
		const startedAt = performance.now();
		await writeAndWait(Number(port), 'POST /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nx');
		expect(performance.now() - startedAt).toBeLessThan(4 * discardTimeoutMs);
	});

	test.each([
		['a body', 'POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nx'],
		['a head', 'POST /echo HTTP/1.1\r\nHost:'],
	])('does not keep the server from closing after the start of %s', async (_part, text) => {
		const {port} = new URL(await startEchoServer(1000));
		const closed = writeAndWait(Number(port), text);
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		const startedAt = performance.now();
		await server?.close();
		await closed;
		expect(performance.now() - startedAt).toBeLessThan(4 * discardTimeoutMs);
	});
});

// Guards against work that is begun for callers whose close lies behind the body that has just been read.
test('a request is not handled whose caller closes its connection right behind the body', async () => {
	const {port} = new URL(await startEchoServer(1000));
	const sockets = await Promise.all(Array.from({length: 10}, async () => {
		const socket = net.connect(Number(port), '127.0.0.1');
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	}));
	handledCount = 0;
	for (const socket of sockets) {
		socket.write('POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx');
		socket.destroySoon();
	}

	await Promise.all(sockets.map(async socket => once(socket, 'close')));
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	expect(handledCount).toBe(0);
});
