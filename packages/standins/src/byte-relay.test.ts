import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import {listen} from '@currantcross/core/listen';
import {expect, test} from 'vitest';
import {startByteRelay, type RelayFault} from './byte-relay.js';

const pauseMs = 30;

async function wait(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, pauseMs);
	});
}

test.each<RelayFault>([
	{kind: 'delay', delayMs: 150}, {kind: 'cut', directions: 'both'}, {kind: 'cut', directions: 'toTarget'},
])('bytes sent before, during and after a fault of kind $kind arrive in order', async fault => {
	let received = '';
	const server = net.createServer(socket => {
		socket.on('data', data => {
			received += Buffer.from(data).toString();
		});
	});
	const relay = await startByteRelay(await listen(server, {host: '127.0.0.1', port: 0}));
	const socket = net.connect(relay.port, '127.0.0.1');
	await once(socket, 'connect');
	socket.write('1');
	await wait();
	relay.setFault(fault);
	socket.write('2');
	await wait();
	expect(received).toBe('1');
	relay.setFault({kind: 'none'});
	socket.write('3');
	while (received.length < 3) {
		// eslint-disable-next-line no-await-in-loop
		await wait();
	}

	expect(received).toBe('123');
	socket.destroy();
	await relay.close();
	server.close();
});
