/**
A model server in trouble spoils some of its answers: an error whose body comes in small chunks without end. The gateways that hold it run out
of memory, and with their processes end the requests that sound servers work on.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {
	hasEnded, isTroubled, runCase, wait, waitUntilReady,
} from '../lib-2/deployment.mjs';
import {
	createPromptHeaders, formatHead, getReadingMs, sendRequest, startServer, streamEvents, writeWithoutEnd,
} from '../lib-2/servers.mjs';

const playMs = 37_000;
/** When the server is in trouble: first after more than `stableWindowMs` of calm. */
const troubleTimesMs = [4000, 12_000, 20_000, 28_000];
const troubleMs = 5000;
/** Requests of each kind, and the number of channels of each gateway on which they come one after the other. */
const kinds = [
	{
		name: 'slot-book', path: '/puxa403/2f', deadlineMs: 3000, promptTokens: undefined, channels: 4,
	},
	{
		name: 'quick-ask', path: '/lohu930/2f', deadlineMs: 10_000, promptTokens: 4960, channels: 6,
	},
];
const restartMs = 300;
const stream = {eventCount: 10, pauseMs: 45};
const chunks = Buffer.from('1\r\nx\r\n'.repeat(2048));
/** So many machines whose processes end by themselves so often break the rule. */
const faultMachines = 2;
const faultEnds = 3;

await runCase(import.meta.dirname, async ({record, store, startGateway}) => {
	let answers = 0;
	let spoiltAnswers = 0;
	/** Gateways whose next answer from the server in trouble has no end. */
	const troubled = new Set();
	const soundServers = await Promise.all([1, 2, 3].map(async index => startServer(store, record, {id: `i-quai-${index}`, service: 'quai', slots: 6})));
	const [soundModelServer] = await Promise.all(['i-bosun-1', 'i-bosun-2'].map(async id => startServer(store, record, {
		id, service: 'bosun', slots: 11, async answer(message, response, requestId) {
			const sender = [...troubled].find(name => requestId.includes(name));
			answers += id === 'i-bosun-2' ? 1 : 0;
			if (sender === undefined || id !== 'i-bosun-2') {
				await streamEvents(response, requestId, {...stream, firstMs: getReadingMs(message)});
				return true;
			}

			troubled.delete(sender);
			spoiltAnswers += 1;
			record.add(`${id} answers ${requestId} without end`);
			message.socket.write(formatHead('500 Internal Server Error', requestId, {'Transfer-Encoding': 'chunked'}));
			writeWithoutEnd(message.socket, chunks);
			return true;
		},
	})));
	const gateways = [await startGateway('front-1'), await startGateway('front-2')];
	await Promise.all(gateways.map(async gateway => waitUntilReady(gateway)));
	const startedAt = performance.now();
	const isOver = () => performance.now() - startedAt > playMs;
	const ends = new Map();
	const closed = [];
	const isRunBySoundServer = requestId => [...soundServers, soundModelServer].some(({runs}) => runs.has(requestId));
	let answered = 0;

	/** Starts a gateway again whenever its process ends, as the platform does. */
	async function keepRunning(gateway) {
		while (!isOver()) {
			if (hasEnded(gateway.child)) {
				ends.set(gateway.name, (ends.get(gateway.name) ?? 0) + 1);
				record.add(`${gateway.name} ended by itself: code ${gateway.child.exitCode}, signal ${gateway.child.signalCode}`);
				await wait(restartMs); // eslint-disable-line no-await-in-loop
				gateway.restart();
			}

			await wait(20); // eslint-disable-line no-await-in-loop
		}
	}

	/** Sends requests on one kept channel, one after the other. */
	async function runChannel(gateway, channel, {name, path, deadlineMs, promptTokens}) {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		for (let index = 1; !isOver(); index += 1) {
			const requestId = `${name}-${gateway.name}-${channel}-${index}`;
			// eslint-disable-next-line no-await-in-loop
			const result = await sendRequest(gateway, {
				agent, requestId, path, deadlineMs, headers: promptTokens === undefined ? {} : createPromptHeaders(requestId, promptTokens),
			});
			record.add(`${requestId} ${result.kind} ${result.status ?? ''}`);
			answered += result.status === 200 && result.kind === 'answered' ? 1 : 0;
			if (result.kind === 'closed' && result.status === undefined && result.isKept && isRunBySoundServer(requestId)) {
				closed.push(requestId);
			}

			await wait(result.kind === 'answered' ? 20 : 200); // eslint-disable-line no-await-in-loop
		}

		agent.destroy();
	}

	for (const at of isTroubled ? troubleTimesMs : []) {
		setTimeout(() => {
			for (const {name} of gateways) {
				troubled.add(name);
			}
		}, at);
		setTimeout(() => {
			troubled.clear();
		}, at + troubleMs);
	}

	await Promise.all([
		...gateways.map(async gateway => keepRunning(gateway)),
		...gateways.flatMap(gateway => kinds.flatMap(kind => Array.from({length: kind.channels}, async (_, channel) => runChannel(gateway, channel, kind)))),
	]);
	record.add(`answered with success: ${answered}; answers of the server in trouble: ${answers}, of these without end: ${spoiltAnswers}`);
	record.add(`processes that ended by themselves: ${JSON.stringify(Object.fromEntries(ends))}`);
	record.add(`run by a sound server, kept channel closed without an answer: ${closed.length}: ${closed.join(' ')}`);
	return [...ends.values()].filter(count => count >= faultEnds).length >= faultMachines;
});
