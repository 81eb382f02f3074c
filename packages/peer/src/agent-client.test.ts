/**
What a client says of a stream that broke: whether its attempt may have reached the agent. Only an attempt that has not may be sent elsewhere.
*/
import {once} from 'node:events';
import http2, {type Http2Session, type ServerHttp2Stream} from 'node:http2';
import net from 'node:net';
import type {AgentEvent} from '@currantcross/core/agent-types';
import {createFixtureCall, createFixtureStatus} from '@currantcross/core/fixtures';
import type {Attempt, AttemptMessage} from '@currantcross/core/types';
import {afterEach, expect, test} from 'vitest';
import {createAgentClient, isUnsentError, type AgentClient} from './agent-client.js';
import {createAgentService} from './agent-service.js';
import {createConnections, defaultConnectionSettings} from './connections.js';
import {startPeerServer} from './peer-server.js';

type Breakage = 'end' | 'reset' | 'refuseStream' | 'cancelStream' | 'unauthorised';

const attempt: Attempt = {
	attemptId: 'r1.1',
	organisation: 'club',
	work: createFixtureCall('k1'),
	permit: {incarnation: 'i1', stampedAt: 0},
	remainingMs: 5000,
	deliveredTokens: [],
};

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

function createClient(): AgentClient {
	const connections = createConnections({...defaultConnectionSettings, sharedKey: 'key', tls: undefined});
	closers.push(connections.close);
	return createAgentClient(connections, 1000);
}

/** Opens a stream that submits the attempt. Returns whether its error says that the attempt was not sent; `undefined` if it ends without one. */
async function submitAttempt(client: AgentClient, agentUrl: string): Promise<boolean | undefined> {
	const messages: AttemptMessage[] = [];
	try {
		const stream = client.openStream({
			agentUrl, attempt, mode: {kind: 'submit'}, needsFreshConnection: false, signal: AbortSignal.timeout(3000),
		});
		for await (const message of stream) {
			messages.push(message);
		}
	} catch (error) {
		return isUnsentError(error);
	}

	return undefined;
}

function breakStream(stream: ServerHttp2Stream, session: Http2Session, breakage: Breakage): void {
	switch (breakage) {
		case 'end': {
			session.destroy();
			return;
		}

		case 'reset': {
			const {socket} = session;
			if (socket instanceof net.Socket) {
				socket.resetAndDestroy();
			}

			return;
		}

		case 'refuseStream': {
			stream.close(http2.constants.NGHTTP2_REFUSED_STREAM);
			return;
		}

		case 'cancelStream': {
			stream.close(http2.constants.NGHTTP2_CANCEL);
			return;
		}

		case 'unauthorised': {
			stream.respond({':status': 401});
			stream.end();
		}
	}
}

/** Starts an agent's host that breaks each connection, or stream, once it has read a call on it. It takes one connection, or any number. */
async function startAgentHost(breakage: Breakage, connections: 'one' | 'any' = 'one'): Promise<Readonly<{url: string; getStreamCount: () => number}>> {
	let streamCount = 0;
	const server = http2.createServer();
	server.on('session', session => {
		session.on('error', () => undefined);
		if (connections === 'one') {
			server.close();
		}
	});
	server.on('stream', stream => {
		streamCount += 1;
		stream.on('error', () => undefined);
		stream.on('data', () => {
			const {session} = stream;
			if (session !== undefined) {
				breakStream(stream, session, breakage);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	return {url: `http://127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`, getStreamCount: () => streamCount};
}

// Guards against an attempt that is sent elsewhere, since the client was refused a second connection after it had sent it on the first one.
test.each(['end', 'reset', 'refuseStream', 'cancelStream'] as const)('an attempt that was read counts as sent, and is sent once, if its connection breaks (%s) for good', async breakage => {
	for (let trial = 0; trial < 5; trial += 1) {
		const {url, getStreamCount} = await startAgentHost(breakage); // eslint-disable-line no-await-in-loop -- one after the other
		expect(await submitAttempt(createClient(), url)).toBe(false); // eslint-disable-line no-await-in-loop
		expect(getStreamCount()).toBe(1);
	}
});

// Guards against an attempt that is submitted a second time by the library that opens its connections.
test.each(['end', 'reset', 'refuseStream', 'cancelStream'] as const)('an attempt that was read is sent once if its connection breaks (%s) and others are accepted', async breakage => {
	for (let trial = 0; trial < 5; trial += 1) {
		const {url, getStreamCount} = await startAgentHost(breakage, 'any'); // eslint-disable-line no-await-in-loop -- one after the other
		expect(await submitAttempt(createClient(), url)).toBe(false); // eslint-disable-line no-await-in-loop
		expect(getStreamCount()).toBe(1);
	}
});

test('an attempt counts as not sent if the connection of an earlier one has ended and no other is accepted', async () => {
	const {url, getStreamCount} = await startAgentHost('end');
	const client = createClient();
	expect(await submitAttempt(client, url)).toBe(false);
	expect(await submitAttempt(client, url)).toBe(true);
	expect(getStreamCount()).toBe(1);
});

// Guards against an attempt that is sent elsewhere after an answer that comes from no agent.
test('an attempt that was read counts as sent if the answer, of status 401, is no agent\'s refusal of the key', async () => {
	const {url} = await startAgentHost('unauthorised');
	expect(await submitAttempt(createClient(), url)).toBe(false);
});

test('an attempt counts as not sent, and does not reach the agent, if the agent rejects the shared key', async () => {
	const received: AgentEvent[] = [];
	const service = createAgentService({
		receive(event) {
			received.push(event);
		},
		getStatus: () => createFixtureStatus('s1'),
		applyOrder: async () => ({kind: 'applied'}),
	});
	const server = await startPeerServer({
		host: '127.0.0.1', port: 0, sharedKey: 'another key', tls: undefined,
	}, router => {
		service.registerRoutes(router);
	});
	closers.push(() => {
		void server.close();
	});
	expect(await submitAttempt(createClient(), `http://127.0.0.1:${server.port}`)).toBe(true);
	expect(received).toEqual([]);
});
