/**
Six model servers and six business servers, whose answers come with neither a length nor chunks. In each round one server of each service
crashes in the middle of an answer, right after it has sent a part of it: its connections are reset. It is back three seconds later. The
script looks at what the callers get; other servers are there to resume the stream and to answer the idempotent request.
*/
import process from 'node:process';
import {
	callModel, callRaw, createRecord, readRequests, refuseMisdirected, runCase, startDeployment, startModelServer, startTcpServer, wait,
} from '../lib/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const eventCount = 30;
const pauseMs = 50;
const rounds = 4;
const downMs = 3000;
const crashAtEvent = 8;
const serversPerService = 6;

await runCase(async () => {
	const record = createRecord('record.txt');
	const servers = new Map();
	const deployment = await startDeployment();
	/** Services one of whose servers is to crash in this round. */
	const pendingCrashes = new Set();

	function crash(name) {
		const {server, service} = servers.get(name);
		record(name, 'crashes');
		server.crash();
		setTimeout(async () => {
			await server.restart();
			servers.get(name).startedAt += 1;
			deployment.registerServer(name, server.address, service, {born: servers.get(name).startedAt});
			record(name, 'is back');
		}, downMs);
	}

	function crashOnce(name, service) {
		if (pendingCrashes.delete(service)) {
			setImmediate(crash, name);
			return true;
		}

		return false;
	}

	function getWholeAnswer(id) {
		return `answer to ${id} `.repeat(40);
	}

	async function startBusinessServer(name) {
		return startTcpServer(socket => {
			readRequests(socket, ({headers}) => {
				const id = headers.get('request-id');
				if (id === undefined) {
					socket.write('HTTP/1.1 400 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n');
					return;
				}

				if (refuseMisdirected(socket, name, {headers})) {
					return;
				}

				record(name, 'runs', id);
				const answer = getWholeAnswer(id);
				socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${name}\r\nConnection: close\r\n\r\n${answer.slice(0, answer.length / 2)}`);
				if (!crashOnce(name, 'shop')) {
					socket.end(answer.slice(answer.length / 2));
				}
			});
		});
	}

	for (let number = 1; number <= serversPerService; number += 1) {
		const model = `m-${number}`;
		// eslint-disable-next-line no-await-in-loop
		const modelServer = await startModelServer(model, {
			record, eventCount, pauseMs, onEvent({name, event}) {
				if (event === crashAtEvent) {
					crashOnce(name, 'models');
				}
			},
		});
		const business = `s-${number}`;
		const businessServer = await startBusinessServer(business); // eslint-disable-line no-await-in-loop
		for (const [name, server, service] of [[model, modelServer, 'models'], [business, businessServer, 'shop']]) {
			servers.set(name, {server, service, startedAt: 5});
			deployment.registerServer(name, server.address, service);
		}
	}

	await deployment.start();
	await wait(1000);
	const [{callerAddress}] = deployment.gateways;
	let brokenCount = 0;

	async function ask(id) {
		record('client sends', id);
		const {startLine, events, end, isFramed, looksComplete} = await callModel(callerAddress, id);
		const framing = isFramed ? 'framed' : 'neither a length nor chunks';
		record('client gets', startLine, 'for', id, `with ${events.length} of ${eventCount} events, ${framing}, connection end: ${end}, looks complete: ${looksComplete}`);
		brokenCount += events.length < eventCount && looksComplete ? 1 : 0;
	}

	async function look(id) {
		record('client sends', id);
		const {startLine, headers, body, end} = await callRaw(callerAddress, {
			target: `/look/${id}`, headers: {
				Host: 'a.example', 'Request-Id': id, 'Deadline-Ms': 3000, Credential: 'key-1', Connection: 'close',
			},
		});
		const length = headers.get('content-length') ?? 'none';
		const isSuccess = startLine.includes(' 200 ') && headers.has('response-stamp') && end === 'fin' && (length === 'none' || Number(length) === body.length);
		const isWhole = body === getWholeAnswer(id);
		record('client gets', startLine, 'for', id, `with ${body.length} of ${getWholeAnswer(id).length} bytes, length: ${length}, connection end: ${end}, looks complete: ${isSuccess}`);
		brokenCount += isSuccess && !isWhole ? 1 : 0;
	}

	for (let round = 1; round <= rounds; round += 1) {
		if (hasTrouble) {
			pendingCrashes.add('models').add('shop');
		}

		await ask(`ask-${round}`); // eslint-disable-line no-await-in-loop
		await look(`look-${round}`); // eslint-disable-line no-await-in-loop
		await wait(downMs + 1500); // eslint-disable-line no-await-in-loop
	}

	await deployment.close();
	record(`${brokenCount} of ${2 * rounds} answers look complete and are not`);
	process.stdout.write(`${brokenCount} of ${2 * rounds} answers look complete and are not\n`);
	return brokenCount > 0;
});
