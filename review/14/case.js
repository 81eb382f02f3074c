/**
A machine of a deployment whose `graceS` is 7.5 gets SIGTERM while it forwards streams of two seconds. Each has to be delivered whole, well
within the grace.
*/
import {
	createConfiguration, createEntry, createFields, createGateway, getTime, hasTrouble, record, runCase, sendRequest, sleep, startServer, startStore,
} from '../lib-3/harness.js';

const graceS = 7.5;
const streamCount = 6;
const eventCount = 20;
const eventMs = 100;
const beforeStopMs = 500;
/** Until the machine is in touch. */
const touchMs = 4000;

await runCase(import.meta.dirname, async () => {
	const store = await startStore();
	store.write('config', 'main', createConfiguration(1, ['key-1']));
	const running = new Set();
	let stoppedAt = Number.POSITIVE_INFINITY;
	const server = await startServer('i-1', async ({headers}, socket) => {
		const id = headers['request-id'];
		running.add(id);
		record(`the server runs ${id}`);
		socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: 1.${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		for (let number = 1; number <= eventCount; number += 1) {
			if (socket.destroyed) {
				record(`the channel of ${id} to its server is closed before event ${number} of ${eventCount}, ${Math.round(getTime() - stoppedAt)} ms after SIGTERM`);
				return;
			}

			const event = `id: ${number}\ndata: ${number}\n\n`;
			socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
			await sleep(eventMs); // eslint-disable-line no-await-in-loop
		}

		socket.write('0\r\n\r\n');
	});
	store.write('servers', server.id, createEntry('model', server, 11));
	const gateway = createGateway(await createFields(store, 'front-1', {graceS}));
	record(`the settings have ${/"graceMs": \S+/v.exec(gateway.getSettings())?.[0]}`);
	gateway.start();
	await gateway.waitUntilReady();
	await sleep(touchMs);
	const headers = {Model: 'm', 'Token-Count': '100,20', 'Prompt-Prefix': 'aa:40,bb:60'};
	const prompt = {
		target: '/ask/1', body: 'a prompt', remainingMs: 10_000, headers,
	};
	const streams = Promise.all(Array.from({length: streamCount}, async () => sendRequest(gateway.address, prompt)));
	await sleep(beforeStopMs);
	if (running.size < streamCount) {
		throw new Error('not all streams have begun');
	}

	if (hasTrouble) {
		stoppedAt = getTime();
		gateway.kill('SIGTERM');
	}

	const answers = await streams;
	const cut = answers.filter(({isWhole}) => isWhole !== true);
	for (const {id, status, isWhole, body, error, endedAt} of answers) {
		const after = hasTrouble ? ` ${Math.round(endedAt - stoppedAt)} ms after SIGTERM` : '';
		record(`the stream ${id} ended${after}: status ${status}, ${body?.length} bytes, ${isWhole === true ? 'whole' : `cut off ${error ?? ''}`}`);
	}

	if (hasTrouble) {
		await gateway.waitForExit();
	}

	return cut.length > 0 ? `${cut.length} of ${streamCount} streams were cut off by a planned stop, long before the end of the grace` : undefined;
});
