/**
Worker thread with a server that records each run of a request, and does what the request's fate says to the first one. The server can
restart at its address under a new id, and stand still.
*/
import net, {type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import {listen} from '@currantcross/core/listen';
import {request} from 'undici';
import {
	formatHead, formatRefusal, isStreamTarget, tryParseRequest, writeStream, type ParsedRequest, type Trouble,
} from './single-run-messages.js';

export type SingleRunServerSettings = Readonly<{
	/** Begins the server's ids. */
	name: string;
	storeAddress: string;
	/** Name of the service in the store's entry. */
	service: string;
	/** 0 selects any free port. */
	port: number;
}>;

export type SingleRunServerCommand
	/** Ends the server and starts it at the same address under a new id, which the store lists this much later, a short time unless given. */
	= | Readonly<{kind: 'restart'; listedAfterMs?: number}>
	/** Keeps the thread from running. */
		| Readonly<{kind: 'freeze'; frozenMs: number}>;

export type SingleRunServerReport
	/** The server listens and is listed. */
	= | Readonly<{kind: 'started'; port: number; instanceId: string}>
	/** A request began to run. */
		| Readonly<{kind: 'ran'; key: string; instanceId: string}>
	/** The server's end, or bytes that belong to no request, may have harmed a request. */
		| Readonly<{kind: 'disturbed'; key: string}>;

type Connection = {
	readonly socket: Socket;
	received: string;
	isBusy: boolean;
	/** Whether bytes that belong to no request were written to it. */
	hasLeftover: boolean;
	previousId: string;
};

const loopback = '127.0.0.1';
const shortestRunMs = 5;
const runMsSteps = 25;
const silenceMs = 600;
/** Time after an answer at which a refusal of an earlier request follows. */
const laterMs = 4;
/** Time for which a server is away when it restarts. */
const downMs = 40;
/** Tries to listen again; a connection of another process may have taken the port while the server was away. */
const maximumListenTries = 50;
/** Time after which the store usually has the entry of a server that was started again. */
const usualListedAfterMs = 150;
/** Time after a freeze in which requests may have waited for its end. */
const thawMs = 100;
const serverSlots = 60;
const answerBody = 'done';

const settings = workerData as SingleRunServerSettings; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
const sockets = new Set<Socket>();
const openKeys = new Set<string>();
/** Requests that have run or were refused here. */
const seenKeys = new Set<string>();
let startCount = 0;
let requestCount = 0;
let instanceId = '';
let disturbedUntil = 0;
let listener: net.Server | undefined;

function report(message: SingleRunServerReport): void {
	parentPort?.postMessage(message);
}

async function writeEntry(port: number): Promise<void> {
	const {body} = await request(`http://${settings.storeAddress}/currantcross/objects/servers`, {
		method: 'POST', body: JSON.stringify({
			meta: {name: instanceId}, spec: {
				service: settings.service, address: `${loopback}:${port}`, zone: 'east', version: 'v1', slots: serverSlots, state: 'ready', coldLeftMs: 0, seq: 1, born: Date.now(),
			},
		}),
	});
	await body.dump();
}

async function removeEntry(name: string): Promise<void> {
	const {body} = await request(`http://${settings.storeAddress}/currantcross/objects/servers/${name}`, {method: 'DELETE'});
	await body.dump();
}

/** Sends the answer of a sound server. */
async function sendAnswer({socket}: Connection, {id, target}: ParsedRequest): Promise<void> {
	const stamp = ['Response-Stamp', `stamp-${instanceId}`] as const;
	if (isStreamTarget(target)) {
		await writeStream(socket, formatHead(200, [['Request-Id', id], stamp, ['Content-Type', 'text/event-stream'], ['Transfer-Encoding', 'chunked']]));
	} else {
		socket.write(`${formatHead(200, [['Request-Id', id], stamp, ['Content-Length', String(answerBody.length)]])}${answerBody}`);
	}
}

/** Ends a connection in the middle of an answer, or beside it. */
async function breakAnswer(connection: Connection, parsed: ParsedRequest, {place, how}: Extract<Trouble, {kind: 'break'}>): Promise<void> {
	const {socket} = connection;
	const head = formatHead(200, [['Request-Id', parsed.id], ['Response-Stamp', `stamp-${instanceId}`], ['Content-Length', String(answerBody.length)]]);
	switch (place) {
		case 'beforeAnswer': {
			break;
		}

		case 'insideHead': {
			socket.write(head.slice(0, Math.floor(head.length / 2)));
			break;
		}

		case 'insideBody': {
			socket.write(`${head}${answerBody.slice(1)}`);
			break;
		}

		case 'afterAnswer': {
			await sendAnswer(connection, parsed);
		}
	}

	await wait(how === 'reset' ? laterMs : 0);
	if (how === 'reset') {
		socket.resetAndDestroy();
	} else {
		socket.destroySoon();
	}
}

async function applyTrouble(connection: Connection, parsed: ParsedRequest, trouble: Trouble): Promise<void> {
	const {socket, previousId} = connection;
	switch (trouble.kind) {
		case 'answer': {
			const {status, refusalText} = trouble;
			const refusal = refusalText === undefined ? [] : [['Not-Run', refusalText]] as const;
			const headers = [['Request-Id', parsed.id], ['Response-Stamp', `stamp-${instanceId}`], ...refusal, ['Content-Length', String(answerBody.length)]] as const;
			socket.write(`${formatHead(status, headers)}${answerBody}`);
			return;
		}

		case 'leftover': {
			const leftover = formatRefusal(trouble.id === 'earlier' ? [previousId] : []);
			connection.hasLeftover = true;
			if (trouble.place === 'before') {
				socket.write(leftover);
				await wait(laterMs);
			}

			await sendAnswer(connection, parsed);
			if (trouble.place === 'later') {
				await wait(laterMs);
			}

			if (trouble.place !== 'before') {
				socket.write(leftover);
			}

			return;
		}

		case 'twoIds': {
			socket.write(formatRefusal(trouble.order === 'ownFirst' ? [parsed.id, previousId] : [previousId, parsed.id]));
			return;
		}

		case 'break': {
			await breakAnswer(connection, parsed, trouble);
			return;
		}

		case 'silence': {
			await wait(silenceMs);
			socket.destroy();
		}
	}
}

async function runRequest(connection: Connection, parsed: ParsedRequest): Promise<void> {
	const {key, fate} = parsed;
	const isFirst = !seenKeys.has(key);
	seenKeys.add(key);
	openKeys.add(key);
	report({kind: 'ran', key, instanceId});
	requestCount += 1;
	await wait(shortestRunMs + (requestCount % runMsSteps));
	await (fate.kind === 'trouble' && isFirst ? applyTrouble(connection, parsed, fate.trouble) : sendAnswer(connection, parsed));
	openKeys.delete(key);
}

async function answerRequest(connection: Connection, parsed: ParsedRequest): Promise<void> {
	const {socket} = connection;
	const {key, id, expectedInstance, fate} = parsed;
	if (expectedInstance === undefined) {
		const reportText = '{"waiting":0,"running":0}';
		socket.write(`${formatHead(200, [['Content-Type', 'application/json'], ['Instance-Id', instanceId], ['Content-Length', String(reportText.length)]])}${reportText}`);
		return;
	}

	if (connection.hasLeftover || performance.now() < disturbedUntil) {
		report({kind: 'disturbed', key});
	}

	if (expectedInstance !== instanceId) {
		socket.write(formatRefusal([id], 421));
	} else if (fate.kind === 'refuse' && !seenKeys.has(key)) {
		seenKeys.add(key);
		socket.write(formatRefusal([id]));
	} else {
		await runRequest(connection, parsed);
	}

	connection.previousId = id;
}

async function handleReceived(connection: Connection): Promise<void> {
	if (connection.isBusy) {
		return;
	}

	connection.isBusy = true;
	for (let parsed = tryParseRequest(connection.received); parsed !== undefined; parsed = tryParseRequest(connection.received)) {
		connection.received = connection.received.slice(parsed.length);
		await answerRequest(connection, parsed); // eslint-disable-line no-await-in-loop -- one request at a time on a connection
	}

	connection.isBusy = false;
}

function handleConnection(socket: Socket): void {
	const connection: Connection = {
		socket, received: '', isBusy: false, hasLeftover: false, previousId: 'earlier',
	};
	sockets.add(socket);
	socket.setNoDelay(true).setEncoding('latin1').on('error', () => undefined).on('close', () => {
		sockets.delete(socket);
	}).on('data', (text: string) => {
		connection.received += text;
		void handleReceived(connection);
	});
}

async function startServer(port: number): Promise<number> {
	startCount += 1;
	instanceId = `${settings.name}-${startCount}`;
	for (let triesLeft = maximumListenTries; ; triesLeft -= 1) {
		listener = net.createServer(handleConnection);
		try {
			return await listen(listener, {host: loopback, port}); // eslint-disable-line no-await-in-loop -- the port may be free later
		} catch (error) {
			if (triesLeft === 0) {
				throw error;
			}

			await wait(downMs); // eslint-disable-line no-await-in-loop -- as above
		}
	}
}

function endServer(): void {
	listener?.close();
	for (const key of openKeys) {
		report({kind: 'disturbed', key});
	}

	for (const socket of sockets) {
		socket.resetAndDestroy();
	}
}

const boundPort = await startServer(settings.port);
await writeEntry(boundPort);
report({kind: 'started', port: boundPort, instanceId});

async function restartServer(listedAfterMs: number): Promise<void> {
	const endedId = instanceId;
	endServer();
	await wait(downMs);
	await startServer(boundPort);
	await wait(listedAfterMs);
	await removeEntry(endedId);
	await writeEntry(boundPort);
	report({kind: 'started', port: boundPort, instanceId});
}

async function handleCommand(command: SingleRunServerCommand): Promise<void> {
	switch (command.kind) {
		case 'restart': {
			await restartServer(command.listedAfterMs ?? usualListedAfterMs);
			return;
		}

		case 'freeze': {
			for (const key of openKeys) {
				report({kind: 'disturbed', key});
			}

			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, command.frozenMs);
			disturbedUntil = performance.now() + thawMs;
		}
	}
}

parentPort?.on('message', (command: SingleRunServerCommand) => {
	void handleCommand(command);
});
process.on('unhandledRejection', error => {
	throw error;
});
