/**
Worker thread with callers that leave after a time without a response, and another one with the servers that they reach, so that both go
on while the gateway's thread stands still. Reports the requests that reached a server after their callers had left.
*/
import {once} from 'node:events';
import type net from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parentPort, Worker} from 'node:worker_threads';
import type {ResponseBehaviour} from './arrival-servers.js';
import type {ArrivalServersCommand, ArrivalServersReply} from './arrival-servers-thread.js';
import {
	formatRequest, breakConnection, openConnection, waitForStatus, type CallResult,
} from './impatient-caller.js';
import {runCrowd, type CrowdSettings} from './impatient-crowd.js';
import {getSharedTime} from './shared-clock.js';

/** What the test asks of the worker. */
export type ImpatientCallersCommand
	= | Readonly<{kind: 'startServers'; instanceIds: readonly string[]}>
	/** Sends a request on each of `count` connections, `delayMs` from now. */
		| Readonly<{
			kind: 'send'; count: number; address: string; path: string; delayMs: number; patienceMs: number; behaviour: ResponseBehaviour;
			/** Whether the connections are opened together with the requests, and each fourth of them is silent. */
			isNewAtSend?: boolean;
		}>
		/** Sends requests to several gateways at a steady rate. */
		| Readonly<{kind: 'sendAtRate'; behaviour: ResponseBehaviour; settings: CrowdSettings}>;

/** Arrivals at servers, and responses, of the requests of one round. */
export type RoundResult = Readonly<{
	/** Times between the caller's leaving and the arrival at a server, for requests that arrived after it. */
	lateArrivalsMs: readonly number[];
	/** Ids of these requests. */
	lateRequestIds: readonly string[];
	arrivals: number;
	responses: number;
	/** Responses with the status 200. */
	served: number;
	requests: number;
}>;

export type ImpatientCallersReply
	= | Readonly<{kind: 'serversStarted'; addresses: readonly string[]}>
		| Readonly<{kind: 'roundEnded'; result: RoundResult}>;

type SendCommand = Extract<ImpatientCallersCommand, {kind: 'send'}>;

/** Every third caller resets its connection when it leaves; the others close it. */
const resetInterval = 3;
/** Every second caller has used its connection before. */
const reuseInterval = 2;
/** Of the connections that are opened with the requests, as many of this many send nothing, in a row, as a turn needs to see none. */
const silentInterval = 16;
const silentCount = 4;
/** Time after the last caller has left in which its request may still reach a server. */
const settleMs = 2500;
const okStatus = 200;

const servers = new Worker(new URL('arrival-servers-thread.js', import.meta.url));
let roundCount = 0;

async function askServers(command: ArrivalServersCommand): Promise<ArrivalServersReply> {
	return new Promise(resolve => {
		servers.once('message', resolve);
		servers.postMessage(command);
	});
}

/** Opens the connection of a caller, and uses it or not. */
async function openSocket(index: number, requestId: string, {address, patienceMs}: SendCommand): Promise<net.Socket> {
	const socket = openConnection(address);
	await once(socket, 'connect');
	if (index % reuseInterval === 0) {
		socket.write(formatRequest('/book/look/warm', `warm-${requestId}`));
		await waitForStatus(socket, patienceMs);
	}

	return socket;
}

async function runCaller(index: number, command: SendCommand): Promise<CallResult> {
	const {path, delayMs, patienceMs, isNewAtSend = false} = command;
	const requestId = `${roundCount}-${index}`;
	const openedSocket = isNewAtSend ? undefined : await openSocket(index, requestId, command);
	await wait(delayMs);
	const socket = openedSocket ?? openConnection(command.address);
	const isSilent = isNewAtSend && index % silentInterval < silentCount;
	if (!isSilent) {
		socket.write(formatRequest(path, requestId));
	}

	const status = await waitForStatus(socket, patienceMs);
	const leftAt = status === undefined ? getSharedTime() : undefined;
	breakConnection(socket, index % resetInterval === 0 ? 'reset' : 'close');
	return {requestId, status, leftAt};
}

/** Waits until nothing of a round can arrive any more, and sums it up. */
async function summariseRound(calls: readonly CallResult[]): Promise<RoundResult> {
	await wait(settleMs);
	const leftAtById = new Map(calls.map(({requestId, leftAt}) => [requestId, leftAt]));
	const {arrivals} = await askServers({kind: 'getArrivals'});
	const roundArrivals = arrivals.filter(({requestId}) => leftAtById.has(requestId));
	const lateArrivals = roundArrivals.map(({requestId, at}) => ({requestId, lateMs: at - (leftAtById.get(requestId) ?? Number.POSITIVE_INFINITY)})).filter(({lateMs}) => lateMs > 0);
	return {
		lateArrivalsMs: lateArrivals.map(({lateMs}) => lateMs),
		lateRequestIds: lateArrivals.map(({requestId}) => requestId),
		arrivals: roundArrivals.length,
		responses: calls.filter(({leftAt}) => leftAt === undefined).length,
		served: calls.filter(({status}) => status === okStatus).length,
		requests: calls.length,
	};
}

function sendReply(message: ImpatientCallersReply): void {
	parentPort?.postMessage(message);
}

async function handleCommand(command: ImpatientCallersCommand): Promise<void> {
	switch (command.kind) {
		case 'startServers': {
			const {addresses} = await askServers({kind: 'startServers', instanceIds: command.instanceIds});
			sendReply({kind: 'serversStarted', addresses});
			return;
		}

		case 'send': {
			roundCount += 1;
			await askServers({kind: 'setBehaviour', behaviour: command.behaviour});
			const calls = await Promise.all(Array.from({length: command.count}, async (_, index) => runCaller(index, command)));
			sendReply({kind: 'roundEnded', result: await summariseRound(calls)});
			return;
		}

		case 'sendAtRate': {
			roundCount += 1;
			await askServers({kind: 'setBehaviour', behaviour: command.behaviour});
			sendReply({kind: 'roundEnded', result: await summariseRound(await runCrowd(String(roundCount), command.settings))});
		}
	}
}

parentPort?.on('message', (command: ImpatientCallersCommand) => {
	void handleCommand(command);
});
process.on('unhandledRejection', error => {
	throw error;
});
