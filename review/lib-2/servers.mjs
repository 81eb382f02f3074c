/**
Stand-ins of the platform's servers, which behave like sound ones unless a case has them answer otherwise, and requesters.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {text} from 'node:stream/consumers';
import {
	createHeaders, listen, registerServer, wait,
} from './deployment.mjs';

const report = JSON.stringify({
	stage: 'both', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running: 0, kvUsed: 0, kvTotal: 405_000, handles: 0, tickets: [],
});

/** Returns the head of an answer as text, with the headers that each answer of a server has. */
export function formatHead(status, requestId, headers) {
	const lines = Object.entries({'Request-Id': requestId, 'Response-Stamp': '3e1b.07.5a2.600.0.c9f2a4d1', ...headers}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

/** Sends a short stream of events, as a sound model server does. */
export async function streamEvents(response, requestId, {firstMs, eventCount, pauseMs}) {
	await wait(firstMs);
	response.writeHead(200, {'request-id': requestId, 'response-stamp': '3e1b.07.5a2.600.0.c9f2a4d1', 'content-type': 'text/event-stream'});
	for (let id = 1; id <= eventCount && !response.destroyed; id += 1) {
		response.write(`id: ${id}\ndata: ${'t'.repeat(50)}\n\n`);
		await wait(pauseMs); // eslint-disable-line no-await-in-loop
	}

	response.end();
}

/** Headers of a prompt whose last part belongs to the request alone. */
export function createPromptHeaders(requestId, promptTokens) {
	return {model: 'm', 'token-count': `${promptTokens},80`, 'prompt-prefix': `5c1e07a2:40,${Buffer.from(requestId).toString('hex').slice(-32)}:${promptTokens - 40}`};
}

/** Returns the time in which the engine reads a prompt, in even parts if it has helpers. */
export function getReadingMs(message) {
	const promptTokens = Number(message.headers['token-count'].split(',')[0]);
	const parts = 1 + (message.headers.helpers?.split(',').length ?? 0);
	return ((promptTokens / 154) + (0.162 * (promptTokens ** 2) / 2e6)) / parts;
}

/**
Starts a server and lists it. `answer` writes the answer to a request that runs; without it, the server sends a short text after `workMs`.
*/
export async function startServer(store, record, {id, service, slots, workMs = 40, answer}) {
	const runs = new Map();

	async function handle(message, response) {
		await text(message);
		const requestId = message.headers['request-id'];
		if (message.url === '/currantcross/report' || message.url === '/health') {
			response.writeHead(200, {'content-type': 'application/json', 'instance-id': id});
			response.end(report);
			return;
		}

		if (message.url === '/currantcross/order') {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end('{"free":400000}');
			return;
		}

		if (message.headers['expect-instance'] !== id) {
			response.writeHead(421, {'request-id': requestId ?? '', 'not-run': '1'});
			response.end();
			return;
		}

		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		record.add(`run ${requestId} at ${id}`);
		if (answer !== undefined && await answer(message, response, requestId)) {
			return;
		}

		await wait(workMs);
		const body = `done ${requestId}`;
		response.writeHead(200, {'request-id': requestId, 'response-stamp': '3e1b.07.5a2.600.0.c9f2a4d1', 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	const server = http.createServer((message, response) => {
		response.on('error', () => undefined);
		handle(message, response).catch(() => undefined);
	});
	server.on('connection', socket => {
		socket.on('error', () => undefined);
	});
	const address = await listen(server);
	registerServer(store, {
		id, service, address, slots,
	});
	return {id, runs};
}

/** Writes the same bytes to a connection until its peer closes it. */
export function writeWithoutEnd(socket, bytes) {
	const pump = () => {
		while (!socket.destroyed) {
			if (!socket.write(bytes)) {
				socket.once('drain', pump);
				return;
			}
		}
	};

	pump();
}

/**
Sends a request to a gateway and returns how it ends: with an answer, by its time limit, or with a connection that closes before the
answer is complete.
*/
export async function sendRequest(gateway, {agent, requestId, path, deadlineMs, body = 'x', headers = {}}) {
	const sentAt = performance.now();
	const [host, port] = gateway.callerAddress.split(':');
	return new Promise(resolve => {
		let isKept = false;
		const end = result => {
			clearTimeout(timer);
			resolve({
				requestId, isKept, endedAfterMs: performance.now() - sentAt, ...result,
			});
		};

		const request = http.request({
			host, port, agent, method: 'POST', path, headers: {...createHeaders(requestId, deadlineMs, body), ...headers},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				end({kind: 'answered', status: response.statusCode, body: Buffer.concat(chunks)});
			});
			response.on('error', () => {
				end({kind: 'closed', status: response.statusCode});
			});
		});
		const timer = setTimeout(() => {
			end({kind: 'left'});
			request.destroy();
		}, deadlineMs);
		request.on('socket', () => {
			isKept = request.reusedSocket;
		});
		request.on('error', () => {
			end({kind: 'closed'});
		});
		request.end(body);
	});
}

/** Writes the same bytes to a connection at a steady rate until its peer closes it. */
export function writeAtRate(socket, bytes, intervalMs) {
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
		} else if (!socket.writableNeedDrain) {
			socket.write(bytes);
		}
	}, intervalMs);
}

/**
Sends a request and reads the answer at a limited rate, as over a narrow link. Returns how the answer ends: complete, as far as the protocol
shows, or with a broken connection. `onHead` is called when the answer begins.
*/
export async function readAtRate(gateway, {requestId, path, deadlineMs, bytesPerSecond, onHead}) {
	const sentAt = performance.now();
	const [host, port] = gateway.callerAddress.split(':');
	return new Promise(resolve => {
		const chunks = [];
		const end = result => {
			clearTimeout(timer);
			resolve({body: Buffer.concat(chunks), endedAfterMs: performance.now() - sentAt, ...result});
		};

		const request = http.request({
			host, port, agent: false, method: 'GET', path, headers: createHeaders(requestId, deadlineMs),
		}, response => {
			const {statusCode: status, headers} = response;
			onHead();
			response.on('data', chunk => {
				chunks.push(chunk);
				response.pause();
				setTimeout(() => {
					response.resume();
				}, chunk.length * 1000 / bytesPerSecond);
			});
			response.on('end', () => {
				end({kind: response.complete ? 'complete' : 'broken', status, headers});
			});
			response.on('error', () => {
				end({kind: 'broken', status, headers});
			});
		});
		const timer = setTimeout(() => {
			end({kind: 'left'});
			request.destroy();
		}, deadlineMs);
		request.on('error', () => {
			end({kind: 'broken'});
		});
		request.end();
	});
}
