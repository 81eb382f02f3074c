import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import {once} from 'node:events';
import {afterEach, expect, test} from 'vitest';
import {createEndpointClient, type EndpointClient} from './endpoint-client.js';

type Outcome = Readonly<{kind: 'ended'; text: string}> | Readonly<{kind: 'failed'; wasSent: boolean}>;

const closers: Array<() => void> = [];

afterEach(() => {
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

async function sendRequest(client: EndpointClient, address: string): Promise<Outcome> {
	return new Promise(resolve => {
		let text = '';
		client.send({
			sendId: 1, address, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
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

function createClient(): EndpointClient {
	const client = createEndpointClient();
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

test('fails a chunked response when the connection closes before the last chunk', async () => {
	const address = await startEndpoint(socket => {
		socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n');
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
