/**
Three gateways and 24 model servers. One part of a prompt crashes each server that begins to write an answer on it. Sound requests with the
same key and first part come from one caller, over a channel that stays with the first gateway; the others come from other callers at all
gateways. The script compares how often the sound requests with the same first part begin at the first attempt before and after.
*/
import http from 'node:http';
import process from 'node:process';
import {
	call, createConfiguration, createRecord, formatResponse, readRequests, refuseMisdirected, runCase, soundReport, startDeployment, startTcpServer, wait,
} from '../lib/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const eventCount = 6;
const pauseMs = 20;
const downMs = 3000;
const serverCount = 24;
const otherIntervalMs = 25;
const soundIntervalMs = 1500;
const crashingIntervalMs = 900;
/** Sound requests before the crashes, and after them. */
const baselineCount = 22;
const comparedCount = 22;
const stableWindowMs = 3000;

await runCase(async () => {
	const record = createRecord('record.txt');
	const deployment = await startDeployment({gateways: 3, configuration: createConfiguration(3, {keys: ['key-1', 'key-2']})});
	const begun = new Set();
	const crashTimes = [];

	function crash(name, server, state) {
		record(name, 'crashes');
		crashTimes.push(performance.now());
		server.crash();
		setTimeout(async () => {
			await server.restart();
			state.startedAt += 1;
			deployment.registerServer(name, server.address, 'models', {born: state.startedAt});
			record(name, 'is back');
		}, downMs);
	}

	async function startServer(name) {
		const state = {startedAt: 5};
		const server = await startTcpServer(socket => {
			readRequests(socket, async ({target, headers}) => {
				if (target === '/currantcross/report') {
					socket.write(formatResponse(200, {'Content-Type': 'application/json'}, soundReport.replace('"born":5', `"born":${state.startedAt}`)));
					return;
				}

				if (refuseMisdirected(socket, name, {headers})) {
					return;
				}

				const id = headers.get('request-id');
				begun.add(id);
				record(name, 'runs', id, headers.get('prompt-prefix'));
				await wait(pauseMs);
				if (socket.destroyed) {
					return;
				}

				socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${name}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
				if (headers.get('prompt-prefix').includes('bad0:')) {
					crash(name, server, state);
					return;
				}

				for (let event = Number(headers.get('last-event-id') ?? '0') + 1; event <= eventCount && !socket.destroyed; event += 1) {
					const text = `id: ${event}\ndata: ${event}\n\n`;
					socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
					await wait(pauseMs); // eslint-disable-line no-await-in-loop
				}

				if (!socket.destroyed) {
					socket.write('0\r\n\r\n');
				}
			});
		});
		deployment.registerServer(name, server.address, 'models');
	}

	for (let number = 1; number <= serverCount; number += 1) {
		await startServer(`m-${number}`); // eslint-disable-line no-await-in-loop
	}

	await deployment.start();
	await wait(1500);
	let number = 0;
	const stopping = new AbortController();

	async function ask(kind, {key, segments, gateway, agent}) {
		number += 1;
		const id = `${kind}-${number}`;
		const {status, body, headers, error} = await call(gateway.callerAddress, {
			method: 'POST',
			target: `/ask/${id}`,
			headers: {
				Host: 'a.example', 'Request-Id': id, 'Deadline-Ms': 10_000, Credential: key, Model: 'm', 'Token-Count': '2000,100', 'Prompt-Prefix': `${segments},${number.toString(16)}:1500`,
			},
			body: `question ${id}`,
		}, agent);
		if (kind !== 'other' || status !== 200) {
			record('client gets', status, 'for', id, 'from', gateway.name, status === 200 ? '' : `${error ?? ''} ${headers['retry-after'] ?? ''} ${body.slice(0, 160).replaceAll('\n', ' ')}`);
		}

		return {id, status};
	}

	async function runOthers() {
		const calls = [];
		for (let index = 0; !stopping.signal.aborted; index += 1) {
			const gateway = deployment.gateways[index % deployment.gateways.length];
			calls.push(ask('other', {key: 'key-2', segments: `c${index % 30}:40`, gateway}));
			await wait(otherIntervalMs); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(calls);
	}

	const keptChannel = new http.Agent({keepAlive: true, maxSockets: 1});
	async function askSound() {
		return ask('sound', {
			key: 'key-1', segments: 'aa:40', gateway: deployment.gateways[0], agent: keptChannel,
		});
	}

	const others = runOthers();
	let baselineBegun = 0;
	for (let index = 0; index < baselineCount; index += 1) {
		const {id} = await askSound(); // eslint-disable-line no-await-in-loop
		baselineBegun += begun.has(id) ? 1 : 0;
		await wait(soundIntervalMs / 2); // eslint-disable-line no-await-in-loop
	}

	const crashing = [];
	async function runCrashing() {
		for (let index = 0; !stopping.signal.aborted; index += 1) {
			const gateway = deployment.gateways[1 + (index % 2)];
			crashing.push(ask('crashing', {key: 'key-1', segments: 'aa:40,bad0:300', gateway}));
			await wait(index === 0 ? crashingIntervalMs / 3 : crashingIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}

	await askSound();
	const crashingRequests = hasTrouble ? runCrashing() : undefined;
	const startedAt = performance.now();
	let comparedBegun = 0;
	let compared = 0;
	while (compared < comparedCount) {
		await wait(soundIntervalMs); // eslint-disable-line no-await-in-loop
		const comparedFrom = (crashTimes[Math.min(4, crashTimes.length - 1)] ?? startedAt) + (2 * stableWindowMs);
		const isCompared = performance.now() > comparedFrom;
		const {id} = await askSound(); // eslint-disable-line no-await-in-loop
		compared += isCompared ? 1 : 0;
		comparedBegun += isCompared && begun.has(id) ? 1 : 0;
	}

	stopping.abort();
	await Promise.all([others, crashingRequests]);
	await Promise.all(crashing);
	await deployment.close();
	const counts = `${baselineBegun} of ${baselineCount} before, ${comparedBegun} of ${compared} later than twice stableWindowMs after the fifth crash or the last`;
	const text = `sound requests with the first part that begin at the first attempt: ${counts}; ${crashTimes.length} crashes, ${crashing.length} crashing requests of ${number}`;
	record(text);
	process.stdout.write(`${text}\n`);
	return comparedBegun / compared < baselineBegun / baselineCount / 2;
});
