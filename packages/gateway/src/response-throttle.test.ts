/**
Tests streams whose callers read slowly, leave or read nothing, over real connections between a caller, the server for callers, the client
for endpoints and an endpoint.
*/
import {once} from 'node:events';
import net, {type Socket} from 'node:net';
import {pauseBytes} from '@currantcross/core/gateway/response-flow';
import {afterEach, expect, test} from 'vitest';
import {startCallerServer} from './caller-server.js';
import type {CallerExchange} from './caller-exchange.js';
import {createEndpointClient} from './endpoint-client.js';
import type {WireFormat} from './gateway-hosts.js';
import {createResponseThrottle} from './response-throttle.js';

const idleTimeoutMs = 700;
const neverMs = 600_000;
const outcomeTimeoutMs = 15_000;
/** Time in which what the operating system takes at once is taken. */
const settleMs = 150;
const limitBytes = 24_000_000;
/** Nearly the longest response that the client receives, and more than the connections' buffers hold between the gateway and its caller. */
const bodyBytes = 8_000_000;
/** What the client may pass on at once of what it has read. */
const readBytes = 65_536;
const lastChunk = '0\r\n\r\n';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

const body = Array.from({length: bodyBytes / 8}, (_, index) => String(index).padStart(8, '0')).join('');

type SlowDeployment = Readonly<{
	caller: Socket;
	/** Events of the throttle, in order. */
	events: readonly string[];
	getMaximumUnreadBytes(): number;
	isEndpointConnected(): boolean;
	hasDisconnected(): boolean;
}>;

/** Starts all parts, and a caller that has sent its request and reads nothing yet. */
async function startSlowDeployment(idleMs: number, callerMemoryLimit = limitBytes): Promise<SlowDeployment> {
	let endpointSocket: Socket | undefined;
	const endpoint = net.createServer(socket => {
		// The client may open another connection once it has closed this one.
		endpointSocket ??= socket;
		socket.on('error', () => undefined).once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`);
			socket.write(body);
		});
	});
	endpoint.listen(0, '127.0.0.1');
	await once(endpoint, 'listening');
	const bound = endpoint.address();
	const address = `127.0.0.1:${typeof bound === 'object' ? bound?.port ?? 0 : 0}`;

	const client = createEndpointClient({isCallerResponse: () => true});
	const events: string[] = [];
	let maximumUnreadBytes = 0;
	let hasDisconnected = false;
	const throttle = createResponseThrottle({
		client,
		callerMemoryLimit,
		logger: {
			info(event) {
				events.push(event);
			},
		},
		metrics: {recordResponsePause: () => undefined},
		dispatch(_key, {kind}) {
			events.push(kind);
		},
	});

	function handleRequest(exchange: CallerExchange): () => void {
		client.send({
			sendId: 1, address, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array(0),
		}, {
			onHead() {
				throttle.start({
					key: 1, sendId: 1, requestId: 'r-1', exchange,
				});
				exchange.startResponse({status: 200, headers: []});
			},
			onBytes(bytes) {
				exchange.write(bytes);
				maximumUnreadBytes = Math.max(maximumUnreadBytes, exchange.getUnreadBytes());
				throttle.update(1);
			},
			onEnd() {
				throttle.end(1);
				exchange.end();
			},
			onFailure() {
				throttle.end(1);
				exchange.breakConnection();
			},
		});
		return () => {
			hasDisconnected = true;
			throttle.end(1);
			client.cancel(1, 'abort');
		};
	}

	const wireFormat: Pick<WireFormat, 'parseCallerHead' | 'formatFailureHead'> = {
		parseCallerHead: () => ({
			requestId: 'r-1', credential: undefined, remainingMs: undefined, lastEventId: undefined, prompt: undefined, sharedSegments: [],
		}),
		formatFailureHead: () => [],
	};
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, {memoryMb: 200, maximumConnections: 100, processorShare: 1}, {
		wireFormat: wireFormat as WireFormat, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the other members are not used
		isDraining: () => false,
		isHolding: () => false,
		recordEarly: () => undefined,
		checkHead: () => undefined,
		handleRequest,
		waitForNews: async () => undefined,
		loopMonitor: {
			getUnreadMs: () => 0, getUnacceptedMs: () => 0, recordAccept: () => undefined, recordAcceptedUntil: () => undefined,
		},
		recordRefusal: () => undefined,
		recordProbeFailure: () => undefined,
		recordDeparture: () => undefined,
		recordBound: () => undefined,
	});
	server.setLimits({maximumBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: idleMs});
	const caller = net.connect(server.port, '127.0.0.1');
	closers.push(() => {
		caller.destroy();
		endpointSocket?.destroy();
		endpoint.close();
		client.close();
		server.close();
	});
	caller.on('error', () => undefined);
	caller.write('GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n');
	return {
		caller,
		events,
		getMaximumUnreadBytes: () => maximumUnreadBytes,
		isEndpointConnected: () => endpointSocket !== undefined && !endpointSocket.destroyed,
		hasDisconnected: () => hasDisconnected,
	};
}

/** Waits until the stream is paused and stays so. */
async function waitForPause(events: readonly string[]): Promise<void> {
	let count = -1;
	while (events.at(-1) !== 'readingPaused' || events.length !== count) {
		count = events.length;
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, settleMs);
		});
	}
}

/** Returns the body of a response in chunks, as text. */
function getChunkedBody(response: string): string {
	const chunks: string[] = [];
	let position = response.indexOf('\r\n\r\n') + 4;
	while (position < response.length) {
		const lineEnd = response.indexOf('\r\n', position);
		const length = Number.parseInt(response.slice(position, lineEnd), 16);
		chunks.push(response.slice(lineEnd + 2, lineEnd + 2 + length));
		position = lineEnd + 4 + length;
	}

	return chunks.join('');
}

test('a caller that reads slowly gets its whole stream, of which the gateway holds no more than its mark and one read at any time', async () => {
	const {caller, events, getMaximumUnreadBytes} = await startSlowDeployment(neverMs);
	await waitForPause(events);
	const parts: string[] = [];
	caller.setEncoding('latin1').on('data', (part: string) => {
		parts.push(part);
		caller.pause();
		setTimeout(() => {
			caller.resume();
		}, 2);
	});
	await once(caller, 'close');
	const response = parts.join('');
	expect(response.endsWith(lastChunk)).toBe(true);
	expect(getChunkedBody(response) === body).toBe(true);
	expect(events).toContain('readingResumed');
	expect(getMaximumUnreadBytes()).toBeGreaterThan(pauseBytes);
	expect(getMaximumUnreadBytes()).toBeLessThan(pauseBytes + readBytes + 2000);
});

// Guards against a caller that reads nothing and keeps its connection, and its endpoint's, until its deadline.
test('a caller that reads nothing is broken off at the idle timeout, its send is cancelled, and its stream does not look complete', async () => {
	const {caller, events, isEndpointConnected, hasDisconnected} = await startSlowDeployment(idleTimeoutMs);
	await expect.poll(hasDisconnected, {timeout: outcomeTimeoutMs}).toBe(true);
	expect(events).toContain('readingPaused');
	await expect.poll(isEndpointConnected).toBe(false);
	let text = '';
	caller.setEncoding('latin1').on('data', (part: string) => {
		text = part;
	});
	await once(caller, 'close');
	expect(text.endsWith(lastChunk)).toBe(false);
});

test('the send of a caller that leaves while it is paused is cancelled at once', async () => {
	const {caller, events, isEndpointConnected, hasDisconnected} = await startSlowDeployment(neverMs);
	await waitForPause(events);
	caller.destroy();
	await expect.poll(hasDisconnected, {timeout: outcomeTimeoutMs}).toBe(true);
	await expect.poll(isEndpointConnected).toBe(false);
});

test('no stream is paused where the memory for callers is not bounded', async () => {
	const {events, getMaximumUnreadBytes} = await startSlowDeployment(neverMs, Number.POSITIVE_INFINITY);
	await expect.poll(getMaximumUnreadBytes, {timeout: outcomeTimeoutMs}).toBeGreaterThan(4 * pauseBytes);
	expect(events).toEqual([]);
});
