/**
The soak's gateways: real processes, each with its own way to the store, and what befalls them.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {listen} from '@currantcross/core/listen';
import {startByteRelay, type ByteRelay} from '@currantcross/standins/byte-relay';
import {soakBounds} from './soak-configuration.js';

/** A span of time in which nothing is promised of a gateway. */
export type TroubleSpan = {readonly kind: 'ended' | 'frozen' | 'cutOff'; readonly from: number; to: number};

export type SoakGateway = {
	readonly name: string;
	readonly callerPort: number;
	readonly readinessPort: number;
	readonly storeRelay: ByteRelay;
	readonly settingsFile: string;
	readonly logFile: string;
	readonly troubles: TroubleSpan[];
	child: ChildProcess;
	/** Whether it takes part in a fault that must end before the next one. */
	isBusy: boolean;
	/** When it was asked to stop, while it does. */
	stoppingAt: number | undefined;
};

export type SoakGatewaySettings = Readonly<{script: string; directory: string; storePort: number; count: number}>;

/** How long a gateway may take to start on a busy machine. */
const longestStartMs = 15_000;
const pollMs = 50;
const okStatus = 200;
const killAfterGraceMs = 500;

function hasExited({exitCode, signalCode}: ChildProcess): boolean {
	return exitCode !== null || signalCode !== null;
}

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Ports below those that the system gives to outgoing connections, so that none is taken while its gateway is down. */
const firstPort = 18_000;
const portCount = 12_000;
/** Sets runs apart that go on at the same time. */
const portsPerProcess = 37;
let portNumber = process.pid * portsPerProcess;

async function isPortFree(port: number): Promise<boolean> {
	const server = net.createServer();
	try {
		await listen(server, {host: '127.0.0.1', port});
	} catch {
		// In use; the next one is tried.
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}

async function takeFreePort(): Promise<number> {
	for (;;) {
		portNumber += 1;
		const port = firstPort + (portNumber % portCount);
		// eslint-disable-next-line no-await-in-loop
		if (await isPortFree(port)) {
			return port;
		}
	}
}

const children = new Set<ChildProcess>();

// A run that fails leaves no gateway behind.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

function startGateway(script: string, settingsFile: string, logFile: string): ChildProcess {
	const log = openSync(logFile, 'a');
	const child = spawn(process.execPath, [script, 'gateway', '--settings', settingsFile], {stdio: ['ignore', log, log]});
	closeSync(log);
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
	return child;
}

async function tryGetReadiness(port: number): Promise<number | undefined> {
	return new Promise(resolve => {
		const request = http.get({
			host: '127.0.0.1', port, timeout: pollMs * 4, agent: false,
		}, response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(undefined);
		});
	});
}

/**
Waits until a gateway says that it is ready.

@throws Error when it has ended or does not become ready.
*/
export async function waitUntilReady(gateway: SoakGateway): Promise<void> {
	const startedAt = performance.now();
	// eslint-disable-next-line no-await-in-loop -- one question after the other
	while (await tryGetReadiness(gateway.readinessPort) !== okStatus) {
		if (hasExited(gateway.child) || performance.now() - startedAt > longestStartMs) {
			throw new Error(`${gateway.name} does not start; see ${gateway.logFile}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(pollMs);
	}
}

/** Starts gateways that know each other through the store. */
export async function startSoakGateways(settings: SoakGatewaySettings): Promise<readonly SoakGateway[]> {
	const gateways: SoakGateway[] = [];
	for (let index = 1; index <= settings.count; index += 1) {
		const name = `gateway-${index}`;
		// eslint-disable-next-line no-await-in-loop
		const callerPort = await takeFreePort();
		// eslint-disable-next-line no-await-in-loop
		const readinessPort = await takeFreePort();
		// eslint-disable-next-line no-await-in-loop
		const peerPort = await takeFreePort();
		// eslint-disable-next-line no-await-in-loop
		const metricsPort = await takeFreePort();
		// eslint-disable-next-line no-await-in-loop
		const storeRelay = await startByteRelay(settings.storePort);
		const settingsFile = path.join(settings.directory, `${name}.json`);
		const logFile = path.join(settings.directory, `${name}.log`);
		writeFileSync(settingsFile, JSON.stringify({
			name,
			dataCentre: 'east',
			callerAddress: `127.0.0.1:${callerPort}`,
			readinessAddress: `127.0.0.1:${readinessPort}`,
			peerAddress: `127.0.0.1:${peerPort}`,
			metricsAddress: `127.0.0.1:${metricsPort}`,
			platformAddress: `127.0.0.1:${storeRelay.port}`,
			graceMs: soakBounds.graceMs,
			revocationMs: soakBounds.revocationMs,
			retries: {ratio: soakBounds.retryRatio, fixedSends: soakBounds.retrySlack, windowMs: soakBounds.retryWindowMs},
		}));
		gateways.push({
			name,
			callerPort,
			readinessPort,
			storeRelay,
			settingsFile,
			logFile,
			troubles: [],
			child: startGateway(settings.script, settingsFile, logFile),
			isBusy: false,
			stoppingAt: undefined,
		});
	}

	return gateways;
}

/** Ends a gateway by a signal, and starts it again after a while. */
export async function stopAndStartGateway(gateway: SoakGateway, script: string, signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
	const trouble: TroubleSpan = {kind: 'ended', from: performance.now(), to: Number.POSITIVE_INFINITY};
	if (signal === 'SIGTERM') {
		gateway.stoppingAt = performance.now();
	} else {
		gateway.troubles.push(trouble);
	}

	const {child} = gateway;
	if (hasExited(child)) {
		throw new Error(`${gateway.name} ended by itself; see ${gateway.logFile}`);
	}

	const exited = once(child, 'exit');
	child.kill(signal);
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, soakBounds.graceMs + killAfterGraceMs);
	await exited;
	clearTimeout(timer);
	if (signal === 'SIGTERM') {
		gateway.troubles.push({...trouble, from: performance.now()});
		gateway.stoppingAt = undefined;
	}

	await wait(downMs);
	gateway.child = startGateway(script, gateway.settingsFile, gateway.logFile);
	const last = gateway.troubles.findLast(({kind}) => kind === 'ended');
	await waitUntilReady(gateway);
	if (last !== undefined) {
		last.to = performance.now();
	}
}

/** Holds a gateway up for a while. */
export async function pauseGateway(gateway: SoakGateway, forMs: number): Promise<void> {
	const trouble: TroubleSpan = {kind: 'frozen', from: performance.now(), to: Number.POSITIVE_INFINITY};
	gateway.troubles.push(trouble);
	gateway.child.kill('SIGSTOP');
	await wait(forMs);
	gateway.child.kill('SIGCONT');
	trouble.to = performance.now();
}

/** Returns whether a trouble of these kinds touched the gateway in the span. */
export function isTroubled(gateway: SoakGateway, kinds: ReadonlyArray<TroubleSpan['kind']>, from: number, to: number): boolean {
	return gateway.troubles.some(trouble => kinds.includes(trouble.kind) && trouble.from <= to && trouble.to >= from);
}

/** Ends all gateways. */
export async function stopSoakGateways(gateways: readonly SoakGateway[]): Promise<void> {
	await Promise.all(gateways.map(async ({child, storeRelay}) => {
		if (!hasExited(child)) {
			const exited = once(child, 'exit');
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await exited;
		}

		await storeRelay.close();
	}));
}
