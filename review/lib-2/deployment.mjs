/**
Starts gateways of the deploy file as separate processes on loopback, with a stand-in of the platform's store, and records what happens.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';

const root = path.resolve(import.meta.dirname, '..', '..');
const basePath = '/currantcross/objects/';
export const isTroubled = process.env.TROUBLE !== '0';

export async function wait(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Collects the lines of a case, which are written to its `record.txt` at the end. */
export function createRecord(directory) {
	const lines = [];
	const startedAt = performance.now();
	return {
		add(line) {
			lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
		},
		save() {
			writeFileSync(path.join(directory, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
}

export async function listen(server) {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${server.address().port}`;
}

export async function getFreeAddress() {
	const server = net.createServer();
	const address = await listen(server);
	server.close();
	await once(server, 'close');
	return address;
}

/** Starts a store that answers lists, watches, and the calls by which gateways write objects of their own. */
export async function startStore() {
	const kinds = new Map();
	const watches = new Set();
	let revision = 10;

	function getKind(kind) {
		const objects = kinds.get(kind) ?? new Map();
		kinds.set(kind, objects);
		return objects;
	}

	function write(kind, name, spec) {
		revision += 1;
		const createRev = getKind(kind).get(name)?.meta.createRev ?? revision;
		const object = {
			meta: {
				name, revision, createRev, finalizers: [], deleting: false,
			}, spec,
		};
		getKind(kind).set(name, object);
		for (const watch of watches) {
			if (watch.kind === kind) {
				watch.answer();
			}
		}

		return object;
	}

	function send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		response.end(JSON.stringify(body));
	}

	function answerWatch(response, kind, after, waitMs) {
		const objects = getKind(kind);
		const getEvents = () => [...objects.values()].filter(({meta}) => meta.revision > after).map(object => ({object, deleted: false}));
		const watch = {
			kind,
			answer() {
				clearTimeout(timer);
				watches.delete(watch);
				send(response, 200, {events: getEvents(), asOf: revision});
			},
		};
		const timer = setTimeout(() => {
			watch.answer();
		}, waitMs);
		watches.add(watch);
		if (getEvents().length > 0) {
			watch.answer();
		}
	}

	async function handle(message, response) {
		const url = new URL(message.url, 'http://store');
		const [kind, name = ''] = url.pathname.slice(basePath.length).split('/');
		const body = await text(message);
		switch (message.method) {
			case 'POST': {
				const {meta, spec} = JSON.parse(body);
				const existing = getKind(kind).get(meta.name);
				send(response, existing === undefined ? 201 : 409, existing ?? write(kind, meta.name, spec));
				return;
			}

			case 'PUT': {
				const isKnown = getKind(kind).has(name);
				send(response, isKnown ? 200 : 404, isKnown ? write(kind, name, JSON.parse(body).spec) : {});
				return;
			}

			case 'DELETE': {
				send(response, getKind(kind).delete(name) ? 200 : 404, {});
				return;
			}

			default: {
				if (url.searchParams.has('watch')) {
					answerWatch(response, kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs') ?? '0'));
				} else {
					send(response, 200, {items: [...getKind(kind).values()], truncated: false, asOf: revision});
				}
			}
		}
	}

	const server = http.createServer((message, response) => {
		handle(message, response).catch(() => undefined);
	});
	const address = await listen(server);
	return {
		address,
		write,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Lists a server in the store, as the server would do it. */
export function registerServer(store, {id, service, address, slots}) {
	store.write('servers', id, {
		service, address, zone: 'centre-a', version: 'v1', slots, state: 'ready', coldLeftMs: 0, seq: 1, born: Date.now(),
	});
}

/** Timing of the model servers, in the platform's form. */
const engine = JSON.parse(`{
	"slots": 11, "kvCapacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000,
	"pairs_per_m": 0.162, "chunk": 2048
}`);

/** Returns a configuration with the routes of a small deployment. */
export function createConfiguration() {
	const common = {
		host: 'ficu95.example', priority: 1, public: false, sticky: false,
	};
	return {
		version: 3,
		routes: [
			{
				...common, name: 'quick-ask', pathPrefix: '/lohu930/', kind: 'streaming', attempts: 2, resumable: true, timeoutMs: 10_000, goalMs: 300, gapAimMs: 250, sticky: true, service: 'bosun',
			},
			{
				...common, name: 'league-archive', pathPrefix: '/xeda118/', kind: 'streaming', attempts: 2, resumable: true, timeoutMs: 15_000, goalMs: 3000, gapAimMs: 1000, service: 'bosun',
			},
			{
				...common, name: 'slot-book', pathPrefix: '/puxa403/', kind: 'non_idempotent', attempts: 1, timeoutMs: 10_000, goalMs: 200, service: 'quai',
			},
			{
				...common, name: 'slot-look', pathPrefix: '/cuti104/', kind: 'idempotent', attempts: 2, timeoutMs: 10_000, goalMs: 200, service: 'quai',
			},
		],
		services: [
			{
				name: 'bosun', healthPath: '/health', maxConns: 374, engine,
			},
			{name: 'quai', healthPath: '/health', maxConns: 110},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'hule930', apiKeys: ['n2ctnfzs989anu6wsjnb'], priority: 1}],
	};
}

/** Starts the program of the deploy file with settings like those of a small deployment. */
export async function startGateway(store, name, directory) {
	const [callerAddress, readinessAddress, peerAddress, metricsAddress] = await Promise.all([getFreeAddress(), getFreeAddress(), getFreeAddress(), getFreeAddress()]);
	const settingsFile = path.join(directory, `${name}.json`);
	writeFileSync(settingsFile, JSON.stringify({
		name,
		dataCentre: 'centre-a',
		callerAddress,
		readinessAddress,
		peerAddress,
		metricsAddress,
		platformAddress: store.address,
		processorShare: 0.513,
		memoryMb: 350,
		maximumDescriptors: 4100,
		graceMs: 8000,
		revocationMs: 5000,
		memoryIdleMs: 9000,
		regions: {'centre-a': 'centre'},
		retries: {ratio: 0.2, fixedSends: 106, windowMs: 10_000},
	}));
	const logFile = path.join(directory, `${name}.log`);

	function start() {
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, ['--max-old-space-size=160', 'target/currantcross.cjs', 'gateway'], {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CURRANTCROSS_SETTINGS: settingsFile},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		return child;
	}

	const gateway = {
		name, callerAddress, readinessAddress, logFile, child: start(), restart() {
			gateway.child = start();
		},
	};
	return gateway;
}

export function hasEnded({exitCode, signalCode}) {
	return exitCode !== null || signalCode !== null;
}

/** Asks whether a gateway is ready, as the platform does. Returns the status, or 0 without an answer within a second. */
export async function checkReadiness({readinessAddress}) {
	return new Promise(resolve => {
		const request = http.get(`http://${readinessAddress}/currantcross/ready`, {agent: false, timeout: 1000}, response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(0);
		});
	});
}

export async function waitUntilReady(gateway) {
	const startedAt = performance.now();
	while (await checkReadiness(gateway) !== 200) { // eslint-disable-line no-await-in-loop
		if (hasEnded(gateway.child) || performance.now() - startedAt > 20_000) {
			throw new Error(`${gateway.name} did not become ready`);
		}

		await wait(50); // eslint-disable-line no-await-in-loop
	}
}

/** Returns the headers of a request as a requester sends them. */
export function createHeaders(requestId, deadlineMs, body) {
	return {
		host: 'ficu95.example',
		'request-id': requestId,
		'deadline-ms': String(deadlineMs),
		credential: 'n2ctnfzs989anu6wsjnb',
		...(body === undefined ? {} : {'content-length': String(Buffer.byteLength(body))}),
	};
}

/** Runs a case with a temporary folder and a store, ends all that it has started, and exits with its result. */
export async function runCase(directory, play) {
	const record = createRecord(directory);
	const folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const gateways = [];
	const store = await startStore();
	store.write('config', 'main', createConfiguration());
	let code = 2;
	const deadline = setTimeout(() => {
		record.add('the case took too long');
		finish();
	}, 110_000);

	function finish() {
		clearTimeout(deadline);
		record.add(`exit ${code}`);
		record.save();
		for (const {child} of gateways) {
			if (!hasEnded(child)) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		}

		if (process.env.KEEP_LOGS !== '1') {
			rmSync(folder, {recursive: true, force: true});
		}

		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	}

	try {
		const isBroken = await play({
			record, store, async startGateway(name) {
				const gateway = await startGateway(store, name, folder);
				gateways.push(gateway);
				return gateway;
			},
		});
		code = isBroken ? 1 : 0;
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
	}

	finish();
}
