/**
How often the client writes a request whose connection ends in any way: its library takes the requests of a closed connection up again unless
they were written.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type Socket} from 'node:net';
import process from 'node:process';
import {createRandom, type Random} from '@currantcross/core/random';
import {afterEach, expect, test} from 'vitest';
import {createEndpointClient, type EndpointClient} from './endpoint-client.js';

type Outcome = 'ended' | 'sent' | 'notSent' | 'cancelled';

type SendRecord = Readonly<{id: string; outcomes: readonly Outcome[]}>;

const seed = Number(process.env.CURRANTCROSS_SEED ?? '20261204');
const sendCount = 600;
const openSendLimit = 12;
const bodyLengths = [0, 0, 100, 60_000, 2_000_000] as const;
/** Longest head of a request. */
const headCharacters = 300;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function createWholeAnswer(headers = ''): string {
	return `HTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok`;
}

type Close = 'end' | 'reset';

/** What is written, and how the connection is closed, at once and after a delay. */
type Answer = Readonly<{text?: string; close?: Close; lateText?: string; lateClose?: Close}>;

const whole = createWholeAnswer();
const undelimited = 'HTTP/1.1 200 OK\r\n\r\nok';

/** Answers to the head of a request, whose body may still be on its way. */
const answers: readonly Answer[] = [
	{text: whole},
	{text: createWholeAnswer('Keep-Alive: timeout=1\r\n')},
	{text: createWholeAnswer('Keep-Alive: timeout=2\r\n')},
	{text: createWholeAnswer('Connection: close\r\n')},
	{text: `${whole}${whole}`},
	{text: whole, close: 'end'},
	{text: whole, close: 'reset'},
	{text: undelimited, close: 'end'},
	{text: undelimited, close: 'reset'},
	{text: 'HTTP/1.1 200 OK\r\nContent-Le', close: 'end'},
	{text: 'HTTP/1.1 100 Continue\r\n\r\n'},
	{text: 'HTTP/1.1 102 Processing\r\n\r\n', lateText: whole},
	{close: 'end'},
	{close: 'reset'},
	{lateText: whole},
	{lateClose: 'end'},
	{lateClose: 'reset'},
	{text: whole, lateClose: 'end'},
	{text: whole, lateClose: 'reset'},
	{text: whole, lateText: whole},
];

function closeSocket(socket: Socket, close: Close | undefined): void {
	if (close === 'end') {
		socket.end();
	} else if (close === 'reset') {
		socket.resetAndDestroy();
	}
}

function writeText(socket: Socket, text: string | undefined): void {
	if (text !== undefined && socket.writable) {
		socket.write(text);
	}
}

function sendAnswer(socket: Socket, answer: Answer, delayMs: number): void {
	writeText(socket, answer.text);
	closeSocket(socket, answer.close);
	setTimeout(() => {
		writeText(socket, answer.lateText);
		closeSocket(socket, answer.lateClose);
	}, delayMs);
}

/** Starts an endpoint that answers each head in a random way, and counts the heads by the ids of their requests. */
async function startEndpoint(random: Random): Promise<Readonly<{address: string; headCounts: ReadonlyMap<string, number>}>> {
	const headCounts = new Map<string, number>();
	const server = net.createServer(socket => {
		let unmatched = '';
		socket.on('error', () => undefined);
		if (random.getInteger(20) === 0) {
			socket.resetAndDestroy();
		}

		socket.on('data', bytes => {
			unmatched += bytes.toString('latin1');
			for (const {groups: {id = ''} = {}} of unmatched.matchAll(/Request-Id: (?<id>\S+)\r\n/gv)) {
				headCounts.set(id, (headCounts.get(id) ?? 0) + 1);
				sendAnswer(socket, answers[random.getInteger(answers.length)] ?? {}, random.getInteger(30));
			}

			unmatched = unmatched.slice(Math.max(unmatched.lastIndexOf('Request-Id') + 'Request-Id'.length, unmatched.length - headCharacters));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const address = server.address();
	return {address: `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`, headCounts};
}

/** Sends a request, which may be cancelled, and returns how it ended. */
async function sendOnce(client: EndpointClient, address: string, sendId: number, random: Random): Promise<SendRecord> {
	const id = `r-${sendId}`;
	const outcomes: Outcome[] = [];
	const body = Buffer.alloc(bodyLengths[random.getInteger(bodyLengths.length)] ?? 0, 'x');
	client.send({
		sendId, address, method: 'POST', target: '/', headers: ['Request-Id', id], body,
	}, {
		onHead: () => undefined,
		onBytes: () => undefined,
		onEnd() {
			outcomes.push('ended');
		},
		onFailure(wasSent) {
			outcomes.push(wasSent ? 'sent' : 'notSent');
		},
	});
	const patienceMs = random.getInteger(4) === 0 ? random.getInteger(10) : 200;
	const startedAt = performance.now();
	while (outcomes.length === 0 && performance.now() - startedAt < patienceMs) {
		await wait(1); // eslint-disable-line no-await-in-loop -- polls
	}

	if (outcomes.length === 0) {
		client.cancel(sendId, 'abort');
		outcomes.push('cancelled');
	}

	return {id, outcomes};
}

// Guards against a request that runs twice since the client library writes it on a second connection.
test('writes each request once, however its connections end', async () => {
	const random = createRandom(seed);
	const {address, headCounts} = await startEndpoint(random);
	const client = createEndpointClient({isCallerResponse: () => false});
	closers.push(client.close);
	const records: SendRecord[] = [];
	let sendId = 0;
	async function keepSending(): Promise<void> {
		while (sendId < sendCount) {
			sendId += 1;
			records.push(await sendOnce(client, address, sendId, random)); // eslint-disable-line no-await-in-loop -- one after the other
			await wait(random.getInteger(3) === 0 ? random.getInteger(20) : 0); // eslint-disable-line no-await-in-loop
			if (random.getInteger(60) === 0) {
				client.closePoolsExcept(new Set());
			}
		}
	}

	await Promise.all(Array.from({length: openSendLimit}, keepSending));
	await wait(100);
	expect(records).toHaveLength(sendCount);
	expect(records.filter(({outcomes}) => outcomes.length !== 1)).toEqual([]);
	expect([...headCounts].filter(([, count]) => count > 1)).toEqual([]);
	expect(records.filter(({id, outcomes}) => outcomes[0] === 'notSent' && headCounts.has(id))).toEqual([]);
	expect(headCounts.size).toBeGreaterThan(sendCount / 2);
});
