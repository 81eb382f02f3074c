/**
A model server in trouble sends, in place of events, bytes without end in small chunks. The gateway that reads a few such answers does nothing
else for seconds, and bookings get no answer when the timeout of their route has passed.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {
	checkReadiness, createConfiguration, isTroubled, runCase, wait, waitUntilReady,
} from '../lib-2/deployment.mjs';
import {
	createPromptHeaders, formatHead, getReadingMs, sendRequest, startServer, streamEvents, writeAtRate,
} from '../lib-2/servers.mjs';

const playMs = 24_000;
/** When the server is in trouble: first after more than `stableWindowMs` of calm. */
const troubleTimesMs = [4000, 14_000];
const troubleMs = 5000;
/** Number of answers without end each time. */
const endlessAnswers = 3;
const promptChannels = 6;
const bookingIntervalMs = 250;
const bookingTimeoutMs = 1500;
const bookingLimitMs = 3000;
/** What each of these answers sends, 1 MB a second. */
const chunks = Buffer.from('1\r\nx\r\n'.repeat(8333));
const chunksIntervalMs = 50;
/** The bound of the rule: so many requests, and such a share of those that last longer than the timeout, half a second after it. */
const slackMs = 500;
const minimumCount = 8;
const minimumShare = 0.25;

await runCase(import.meta.dirname, async ({record, store, startGateway}) => {
	let endlessLeft = 0;
	const configuration = createConfiguration();
	store.write('config', 'main', {
		...configuration, version: 5, routes: configuration.routes.map(route => route.name === 'slot-book' ? {...route, timeoutMs: bookingTimeoutMs} : route),
	});
	await Promise.all([1, 2, 3].map(async index => startServer(store, record, {id: `i-quai-${index}`, service: 'quai', slots: 6})));
	await Promise.all(['i-bosun-1', 'i-bosun-2'].map(async id => startServer(store, record, {
		id, service: 'bosun', slots: 11, async answer(message, response, requestId) {
			if (endlessLeft === 0 || id !== 'i-bosun-2') {
				await streamEvents(response, requestId, {eventCount: 10, pauseMs: 45, firstMs: getReadingMs(message)});
				return true;
			}

			endlessLeft -= 1;
			record.add(`${id} answers ${requestId} without end`);
			message.socket.write(formatHead('200 OK', requestId, {'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}));
			writeAtRate(message.socket, chunks, chunksIntervalMs);
			return true;
		},
	})));
	const gateway = await startGateway('front-1');
	await waitUntilReady(gateway);
	const startedAt = performance.now();
	const isOver = () => performance.now() - startedAt > playMs;
	const results = [];
	let readinessMisses = 0;

	/** Sends short prompts on one kept channel, one after the other. */
	async function runPrompts(channel) {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		for (let index = 1; !isOver(); index += 1) {
			const requestId = `quick-ask-${channel}-${index}`;
			// eslint-disable-next-line no-await-in-loop
			const {kind, status} = await sendRequest(gateway, {
				agent, requestId, path: '/lohu930/2f', deadlineMs: 10_000, headers: createPromptHeaders(requestId, 4960),
			});
			record.add(`${requestId} ${kind} ${status ?? ''}`);
			await wait(100); // eslint-disable-line no-await-in-loop
		}

		agent.destroy();
	}

	async function sendBooking(agent, index) {
		const requestId = `slot-book-${index}`;
		const result = await sendRequest(gateway, {
			agent, requestId, path: '/puxa403/2f', deadlineMs: bookingLimitMs,
		});
		record.add(`${requestId} ${result.kind} ${result.status ?? ''} after ${result.endedAfterMs.toFixed(0)} ms`);
		results.push(result);
	}

	async function runBookings() {
		const agent = new http.Agent({keepAlive: true});
		const bookings = [];
		for (let index = 1; !isOver(); index += 1) {
			bookings.push(sendBooking(agent, index));
			await wait(bookingIntervalMs); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(bookings);
		agent.destroy();
	}

	/** Asks once a second whether the gateway is ready, as the platform does. */
	async function runChecks() {
		while (!isOver()) {
			const status = await checkReadiness(gateway); // eslint-disable-line no-await-in-loop
			if (status !== 200) {
				readinessMisses += 1;
				record.add('no answer to the readiness check within a second');
			}

			await wait(1000); // eslint-disable-line no-await-in-loop
		}
	}

	for (const at of isTroubled ? troubleTimesMs : []) {
		setTimeout(() => {
			endlessLeft = endlessAnswers;
		}, at);
		setTimeout(() => {
			endlessLeft = 0;
		}, at + troubleMs);
	}

	await Promise.all([runBookings(), runChecks(), ...Array.from({length: promptChannels}, async (_, channel) => runPrompts(channel))]);
	const late = results.filter(({endedAfterMs}) => endedAfterMs > bookingTimeoutMs);
	const unanswered = late.filter(({kind, endedAfterMs}) => kind !== 'answered' || endedAfterMs > bookingTimeoutMs + slackMs);
	record.add(`bookings: ${results.length}, answered with success: ${results.filter(({status}) => status === 200).length}, readiness checks without an answer: ${readinessMisses}`);
	record.add(`longer than their route's timeout of ${bookingTimeoutMs} ms: ${late.length}, of these without a final answer ${slackMs} ms later: ${unanswered.length}`);
	return unanswered.length >= minimumCount && unanswered.length > minimumShare * late.length;
});
