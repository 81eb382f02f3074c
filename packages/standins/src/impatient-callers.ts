/**
Worker thread with callers that leave after a time without a response, and with the servers that they reach, so that both go
on while the gateway's thread stands still. Reports the requests that reached a server after their callers had left.
*/
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parentPort} from 'node:worker_threads';
import {listen} from '@currantcross/core/listen';
import {formatCallHeaders} from './platform-caller-standin.js';

/** How the servers of a round respond. */
export type ResponseBehaviour
	= | Readonly<{kind: 'serve'}>
	/** Refuses each request as not run, `afterMs` after it arrived. */
		| Readonly<{kind: 'refuse'; afterMs: number}>;

/** What the test asks of the worker. */
export type ImpatientCallersCommand
	= | Readonly<{kind: 'startServers'; instanceIds: readonly string[]}>
	/** Sends a request on each of `count` new connections, `delayMs` from now. */
		| Readonly<{kind: 'send'; count: number; address: string; path: string; delayMs: number; patienceMs: number; behaviour: ResponseBehaviour}>;

/** Arrivals at servers, and responses, of the requests of one round. */
export type RoundResult = Readonly<{
	/** Times between the caller's leaving and the arrival at a server, for requests that arrived after it. */
	lateArrivalsMs: readonly number[];
	arrivals: number;
	responses: number;
}>;

export type ImpatientCallersReply
	= | Readonly<{kind: 'serversStarted'; addresses: readonly string[]}>
		| Readonly<{kind: 'roundEnded'; result: RoundResult}>;

/** Every third caller resets its connection when it leaves; the others close it. */
const resetInterval = 3;
/** Every second caller has used its connection before. */
const reuseInterval = 2;
/** Time after the last caller has left in which its request may still reach a server. */
const settleMs = 2500;
const responseHead = 'HTTP/1.1 ';

type Arrival = Readonly<{requestId: string; at: number}>;

const arrivals: Arrival[] = [];
let behaviour: ResponseBehaviour = {kind: 'serve'};
let roundCount = 0;

async function startServer(instanceId: string): Promise<string> {
	const server = http.createServer((message, response) => {
		message.resume();
		if (message.url === '/currantcross/report') {
			response.end('{"waiting":0,"running":0}');
			return;
		}

		const requestId = String(message.headers['request-id']);
		arrivals.push({requestId, at: performance.now()});
		switch (behaviour.kind) {
			case 'serve': {
				response.writeHead(200, {'request-id': requestId, 'response-stamp': `stamp-${instanceId}`, 'content-length': '4'});
				response.end('done');
				return;
			}

			case 'refuse': {
				setTimeout(() => {
					response.writeHead(503, {'request-id': requestId, 'not-run': '1', 'content-length': '0'});
					response.end();
				}, behaviour.afterMs);
			}
		}
	});
	return `127.0.0.1:${await listen(server, {host: '127.0.0.1', port: 0})}`;
}

function formatRequest(path: string, requestId: string): string {
	const headers = formatCallHeaders({
		host: 'a.example', requestId, remainingMs: 5000, key: 'key-1', promptTokens: undefined,
	});
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
	return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** Waits until a socket has received a response, or for `patienceMs`. Returns whether it has. */
async function waitForResponse(socket: net.Socket, patienceMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, patienceMs);
		socket.once('data', bytes => {
			clearTimeout(timer);
			resolve(String(bytes).startsWith(responseHead));
		});
	});
}

type CallerResult = Readonly<{requestId: string; leftAt: number | undefined}>;

async function runCaller(index: number, {address, path, delayMs, patienceMs}: Extract<ImpatientCallersCommand, {kind: 'send'}>): Promise<CallerResult> {
	const [host = '', port = ''] = address.split(':');
	const requestId = `${roundCount}-${index}`;
	const socket = net.connect(Number(port), host);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	const isReused = index % reuseInterval === 0;
	if (isReused) {
		socket.write(formatRequest('/book/look/warm', `warm-${requestId}`));
		await waitForResponse(socket, patienceMs);
	}

	await wait(delayMs);
	socket.write(formatRequest(path, requestId));
	const isAnswered = await waitForResponse(socket, patienceMs);
	const leftAt = isAnswered ? undefined : performance.now();
	if (index % resetInterval === 0) {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}

	return {requestId, leftAt};
}

async function runRound(command: Extract<ImpatientCallersCommand, {kind: 'send'}>): Promise<RoundResult> {
	roundCount += 1;
	behaviour = command.behaviour;
	const callers = await Promise.all(Array.from({length: command.count}, async (_, index) => runCaller(index, command)));
	await wait(settleMs);
	const leftAtById = new Map(callers.map(({requestId, leftAt}) => [requestId, leftAt]));
	const roundArrivals = arrivals.filter(({requestId}) => leftAtById.has(requestId));
	return {
		lateArrivalsMs: roundArrivals.map(({requestId, at}) => at - (leftAtById.get(requestId) ?? Number.POSITIVE_INFINITY)).filter(ms => ms > 0),
		arrivals: roundArrivals.length,
		responses: callers.filter(({leftAt}) => leftAt === undefined).length,
	};
}

function sendReply(message: ImpatientCallersReply): void {
	parentPort?.postMessage(message);
}

async function handleCommand(command: ImpatientCallersCommand): Promise<void> {
	switch (command.kind) {
		case 'startServers': {
			sendReply({kind: 'serversStarted', addresses: await Promise.all(command.instanceIds.map(async id => startServer(id)))});
			return;
		}

		case 'send': {
			sendReply({kind: 'roundEnded', result: await runRound(command)});
		}
	}
}

parentPort?.on('message', (command: ImpatientCallersCommand) => {
	void handleCommand(command);
});
process.on('unhandledRejection', error => {
	throw error;
});
