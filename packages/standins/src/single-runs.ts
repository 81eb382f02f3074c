/**
Worker thread with callers whose requests may run once; the servers that run them have threads of their own. Counts what ran twice and what
was answered as not run though it ran.
*/
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parentPort, Worker} from 'node:worker_threads';
import {
	promisingStatuses, runSingleRunCallers, type Attempt, type CallerSettings,
} from './single-run-callers.js';
import type {SingleRunServerCommand, SingleRunServerReport, SingleRunServerSettings} from './single-run-server.js';

/** What the test asks of the worker. */
export type SingleRunsCommand
	= | Readonly<{kind: 'startServers'; storeAddress: string; service: string; count: number}>
	/** Lets callers use these gateways from now on. */
		| Readonly<{kind: 'setGateways'; addresses: readonly string[]}>
	/** Says that a gateway is being stopped or frozen, or no longer is. */
		| Readonly<{kind: 'setDisturbed'; address: string; isDisturbed: boolean}>
	/** Sends requests, and does the same to one server after the other. */
		| Readonly<{kind: 'send'; settings: CallerSettings; serverFault: ServerFault}>;

export type ServerFault = Readonly<{intervalMs: number; maximumCount: number; command: SingleRunServerCommand}>;

export type AttemptRecord = Readonly<{key: string; status: number | undefined; servers: readonly string[]}>;

export type SingleRunsResult = Readonly<{
	requests: number;
	actions: number;
	/** Responses with the status 200 that came whole. */
	served: number;
	/** Requests by the status of their responses; 0 stands for none. */
	statuses: Readonly<Record<string, number>>;
	/** Requests that ran more than once. */
	ranTwice: readonly AttemptRecord[];
	/** Requests that ran, and were answered with a status that says that they did not. */
	falsePromises: readonly AttemptRecord[];
	/** Actions whose requests ran more than once together. */
	actionsTwice: readonly number[];
	/** Requests that met no trouble, no refusal and no restart of a server, at a gateway that ran. */
	sound: number;
	soundServed: number;
	/** The sound requests that were not served. */
	soundFailed: readonly AttemptRecord[];
}>;

export type SingleRunsReply = Readonly<{kind: 'serversStarted'}> | Readonly<{kind: 'sendEnded'; result: SingleRunsResult}>;

type Disturbance = {readonly address: string; readonly from: number; until: number};

/** Time after the last answer in which a request may still run. */
const settleMs = 400;
const okStatus = 200;

const disturbances: Disturbance[] = [];
let addresses: readonly string[] = [];
const servers: Worker[] = [];
/** Ids of the servers that have run a request, once for each run. */
const runs = new Map<string, string[]>();
const disturbedKeys = new Set<string>();

function getRuns(key: string): readonly string[] {
	return runs.get(key) ?? [];
}

function handleReport(report: SingleRunServerReport): void {
	switch (report.kind) {
		case 'started': {
			return;
		}

		case 'ran': {
			runs.set(report.key, [...getRuns(report.key), report.instanceId]);
			return;
		}

		case 'disturbed': {
			disturbedKeys.add(report.key);
		}
	}
}

async function startServer(settings: SingleRunServerSettings): Promise<void> {
	const server = new Worker(new URL('single-run-server.js', import.meta.url), {workerData: settings});
	servers.push(server);
	await once(server, 'message');
	server.on('message', handleReport);
}

function isSound({key, fate, address, sentAt, endedAt}: Attempt): boolean {
	return fate.kind === 'serve' && !disturbedKeys.has(key)
		&& !disturbances.some(other => other.address === address && sentAt < other.until && endedAt > other.from);
}

function isServed({status, isComplete}: Attempt): boolean {
	return status === okStatus && isComplete;
}

function createRecord({key, status}: Attempt): AttemptRecord {
	return {key, status, servers: getRuns(key)};
}

function summariseAttempts(attempts: readonly Attempt[]): SingleRunsResult {
	const runsByAction = new Map<number, number>();
	const statuses: Record<string, number> = {};
	for (const {key, action, status = 0} of attempts) {
		runsByAction.set(action, (runsByAction.get(action) ?? 0) + getRuns(key).length);
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	const sound = attempts.filter(attempt => isSound(attempt));
	return {
		requests: attempts.length,
		actions: runsByAction.size,
		served: attempts.filter(attempt => isServed(attempt)).length,
		statuses,
		ranTwice: attempts.filter(({key}) => getRuns(key).length > 1).map(attempt => createRecord(attempt)),
		falsePromises: attempts.filter(({key, status}) => status !== undefined && promisingStatuses.has(status) && getRuns(key).length > 0).map(attempt => createRecord(attempt)),
		actionsTwice: [...runsByAction].filter(([, runs]) => runs > 1).map(([action]) => action),
		sound: sound.length,
		soundServed: sound.filter(attempt => isServed(attempt)).length,
		soundFailed: sound.filter(attempt => !isServed(attempt)).map(attempt => createRecord(attempt)),
	};
}

/** Lets the servers meet a fault in turn until the signal is aborted. */
async function breakServers({intervalMs, maximumCount, command}: ServerFault, signal: AbortSignal): Promise<void> {
	for (let index = 0; index < maximumCount && !signal.aborted; index += 1) {
		try {
			await wait(intervalMs, undefined, {signal}); // eslint-disable-line no-await-in-loop -- one server at a time
			servers[index % servers.length]?.postMessage(command);
		} catch (error) {
			if (!signal.aborted) {
				throw error;
			}
		}
	}
}

function sendReply(message: SingleRunsReply): void {
	parentPort?.postMessage(message);
}

async function handleCommand(command: SingleRunsCommand): Promise<void> {
	switch (command.kind) {
		case 'startServers': {
			const {storeAddress, service, count} = command;
			await Promise.all(Array.from({length: count}, async (_, index) => startServer({
				name: `server-${index + 1}`, storeAddress, service, port: 0,
			})));
			sendReply({kind: 'serversStarted'});
			return;
		}

		case 'setGateways': {
			({addresses} = command);
			return;
		}

		case 'setDisturbed': {
			const {address, isDisturbed} = command;
			if (isDisturbed) {
				disturbances.push({address, from: performance.now(), until: Number.POSITIVE_INFINITY});
			}

			for (const disturbance of disturbances.filter(other => !isDisturbed && other.address === address)) {
				disturbance.until = Math.min(disturbance.until, performance.now());
			}

			return;
		}

		case 'send': {
			const controller = new AbortController();
			const faults = breakServers(command.serverFault, controller.signal);
			const attempts = await runSingleRunCallers(command.settings, () => addresses);
			await wait(settleMs);
			controller.abort();
			await faults;
			sendReply({kind: 'sendEnded', result: summariseAttempts(attempts)});
		}
	}
}

parentPort?.on('message', (command: SingleRunsCommand) => {
	void handleCommand(command);
});
process.on('unhandledRejection', error => {
	throw error;
});
