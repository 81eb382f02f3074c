/**
Tests the bounds on the connections of callers.
*/
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {createCallerMemory} from '@currantcross/core/gateway/caller-memory';
import {listen} from '@currantcross/core/listen';
import {expect, test} from 'vitest';
import {createCallerConnections, type GiveWay} from './caller-connections.js';

// Guards against a connection that is closed for its pipelined requests, and all of whose heads become requests nevertheless.
test.each([
	{maximumConnections: 100, handled: 17, limit: 'the limit of 16'},
	{maximumConnections: 10, handled: 11, limit: 'that of 10 for connections and waiting requests together'},
])('a connection whose waiting requests exceed $limit is closed, and none of its further heads becomes a request', async ({maximumConnections, handled}) => {
	const bounds: string[] = [];
	const connections = createCallerConnections({
		maximumConnections,
		processorShare: 1,
		getUnreadMs: () => 0,
		getUnacceptedMs: () => 0,
		maximumHeadBytes: 65_536,
		memory: createCallerMemory<GiveWay>(),
		recordBound(bound) {
			bounds.push(bound);
		},
	});
	let requests = 0;
	const server = http.createServer(message => {
		requests += 1;
		connections.tryAddRequest(message);
	});
	server.on('connection', connections.add);
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	const caller = net.connect(port, '127.0.0.1');
	caller.on('error', () => undefined);
	caller.resume();
	caller.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(500));
	await once(caller, 'close');
	connections.close();
	server.close();
	expect(bounds).toEqual(['pipelining']);
	expect(requests).toBe(handled);
});
