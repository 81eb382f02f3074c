/**
Tests the client of model servers with responses that HTTP doesn't allow.
*/
import net from 'node:net';
import {listen} from '@currantcross/core/listen';
import type {DesiredState} from '@currantcross/core/order-fencing';
import {afterEach, expect, test} from 'vitest';
import {createModelServerClient, type ModelServerClient} from './model-server.js';

const timeoutMs = 2000;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts an engine that answers each request with these bytes, and returns a client of it. */
async function startClient(response: string): Promise<ModelServerClient> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(response);
		});
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	closers.push(() => {
		server.close();
	});
	return createModelServerClient(`http://127.0.0.1:${port}`, timeoutMs);
}

// Guards against bytes that are no answer in HTTP and that an agent takes for the engine's word that it did what was asked.
test.each(['000', '101', '600', '999'])('fails each call that is answered with the status %s', async status => {
	const client = await startClient(`HTTP/1.1 ${status} Trouble\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}`);
	const calls = [client.cancel('a-1'), client.releaseMemory('a-1'), client.sendOrder({} as unknown as DesiredState, 1), client.getReport()]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the order is only passed on
	const outcomes = await Promise.allSettled(calls);
	expect(outcomes.map(outcome => outcome.status)).toEqual(calls.map(() => 'rejected'));
});
