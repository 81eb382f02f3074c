/**
Five gateways and three sound model servers, whose streams come with neither a length nor chunks and last longer than the grace period.
In the first round one gateway gets SIGTERM while it passes on streams, and SIGKILL after the grace period if it still runs; in the second
round another one gets SIGKILL at once. Each is started again. The script looks at how these streams end for their callers.
*/
import {once} from 'node:events';
import process from 'node:process';
import {
	callModel, createRecord, runCase, startDeployment, startModelServer, wait,
} from '../lib/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const eventCount = 40;
/** Below the longest pause of the route, 250 ms; the whole stream stays below its time limit, 10 s. */
const pauseMs = 235;
const graceMs = 8000;
/** What the gateway of each round gets. */
const signals = ['SIGTERM', 'SIGKILL'];
const streamsPerRound = 5;

await runCase(async () => {
	const record = createRecord('record.txt');
	const deployment = await startDeployment({gateways: 5});
	for (const name of ['m-1', 'm-2', 'm-3']) {
		const server = await startModelServer(name, {record, eventCount, pauseMs}); // eslint-disable-line no-await-in-loop
		deployment.registerServer(name, server.address, 'models');
	}

	await deployment.start();
	await wait(1000);
	const brokenCounts = new Map(signals.map(signal => [signal, 0]));

	async function ask(id, signal, {callerAddress, name}) {
		record('client sends', id, 'to', name);
		const {startLine, events, end, isFramed, looksComplete} = await callModel(callerAddress, id);
		const framing = isFramed ? 'framed' : 'neither a length nor chunks';
		record('client gets', startLine, 'for', id, `with ${events.length} of ${eventCount} events, ${framing}, connection end: ${end}, looks complete: ${looksComplete}`);
		brokenCounts.set(signal, brokenCounts.get(signal) + (events.length < eventCount && looksComplete ? 1 : 0));
	}

	async function stop({child, name}, signal) {
		const exited = once(child, 'exit');
		record(name, 'gets', signal);
		child.kill(signal);
		const timer = setTimeout(() => {
			record(name, 'gets SIGKILL after the grace period');
			child.kill('SIGKILL');
		}, graceMs);
		await exited;
		clearTimeout(timer);
		record(name, 'has ended');
	}

	for (const [round, signal] of signals.entries()) {
		const gateway = deployment.gateways[round];
		const calls = Array.from({length: streamsPerRound}, async (_, index) => ask(`ask-${round}-${index}`, signal, gateway));
		await wait(signal === 'SIGTERM' ? 500 : eventCount * pauseMs / 2); // eslint-disable-line no-await-in-loop
		if (hasTrouble) {
			await stop(gateway, signal); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(calls); // eslint-disable-line no-await-in-loop
		if (hasTrouble) {
			deployment.spawnGateway(gateway);
			await deployment.waitUntilReady(gateway); // eslint-disable-line no-await-in-loop
			record(gateway.name, 'is back');
		}

		await wait(1500); // eslint-disable-line no-await-in-loop
	}

	await deployment.close();
	const text = `streams that end as complete before their last event: ${[...brokenCounts].map(([signal, count]) => `${signal} ${count} of ${streamsPerRound}`).join(', ')}`;
	record(text);
	process.stdout.write(`${text}\n`);
	return [...brokenCounts.values()].some(count => count > 0);
});
