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
