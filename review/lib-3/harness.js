/**
Starts gateways with the command of the deploy file and settings rendered from its template, and small stand-ins of the platform's store, of
servers and of requesters. Uses nothing but the modules of Node.js.
*/
import {Buffer} from 'node:buffer';
import {randomInt} from 'node:crypto';
import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';

const host = '127.0.0.1';
const objectPath = '/currantcross/objects/';
const directory = mkdtempSync(path.join(os.tmpdir(), 'currantcross-review-'));
const children = new Set();
const lines = [];
const startedAt = performance.now();

/** Exit codes of a case. */
const exitCodes = {held: 0, broken: 1, failed: 2};

export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Returns the milliseconds since the case began. */
export function getTime() {
	return performance.now() - startedAt;
}

/** Adds a line to the record of the case. */
export function record(text) {
	lines.push(`${(getTime() / 1000).toFixed(3).padStart(8)} s  ${text}`);
}

process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}

	rmSync(directory, {recursive: true, force: true});
});
for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => {
		process.exit(exitCodes.failed);
	});
}

/** Runs a case, which returns a description of how the rule was broken, or nothing. Writes the record and ends the process. */
export async function runCase(folder, run) {
	let code = exitCodes.failed;
	try {
		const broken = await run();
		code = broken === undefined ? exitCodes.held : exitCodes.broken;
		record(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
	} catch (error) {
		record(`the case could not run: ${error.stack}`);
	}

	writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
	console.log(lines.at(-1));
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

async function listen(server, ip = host) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	return server.address().port;
}

/** Returns ports of an address that are free at present. */
async function findPorts(ip, count) {
	const servers = Array.from({length: count}, () => net.createServer());
	const ports = await Promise.all(servers.map(async server => listen(server, ip)));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

function sendJson(response, status, era, body) {
	response.writeHead(status, {'content-type': 'application/json', 'store-era': String(era)});
	response.end(JSON.stringify(body));
}

async function readText(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** Starts the platform's store: objects by kind and name, lists, watches, and a restore from a copy. */
export async function startStore() {
	let objects = new Map();
	let changes = [];
	let revision = 10;
	let historyStart = 10;
	let era = 0;
	let copy;
	let isAway = false;
	const watches = new Set();

	function getKind(kind) {
		const objectsByName = objects.get(kind) ?? new Map();
		objects.set(kind, objectsByName);
		return objectsByName;
	}

	function recordChange(kind, object, isDeleted) {
		changes.push({
			kind, object, deleted: isDeleted, revision,
		});
		for (const watch of watches) {
			if (watch.kind === kind) {
				watch.answer();
			}
		}
	}

	function write(kind, name, spec) {
		revision += 1;
		const createRev = getKind(kind).get(name)?.meta.createRev ?? revision;
		const object = {
			meta: {
				name, revision, createRev, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		getKind(kind).set(name, object);
		recordChange(kind, object, false);
		return object;
	}

	function remove(kind, name) {
		const object = getKind(kind).get(name);
		if (object !== undefined) {
			revision += 1;
			getKind(kind).delete(name);
			recordChange(kind, object, true);
		}

		return object;
	}

	function answerWatch(response, kind, after, waitMs) {
		if (after < historyStart || after > revision) {
			sendJson(response, 410, era, {});
			return;
		}

		const getEvents = () => changes.filter(change => change.kind === kind && change.revision > after).map(({object, deleted}) => ({object, deleted}));
		const watch = {
			kind,
			answer() {
				watches.delete(watch);
				clearTimeout(timer);
				sendJson(response, 200, era, {events: getEvents(), asOf: revision});
			},
			cut() {
				watches.delete(watch);
				clearTimeout(timer);
				response.socket?.resetAndDestroy();
			},
		};
		const timer = setTimeout(watch.answer, waitMs);
		watches.add(watch);
		if (getEvents().length > 0) {
			watch.answer();
		}
	}

	async function handle(message, response) {
		const body = await readText(message);
		const {pathname, searchParams} = new URL(message.url, 'http://store');
		const [kind = '', name = ''] = pathname.slice(objectPath.length).split('/').map(part => decodeURIComponent(part));
		switch (message.method) {
			case 'POST': {
				const {meta, spec} = JSON.parse(body);
				const known = getKind(kind).get(meta.name);
				sendJson(response, known === undefined ? 201 : 409, era, known ?? write(kind, meta.name, spec));
				return;
			}

			case 'PUT': {
				const isKnown = getKind(kind).has(name);
				sendJson(response, isKnown ? 200 : 404, era, isKnown ? write(kind, name, JSON.parse(body).spec) : {});
				return;
			}

			case 'DELETE': {
				const removed = remove(kind, name);
				sendJson(response, removed === undefined ? 404 : 200, era, {});
				return;
			}

			default: {
				const after = searchParams.get('watch');
				if (after !== null) {
					answerWatch(response, kind, Number(after), Number(searchParams.get('waitMs') ?? '0'));
				} else if (name === '') {
					sendJson(response, 200, era, {items: [...getKind(kind).values()], truncated: false, asOf: revision});
				} else {
					const object = getKind(kind).get(name);
					sendJson(response, object === undefined ? 404 : 200, era, object ?? {});
				}
			}
		}
	}

	const server = http.createServer((message, response) => {
		if (isAway) {
			message.socket.resetAndDestroy();
		} else {
			handle(message, response).catch(() => {
				message.socket.destroy();
			});
		}
	});
	const port = await listen(server);
	return {
		address: `${host}:${port}`,
		write,
		remove,
		takeCopy() {
			copy = {revision, objects: new Map([...objects].map(([kind, objectsByName]) => [kind, new Map(objectsByName)]))};
		},
		/** The store is away: each call and each watch is reset. */
		leave() {
			isAway = true;
			for (const watch of watches) {
				watch.cut();
			}
		},
		/** The store is back from the copy. */
		restore() {
			({revision, objects} = copy);
			changes = changes.filter(change => change.revision <= revision);
			historyStart = Math.min(historyStart, revision);
			era += 1;
			isAway = false;
		},
	};
}

/** Fields of a machine's settings as on the small site of Rivebasse. */
export async function createFields(store, name, bounds = {}) {
	// Each machine has an address of its own, since the port of the metrics is the same on all.
	const ip = [127, randomInt(1, 250), randomInt(1, 250), randomInt(1, 250)].join('.');
	const [front, ready, peer] = await findPorts(ip, 3);
	return {
		node: name,
		zone: 'qc-centre-a',
		ip,
		listen: {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
		portRange: [peer, peer + 15],
		platform: {address: store.address},
		limits: {cpuShare: 0.513, memoryMb: 350, maxFds: 4100},
		zones: {'qc-centre-a': 'qc-centre', 'qc-centre-b': 'qc-centre', 'qc-centre-c': 'qc-centre'},
		contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'spans'],
		bounds: {
			graceS: 8, strictRevoke: true, revokeMs: 5000, idleMaxMs: 9000, retryRatio: 0.2, retrySlack: 106, retryWindowS: 10, ...bounds,
		},
	};
}

function findValue(scopes, name) {
	for (const scope of scopes.toReversed()) {
		let value = scope;
		for (const key of name === '.' ? [] : name.split('.')) {
			value = value?.[key];
		}

		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

function formatValue(value, isJson) {
	if (isJson) {
		return value === undefined ? '' : JSON.stringify(value);
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value ?? '');
}

/** Renders a template as the users' page on deployments tells. */
export function renderTemplate(template, scopes) {
	const sectionPattern = /\{\{#(?<name>[\w.]+)\}\}(?<inner>[\s\S]*?)\{\{\/\k<name>\}\}/v;
	const section = sectionPattern.exec(template);
	if (section === null) {
		return template.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (_match, name, json) => formatValue(findValue(scopes, name), json !== undefined));
	}

	const {name, inner} = section.groups;
	const value = findValue(scopes, name);
	const entries = typeof value === 'object' ? Object.entries(value) : undefined;
	const own = value === undefined || value === false ? '' : renderTemplate(inner, scopes);
	const rendered = entries === undefined
		? own
		: entries.map(([key, entry], index) => renderTemplate(inner.replaceAll('{{@}}', key).replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''), [...scopes, entry])).join('');
	const end = section.index + section[0].length;
	return renderTemplate(template.slice(0, section.index), scopes) + rendered + renderTemplate(template.slice(end), scopes);
}

async function tryGetStatus(address) {
	return new Promise(resolve => {
		const request = http.get(`http://${address}/currantcross/ready`, {agent: false, timeout: 1000}, response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.on('timeout', () => {
			request.destroy();
		});
	});
}

/** Prepares a gateway: its settings file, rendered from the template of the deploy file, and the command of the deploy file. */
export function createGateway(fields) {
	const deployFile = readFileSync('deploy/system.toml', 'utf8');
	const [, command = ''] = /^run = "(?<command>[^"]+)"/mv.exec(deployFile) ?? [];
	const [, templateFile = ''] = /^template = "(?<file>[^"]+)"/mv.exec(deployFile) ?? [];
	const settingsFile = path.join(directory, `${fields.node}.json`);
	const logFile = path.join(directory, `${fields.node}.log`);
	writeFileSync(settingsFile, renderTemplate(readFileSync(templateFile, 'utf8'), [fields]));
	const [, ...commandArguments] = command.split(' ');
	let child;
	let exited;

	function start() {
		const log = openSync(logFile, 'a');
		child = spawn(process.execPath, commandArguments, {env: {PATH: process.env.PATH, HOME: process.env.HOME, CURRANTCROSS_SETTINGS: settingsFile}, stdio: ['ignore', log, log]});
		closeSync(log);
		const started = child;
		children.add(started);
		exited = new Promise(resolve => {
			started.once('exit', (code, signal) => {
				children.delete(started);
				record(`${fields.node} has ended: ${signal ?? `exit code ${code}`}`);
				resolve({code, signal});
			});
		});
		record(`${fields.node} is started`);
	}

	return {
		name: fields.node,
		address: fields.listen.front,
		getSettings: () => readFileSync(settingsFile, 'utf8'),
		start,
		isRunning: () => child.exitCode === null && child.signalCode === null,
		getLog: () => readFileSync(logFile, 'utf8'),
		kill(signal) {
			record(`${fields.node} gets ${signal}`);
			child.kill(signal);
		},
		async waitForExit() {
			return exited;
		},
		async waitUntilReady(limitMs = 15_000) {
			const from = getTime();
			// eslint-disable-next-line no-await-in-loop
			while (await tryGetStatus(fields.listen.ready) !== 200) {
				if (getTime() - from > limitMs) {
					throw new Error(`${fields.node} did not become ready:\n${readFileSync(logFile, 'utf8').slice(-2000)}`);
				}

				await sleep(20); // eslint-disable-line no-await-in-loop
			}

			record(`${fields.node} is ready`);
		},
	};
}

/** Adds the requests of a connection to a server to `handle`, each with its body. */
function readRequests(socket, handle) {
	let unread = Buffer.alloc(0);
	socket.on('data', bytes => {
		unread = Buffer.concat([unread, bytes]);
		for (let headEnd = unread.indexOf('\r\n\r\n'); headEnd !== -1; headEnd = unread.indexOf('\r\n\r\n')) {
			const [requestLine, ...fields] = unread.subarray(0, headEnd).toString('latin1').split('\r\n');
			const [method, target] = requestLine.split(' ');
			const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]));
			const end = headEnd + 4 + Number(headers['content-length'] ?? '0');
			if (unread.length < end) {
				return;
			}

			const body = unread.subarray(headEnd + 4, end);
			unread = unread.subarray(end);
			handle({
				method, target, headers, body,
			}, socket);
		}
	});
}

/** Starts a server. It answers reports and refuses what is meant for another one; `run` gets the requests that it runs. */
export async function startServer(id, run) {
	const born = Date.now();
	const server = net.createServer({noDelay: true}, socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		readRequests(socket, (request, requestSocket) => {
			if (request.target === '/currantcross/report') {
				const report = JSON.stringify({
					stage: 'both', models: [], busy: false, seq: 0, waiting: 0, running: 1, kvUsed: 0, kvTotal: 405_000, handles: 0, tickets: [], born,
				});
				requestSocket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
			} else if (request.headers['expect-instance'] === id) {
				run(request, requestSocket);
			} else {
				requestSocket.write(`HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${request.headers['request-id']}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`);
			}
		});
	});
	const port = await listen(server);
	return {id, address: `${host}:${port}`, born};
}

/** Returns the entry of a server in the store. */
export function createEntry(service, {address, born}, slots) {
	return {
		service, address, zone: 'qc-centre-a', version: 1, slots, state: 'ready', coldLeftMs: 0, seq: 0, born,
	};
}

const engine = {
	slots: 11, stride: 34, step_ms: 1.31, per_seq_ms: 0.000_917, context_per_k: 0.002_13, read_per_s: 154_000, pairs_per_m: 0.162, chunk: 2048, kvCapacity: 405_000, // eslint-disable-line camelcase
};

function createRoute(name, kind, service, timeoutMs) {
	return {
		name,
		host: 'club.example',
		pathPrefix: `/${name}/`,
		kind,
		service,
		timeoutMs,
		goalMs: 300,
		attempts: 1,
		resumable: false,
		gapAimMs: 250,
		priority: 1,
		public: false,
		sticky: kind === 'streaming',
	};
}

/** Returns a configuration with a route for bookings, one for look-ups and one for streams, for the tenants' keys. */
export function createConfiguration(version, keys) {
	return {
		version,
		routes: [createRoute('book', 'non_idempotent', 'desk', 15_000), createRoute('look', 'idempotent', 'desk', 15_000), createRoute('ask', 'streaming', 'model', 10_000)],
		services: [
			{
				name: 'model', healthPath: '/health', maxConns: 374, engine,
			}, {name: 'desk', healthPath: '/health', maxConns: 110},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
		},
		tenants: keys.map(key => ({name: `tenant-of-${key}`, apiKeys: [key], priority: 1})),
	};
}

let requestCount = 0;

/** Sends a request. Returns what its requester sees: the status and the body, whether the answer was whole, or the error of the channel. */
export async function sendRequest(address, {
	method = 'POST', target, key = 'key-1', body = '', remainingMs = 15_000, agent = false, headers = {},
}) {
	requestCount += 1;
	const id = `${process.pid.toString(16)}-${requestCount}`;
	const sentAt = getTime();
	return new Promise(resolve => {
		const end = result => {
			resolve({
				id, sentAt, endedAt: getTime(), ...result,
			});
		};

		const request = http.request(`http://${address}${target}`, {
			method,
			agent,
			headers: {
				Host: 'club.example', 'Request-Id': id, 'Deadline-Ms': String(remainingMs), Credential: key, 'Content-Length': String(Buffer.byteLength(body)), ...headers,
			},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				end({
					status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isWhole: response.complete,
				});
			});
		});
		request.on('error', error => {
			end({error: error.code ?? error.message});
		});
		request.end(body);
	});
}
