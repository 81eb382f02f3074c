/**
Tests an entry, in a process of its own with a small heap, before callers that it does not control. The checks don't depend on the machine's
speed: the process lives, its memory and its descriptors stay below the limits in its settings, and an ordinary request is answered
afterwards. The tests of this file run one after the other.
*/
import {spawn} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {
	openSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import net, {type Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parseTrustedJson} from '@currantcross/core/json';
import {callService} from '@currantcross/standins/caller-client';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {startDeployment, type Deployment} from '@currantcross/standins/deployment';
import {
	afterAll, afterEach, beforeAll, expect, test,
} from 'vitest';

const memoryMb = 200;
const heapMb = 48;
const maximumDescriptors = 400;
/** Part of the descriptors that an entry needs for its own connections and files at most. */
const spareDescriptors = 200;
const maximumBodyBytes = 1_000_000;
/** Each caller whose connection is closed comes back, and has this many in all. */
const connectionsPerCaller = 3;
/** Time for which a crowd stays once all is written or closed. */
const stayMs = 1500;
const pollMs = 20;

const script = fileURLToPath(new URL('../dist/main.js', import.meta.url));
let deployment: Deployment;
const closers: Array<() => void | Promise<void>> = [];

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres: ['a'], modelServersPerDataCentre: 0, businessServersPerDataCentre: 1, timeScale: 0.2, drainLagMs: 0,
	});
	const file = path.join(deployment.directory, 'ticket.json');
	writeFileSync(file, JSON.stringify(getDemoTicket(1)));
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	const applied = await deployment.runCommand(['ticket', 'apply', file, '--wait', '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
	expect(applied.exitCode).toBe(0);
});

afterEach(async () => {
	for (const close of closers.splice(0)) {
		await close(); // eslint-disable-line no-await-in-loop
	}
});

afterAll(async () => {
	await deployment.stop();
});

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

type OutsideEntry = Readonly<{
	port: number;
	/** Sends an action until it is answered. */
	callUntilServed(): Promise<void>;
	/** Checks that the process lives and stayed within its limits. */
	check(): void;
}>;

async function startEntry(): Promise<OutsideEntry> {
	const settingsFile = path.join(deployment.directory, 'outside.json');
	writeFileSync(settingsFile, JSON.stringify({
		role: 'entry',
		name: 'entry-outside',
		dataCentre: 'a',
		memoryMb,
		maximumDescriptors,
		peer: {host: '127.0.0.1', port: 0, sharedKeyFile: path.join(deployment.directory, 'shared-key')},
		caller: {host: '127.0.0.1', port: 0, maximumBodyBytes},
		operator: {host: '127.0.0.1', port: 0, keyFile: deployment.operatorKeyFile},
		platform: {objectApiUrl: deployment.platformUrl, hostListUrl: deployment.platformUrl},
		drainLagMs: 0,
	}));
	const log = openSync(path.join(deployment.directory, 'logs', 'entry-outside.log'), 'a');
	const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, script, 'entry', '--settings', settingsFile], {stdio: ['ignore', 'pipe', log]});
	let peakDescriptors = 0;
	const timer = setInterval(() => {
		try {
			peakDescriptors = Math.max(peakDescriptors, readdirSync(`/proc/${child.pid}/fd`).length);
		} catch {
			// The process has ended, which the test notices.
		}
	}, pollMs);
	closers.push(async () => {
		clearInterval(timer);
		if (child.exitCode === null && child.signalCode === null) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	});
	const firstLine = await createInterface({input: child.stdout})[Symbol.asyncIterator]().next();
	const {caller: port = 0} = parseTrustedJson<Readonly<Record<string, number>>>(String(firstLine.value));

	function checkAlive(): void {
		expect({exitCode: child.exitCode, signal: child.signalCode}, 'the process lives').toEqual({exitCode: null, signal: null});
	}

	async function callUntilServed(): Promise<void> {
		for (;;) {
			checkAlive();
			try {
				// eslint-disable-next-line no-await-in-loop -- one attempt after the other
				const {status} = await callService({
					callerUrl: `http://127.0.0.1:${port}`, key: demoKey, route: 'shop', method: 'POST', path: '/book', body: 'ordinary', idempotencyKey: randomUUID(), deadlineMs: 15_000,
				});
				if (status === 201) {
					return;
				}
			} catch {
				// The connection was closed or refused; the next attempt follows.
			}

			await wait(100); // eslint-disable-line no-await-in-loop
		}
	}

	await callUntilServed();
	return {
		port,
		callUntilServed,
		check() {
			checkAlive();
			const peakKilobytes = Number(/^VmHWM:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.groups?.kilobytes);
			expect(peakKilobytes * 1024).toBeLessThan(memoryMb * 1_000_000);
			expect(peakDescriptors).toBeLessThan(maximumDescriptors - spareDescriptors);
		},
	};
}

function getHead(...headers: readonly string[]): string {
	return ['POST /v1/services/shop/book HTTP/1.1', 'Host: a.example', `Authorization: Bearer ${demoKey}`, ...headers, '', ''].join('\r\n');
}

function openCaller(port: number): Socket {
	const socket = net.connect(port, '127.0.0.1');
	closers.push(() => {
		socket.destroy();
	});
	return socket.on('error', () => undefined).resume();
}

/** Writes until all is written or the connection is closed. */
async function writeParts(socket: Socket, parts: Iterable<string>): Promise<void> {
	for (const part of parts) {
		if (socket.destroyed) {
			return;
		}

		if (!socket.write(part)) {
			// eslint-disable-next-line no-await-in-loop -- the next part follows when the socket is drained
			await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => undefined);
		}
	}
}

async function runCaller(port: number, parts: Iterable<string>): Promise<void> {
	for (let connections = 0; connections < connectionsPerCaller; connections += 1) {
		const socket = openCaller(port);
		const closed = new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
		// eslint-disable-next-line no-await-in-loop -- one connection after the other
		await writeParts(socket, parts);
		// eslint-disable-next-line no-await-in-loop
		await Promise.race([closed, wait(stayMs)]);
		if (!socket.destroyed) {
			return;
		}
	}
}

const largeChunk = `${(50_000).toString(16)}\r\n${'x'.repeat(50_000)}\r\n`;
const crowds = [
	{title: 'bodies in large chunks that stop short of their end', count: 150, parts: [getHead('Transfer-Encoding: chunked'), ...Array.from({length: 19}, () => largeChunk)]},
	{title: 'bodies in chunks of one byte that stop short of their end', count: 40, parts: [getHead('Transfer-Encoding: chunked'), ...Array.from({length: 20}, () => '1\r\nx\r\n'.repeat(1000))]},
	{title: 'bodies with a length that stop short of it', count: 150, parts: [getHead(`Content-Length: ${maximumBodyBytes}`), 'x'.repeat(maximumBodyBytes - 1)]},
	{title: 'heads that never end', count: 300, parts: [`GET / HTTP/1.1\r\nHost: a.example\r\nX-Long: ${'h'.repeat(15_000)}`]},
	{title: 'many requests at once without a host', count: 150, parts: ['GET / HTTP/1.1\r\n\r\n'.repeat(20_000)]},
] as const;

// Guards against callers outside the limits that end the process or use up its host.
test.each(crowds)('an entry lives, keeps within its limits and serves an ordinary request after callers with $title', async ({count, parts}) => {
	const {port, check, callUntilServed} = await startEntry();
	await Promise.all(Array.from({length: count}, async () => runCaller(port, parts)));
	check();
	await callUntilServed();
	check();
});

test('an entry serves in calm a body of the maximum length in chunks of one byte', async () => {
	const {port, check} = await startEntry();
	const socket = openCaller(port);
	let text = '';
	socket.setEncoding('utf8').on('data', (part: string) => {
		text += part;
	});
	const closed = once(socket, 'close');
	const chunks = Array.from({length: 100}, () => '1\r\nx\r\n'.repeat(maximumBodyBytes / 100));
	await writeParts(socket, [getHead('Transfer-Encoding: chunked', 'Idempotency-Key: calm', 'X-Currantcross-Deadline-Ms: 20000', 'Connection: close'), ...chunks, '0\r\n\r\n']);
	await closed;
	expect(text).toMatch(/^HTTP\/1\.1 201 /v);
	expect(text).toContain('xxxx');
	check();
});
