import net, {type Socket} from 'node:net';
import {once} from 'node:events';
import {afterEach, expect, test} from 'vitest';
import {createBusinessServiceClient} from './business-service.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

async function startService(answer: (socket: Socket) => void): Promise<string> {
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
	return `http://127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`;
}

const work = {
	kind: 'service', service: 'shop', method: 'GET', path: '/', body: '', contentType: undefined, bodySha256: '', idempotencyKey: undefined, isIdempotent: true,
} as const;

const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('returns an undelimited response when the service closes the connection', async () => {
	const url = await startService(socket => {
		socket.end(`${head}whole`);
	});
	expect(await createBusinessServiceClient(url).call(work, 2000)).toMatchObject({kind: 'answered', answer: {status: 200, body: 'whole'}});
});

// Guards against a part of a response that is passed on as whole after its connection was reset.
test.each([0, 20])('fails an undelimited response when the connection is reset %d ms after the last bytes', async delayMs => {
	const url = await startService(socket => {
		socket.write(`${head}hal`, () => {
			if (delayMs === 0) {
				socket.resetAndDestroy();
			} else {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, delayMs);
			}
		});
	});
	const client = createBusinessServiceClient(url);
	for (let trial = 0; trial < 10; trial += 1) {
		// eslint-disable-next-line no-await-in-loop -- whether the bytes and the reset are read together varies
		expect(await client.call(work, 2000)).toMatchObject({kind: 'failed', ran: 'unknown'});
	}
});

/** Starts a service that counts the requests that it has read, and accepts one connection or any number. */
async function startCountingService(answer: (socket: Socket) => void, connections: 'one' | 'any' = 'one'): Promise<Readonly<{url: string; getRequestCount: () => number}>> {
	let requestCount = 0;
	const server = net.createServer(socket => {
		if (connections === 'one') {
			server.close();
		}

		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			requestCount += bytes.toString().split('POST ').length - 1;
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	return {url: `http://127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`, getRequestCount: () => requestCount};
}

const action = {
	...work, method: 'POST', body: 'deposit', isIdempotent: false,
} as const;

// Guards against a call that is reported as not run, since a second connection is refused after the first one has carried it.
test.each([
	['ends', (socket: Socket) => {
		socket.end();
	}],
	['resets', (socket: Socket) => {
		socket.resetAndDestroy();
	}],
	['ends in its head', (socket: Socket) => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Le');
	}],
	['ends after an informational response', (socket: Socket) => {
		socket.end('HTTP/1.1 102 Processing\r\n\r\n');
	}],
] as const)('fails a call as possibly run, and sends it once, if the service reads it and %s the connection, whether or not it accepts another', async (_, answer) => {
	for (const connections of ['one', 'any', 'one', 'any', 'one', 'any'] as const) {
		const {url, getRequestCount} = await startCountingService(answer, connections); // eslint-disable-line no-await-in-loop -- one after the other
		// eslint-disable-next-line no-await-in-loop
		expect(await createBusinessServiceClient(url).call(action, 2000)).toMatchObject({kind: 'failed', ran: 'unknown'});
		expect(getRequestCount()).toBe(1);
	}
});

test('fails a call as not run if the service accepts no connections', async () => {
	const {url} = await startCountingService(() => undefined);
	const socket = net.connect(Number(new URL(url).port), '127.0.0.1');
	await once(socket, 'connect');
	socket.destroy();
	expect(await createBusinessServiceClient(url).call(action, 2000)).toMatchObject({kind: 'failed', ran: 'no'});
});

// Guards against a status of the service that is taken for the statement that it has not run the call.
test.each([408, 421, 429, 503])('passes on an answer with status %d, and sends the call once', async status => {
	let requestCount = 0;
	const url = await startService(socket => {
		requestCount += 1;
		socket.end(`HTTP/1.1 ${status} Refused\r\nNot-Run: 1\r\nRetry-After: 0\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbusy`);
	});
	expect(await createBusinessServiceClient(url).call(action, 2000)).toMatchObject({kind: 'answered', answer: {status, body: 'busy'}});
	expect(requestCount).toBe(1);
});

// Guards against bytes that are no answer in HTTP and that a caller gets as the service's answer.
test.each(['000', '099', '101', '600', '999'])('fails a call whose response has the status %s, which the service may have run', async status => {
	const url = await startService(socket => {
		socket.end(`HTTP/1.1 ${status} Trouble\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno`);
	});
	expect(await createBusinessServiceClient(url).call(work, 2000)).toMatchObject({kind: 'failed', ran: 'unknown'});
});

// Guards against a part of a response that is passed on as whole, since its end is read before the reset that an unread upload causes.
test('fails an undelimited response that ends while an upload is written, when the connection is reset then', async () => {
	const url = await startService(socket => {
		socket.pause();
		socket.end(`${head}hal`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	const upload = {...work, method: 'POST', body: 'x'.repeat(1_000_000)};
	expect(await createBusinessServiceClient(url).call(upload, 2000)).toMatchObject({kind: 'failed', ran: 'unknown'});
});
