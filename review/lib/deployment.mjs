/**
A small deployment on loopback: the project's stand-in of the platform's store, gateways started with the command of the deploy file,
and raw HTTP servers and clients whose every byte a script decides.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startPlatformStore} from '../../packages/standins/dist/platform-store-standin.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const loopback = '127.0.0.1';
export const exitCodes = {held: 0, broken: 1, notRun: 2};

export async function wait(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Polls until the function gives true. Throws after `timeoutMs`. */
export async function waitUntil(isDone, timeoutMs, what) {
	const startedAt = performance.now();
	while (!await isDone()) { // eslint-disable-line no-await-in-loop
		if (performance.now() - startedAt > timeoutMs) {
			throw new Error(`timeout: ${what}`);
		}

		await wait(20); // eslint-disable-line no-await-in-loop
	}
}

/** Writes the record of a run: one line for each thing that was sent, answered or run, with the time since the start. */
export function createRecord(file) {
	writeFileSync(file, '');
	const startedAt = performance.now();
	return (...words) => {
		appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${words.join(' ')}\n`);
	};
}

/** Ports below the range of outgoing connections, so that none of these takes a port while its server is down. */
const firstPort = 20_000;
const portCount = 12_000;
let portCounter = Math.floor(Math.random() * portCount);

async function isPortFree(port) {
	const server = net.createServer();
	server.listen(port, loopback);
	try {
		await once(server, 'listening');
	} catch {
		// The port is in use; the caller tries the next one.
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}

async function getFreePort() {
	for (;;) {
		portCounter = (portCounter + 1) % portCount;
		const port = firstPort + portCounter;
		// eslint-disable-next-line no-await-in-loop
		if (await isPortFree(port)) {
			return port;
		}
	}
}

const engine = JSON.parse(readFileSync(new URL('engine.json', import.meta.url), 'utf8'));

/** The operator's configuration, with the routes and limits of the small deployments. */
export function createConfiguration(version, changes = {}) {
	const {keys = ['key-1'], host = 'a.example', business = 'shop', models = 'models'} = changes;
	const common = {
		host, priority: 1, public: false, sticky: false,
	};
	return {
		version,
		routes: [
			{
				...common, name: 'ask', pathPrefix: '/ask/', kind: 'streaming', timeoutMs: 10_000, goalMs: 300, attempts: 2, resumable: true, gapAimMs: 250, sticky: true, service: models,
			},
			{
				...common, name: 'book', pathPrefix: '/book/', kind: 'non_idempotent', timeoutMs: 3000, goalMs: 300, attempts: 1, service: business,
			},
			{
				...common, name: 'look', pathPrefix: '/look/', kind: 'idempotent', timeoutMs: 3000, goalMs: 300, attempts: 2, service: business,
			},
		],
		services: [
			{
				name: models, healthPath: '/health', maxConns: 374, engine,
			},
			{name: business, healthPath: '/health', maxConns: 110},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'club', apiKeys: keys, priority: 1}],
	};
}

/** Starts a TCP server on loopback that calls `handleConnection` for each connection. */
export async function startTcpServer(handleConnection) {
	const sockets = new Set();
	const server = net.createServer({noDelay: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		handleConnection(socket);
	});
	const port = await getFreePort();
	server.listen(port, loopback);
	await once(server, 'listening');
	return {
		address: `${loopback}:${port}`,
		/** Stops to listen and resets all connections, as a process that crashes. */
		crash() {
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		async restart() {
			server.listen(port, loopback);
			await once(server, 'listening');
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

function parseHead(text) {
	const [startLine = '', ...lines] = text.split('\r\n');
	return {startLine, headers: new Map(lines.map(line => [line.slice(0, line.indexOf(':')).trim().toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))};
}

/** Calls `handleRequest` for each request of a connection, which has a length or no body. */
export function readRequests(socket, handleRequest) {
	let buffered = Buffer.alloc(0);
	socket.on('data', bytes => {
		buffered = Buffer.concat([buffered, bytes]);
		for (;;) {
			const headEnd = buffered.indexOf('\r\n\r\n');
			if (headEnd === -1) {
				return;
			}

			const {startLine, headers} = parseHead(buffered.subarray(0, headEnd).toString('latin1'));
			const end = headEnd + 4 + Number(headers.get('content-length') ?? '0');
			if (buffered.length < end) {
				return;
			}

			const body = buffered.subarray(headEnd + 4, end).toString();
			buffered = buffered.subarray(end);
			const [method, target] = startLine.split(' ');
			handleRequest({
				method, target, headers, body,
			});
		}
	});
}

/** Answers 421 to a request that is meant for another server, and returns whether it is. */
export function refuseMisdirected(socket, name, {headers}) {
	const expected = headers.get('expect-instance');
	if (expected === undefined || expected === name) {
		return false;
	}

	socket.write(formatResponse(421, {'Request-Id': headers.get('request-id') ?? ''}, ''));
	return true;
}

/** Formats a response with a length. */
export function formatResponse(status, headers, body) {
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	return `HTTP/1.1 ${status} x\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/**
Starts a model server whose streams come with neither a length nor chunks and end with their connection. It calls `onEvent` after each
event with the request's id, the server's name and the number of the event.
*/
export async function startModelServer(name, {record, eventCount, pauseMs, onEvent = () => undefined}) {
	return startTcpServer(socket => {
		readRequests(socket, async ({target, headers}) => {
			if (target === '/currantcross/report') {
				socket.write(formatResponse(200, {'Content-Type': 'application/json'}, soundReport));
				return;
			}

			if (refuseMisdirected(socket, name, {headers})) {
				return;
			}

			const id = headers.get('request-id');
			const firstEvent = Number(headers.get('last-event-id') ?? '0') + 1;
			record(name, 'runs', id, 'from event', firstEvent);
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${name}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
			for (let event = firstEvent; event <= eventCount; event += 1) {
				await wait(pauseMs); // eslint-disable-line no-await-in-loop
				if (socket.destroyed) {
					record(name, 'stops its run of', id, 'after event', event - 1);
					return;
				}

				socket.write(`id: ${event}\ndata: token ${event} of ${id}\n\n`);
				onEvent({
					id, name, event, socket,
				});
			}

			record(name, 'has sent the whole answer to', id);
			socket.end();
		});
	});
}

/** Calls a model and returns the response with the numbers of its events. */
export async function callModel(address, id) {
	const response = await callRaw(address, {
		method: 'POST',
		target: `/ask/${id}`,
		headers: {
			Host: 'a.example', 'Request-Id': id, 'Deadline-Ms': 10_000, Credential: 'key-1', Model: 'm', 'Token-Count': '2000,680', 'Prompt-Prefix': `a1:40,${Buffer.from(id).toString('hex')}:1960`,
		},
		body: 'question',
	});
	const events = [...response.body.matchAll(/^id: (\d+)$/gmv)].map(([, event]) => Number(event));
	const isFramed = response.headers.has('content-length') || response.headers.has('transfer-encoding');
	const isChunkedEnd = response.body.endsWith('0\r\n\r\n');
	const isEndOfAnswer = response.startLine.includes(' 200 ') && response.end === 'fin' && (isFramed ? isChunkedEnd : /\n\r?\n$/v.test(response.body));
	return {
		...response, events, isFramed, looksComplete: isEndOfAnswer,
	};
}

/** The answer of a sound server to a probe. */
export const soundReport = JSON.stringify({
	stage: 'both', models: [], busy: false, seq: 0, waiting: 0, running: 0, kvUsed: 0, kvTotal: 405_000, handles: 0, born: 5, tickets: [],
});

/** Sends one request on a connection of its own, and resolves with all bytes and how the connection ended. */
export async function callRaw(address, {method = 'GET', target, headers, body = ''}, timeoutMs = 20_000) {
	const [host, port] = address.split(':');
	const socket = net.connect({host, port: Number(port), noDelay: true});
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket.write(`${method} ${target} HTTP/1.1\r\n${lines}${body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`}\r\n${body}`);
	const chunks = [];
	let end = 'timeout';
	socket.on('data', bytes => {
		chunks.push(bytes);
	});
	await new Promise(resolve => {
		const timer = setTimeout(resolve, timeoutMs);
		socket.once('end', () => {
			end = 'fin';
		});
		socket.once('error', error => {
			end = error.code ?? 'error';
		});
		socket.once('close', () => {
			clearTimeout(timer);
			resolve();
		});
	});
	socket.destroy();
	const text = Buffer.concat(chunks).toString('latin1');
	const headEnd = text.indexOf('\r\n\r\n');
	return {...parseHead(headEnd === -1 ? text : text.slice(0, headEnd)), body: headEnd === -1 ? '' : text.slice(headEnd + 4), end};
}

/** Sends one request with an ordinary HTTP client. */
export async function call(address, {method = 'GET', target, headers, body = ''}, agent = false) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = http.request({
			host, port: Number(port), method, path: target, headers: {...headers, ...(body === '' ? {} : {'Content-Length': Buffer.byteLength(body)})}, agent,
		}, response => {
			const chunks = [];
			response.on('data', bytes => {
				chunks.push(bytes);
			});
			response.on('error', error => {
				resolve({
					status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), error: error.code ?? error.message,
				});
			});
			response.on('end', () => {
				resolve({status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString()});
			});
		});
		request.on('error', error => {
			resolve({
				status: 0, headers: {}, body: '', error: error.code ?? error.message,
			});
		});
		request.end(body);
	});
}

/** Starts the store and the gateways, and returns what a script needs to use and to stop them. */
export async function startDeployment({gateways: count = 1, configuration = createConfiguration(3), dataCentre = 'east', settings = {}, storeAddress} = {}) {
	const directory = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const store = await startPlatformStore();
	const children = new Set();
	const gateways = [];
	process.on('exit', () => {
		for (const child of children) {
			child.kill('SIGKILL');
		}
	});

	function registerServer(id, address, service, changes = {}) {
		store.writeObject('servers', id, {
			service, address, zone: dataCentre, version: 'v1', slots: service === 'models' ? 11 : 6, state: 'ready', coldLeftMs: 0, seq: 1, born: 5, ...changes,
		});
	}

	function spawnGateway(gateway) {
		const log = openSync(gateway.logFile, 'a');
		const child = spawn(process.execPath, ['--max-old-space-size=160', 'target/currantcross.cjs', 'gateway'], {
			cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, CURRANTCROSS_SETTINGS: gateway.settingsFile},
		});
		children.add(child);
		child.once('exit', () => {
			children.delete(child);
		});
		gateway.child = child;
	}

	async function isReady({readinessAddress}) {
		const {status} = await call(readinessAddress, {target: '/currantcross/ready', headers: {}});
		return status === 200;
	}

	async function waitUntilReady(gateway) {
		await waitUntil(async () => isReady(gateway), 15_000, 'the gateway is ready');
	}

	store.writeObject('config', 'main', configuration);
	for (let index = 1; index <= count; index += 1) {
		const ports = [];
		for (let number = 0; number < 4; number += 1) {
			ports.push(await getFreePort()); // eslint-disable-line no-await-in-loop
		}

		const [callerAddress, readinessAddress, peerAddress, metricsAddress] = ports.map(port => `${loopback}:${port}`);
		const name = `gateway-${index}`;
		const gateway = {
			name, callerAddress, readinessAddress, settingsFile: path.join(directory, `${name}.json`), logFile: path.join(directory, `${name}.log`), child: undefined,
		};
		writeFileSync(gateway.settingsFile, JSON.stringify({
			name, dataCentre, callerAddress, readinessAddress, peerAddress, metricsAddress, platformAddress: storeAddress?.(store.address) ?? store.address, processorShare: 0.513,
			graceMs: 8000, revocationMs: 5000, memoryIdleMs: 9000, retries: {ratio: 0.2, fixedSends: 106, windowMs: 10_000}, ...settings,
		}));
		gateways.push(gateway);
	}

	return {
		store,
		gateways,
		registerServer,
		spawnGateway,
		isReady,
		waitUntilReady,
		async start() {
			for (const gateway of gateways) {
				spawnGateway(gateway);
			}

			await Promise.all(gateways.map(async gateway => waitUntilReady(gateway)));
		},
		/** Ends all processes and removes their files. */
		async close() {
			await Promise.all([...children].map(async child => {
				const exited = once(child, 'exit');
				child.kill('SIGCONT');
				child.kill('SIGKILL');
				await exited;
			}));
			store.close();
			if (process.env.KEEP === undefined) {
				rmSync(directory, {recursive: true, force: true});
			}
		},
		directory,
	};
}

/** Runs a script and exits with its result: `true` if the rule was broken. */
export async function runCase(run) {
	let code = exitCodes.notRun;
	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.on(event, error => {
			process.stderr.write(`${error.stack}\n`);
			process.exit(exitCodes.notRun);
		});
	}

	try {
		code = await run() ? exitCodes.broken : exitCodes.held;
	} catch (error) {
		process.stderr.write(`${error.stack}\n`);
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}
