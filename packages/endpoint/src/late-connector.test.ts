/**
Tests when a new connection is passed on to its client, over real connections.
*/
import diagnosticsChannel from 'node:diagnostics_channel';
import {once} from 'node:events';
import net, {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {createLateConnector} from './late-connector.js';

const settleMs = 50;
const socketChannel = 'net.client.socket';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a server that sends a text on each new connection, and returns its port. */
async function startServer(text: string): Promise<number> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.write(text);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}

/** Opens a connection and returns it when it is passed on, with the number of turns of the event loop since it was open. */
async function openConnection(port: number): Promise<Readonly<{socket: Socket; turns: number}>> {
	const connect = createLateConnector({});
	let turns = 0;
	let immediate: NodeJS.Immediate | undefined;
	const countTurn = (): void => {
		immediate = setImmediate(() => {
			turns += 1;
			countTurn();
		});
	};

	const watchSocket = (message: unknown): void => {
		(message as Readonly<{socket: Socket}>).socket.once('connect', countTurn); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	};

	diagnosticsChannel.subscribe(socketChannel, watchSocket);
	const socket = await new Promise<Socket>((resolve, reject) => {
		connect({hostname: '127.0.0.1', protocol: 'http:', port: String(port)}, (...[error, opened]) => {
			if (error === null) {
				resolve(opened);
			} else {
				reject(error);
			}
		});
	});
	clearImmediate(immediate);
	diagnosticsChannel.unsubscribe(socketChannel, watchSocket);
	closers.push(() => {
		socket.destroy();
	});
	return {socket, turns};
}

// Guards against a request that is written before the close of its caller is read, which came while its connection was opened.
test('a connection is passed on after the loop has read what arrived while it was opened', async () => {
	const {turns} = await openConnection(await startServer(''));
	expect(turns).toBeGreaterThanOrEqual(2);
});

// Guards against a client that opens connections without end, since it finds bytes on each before it has written a request.
test('what a server sends at once is not read before the connection is passed on', async () => {
	const {socket} = await openConnection(await startServer('early'));
	expect(socket.bytesRead).toBe(0);
	let text = '';
	socket.on('readable', () => {
		text += String(socket.read() ?? '');
	});
	await wait(settleMs);
	expect(text).toBe('early');
});
