/**
Gateway processes of the soak test, each connected to the store through its own relay, and faults that stop or
pause them.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {startByteRelay, type ByteRelay} from '@currantcross/standins/byte-relay';
import {reservePort} from '@currantcross/standins/reserved-ports';
import {soakBounds} from './soak-configuration.js';

/**
Time span in which guarantees of a gateway do not apply: its process was not running (`ended`) or was paused (`frozen`), or
its relay to the store had a fault (`cutOff`).
*/
export type GatewayDisruption = {readonly kind: 'ended' | 'frozen' | 'cutOff'; readonly from: number; to: number};

export type SoakGateway = {
	readonly name: string;
	readonly callerPort: number;
	readonly readinessPort: number;
	readonly storeRelay: ByteRelay;
	readonly settingsFile: string;
	readonly logFile: string;
	readonly disruptions: GatewayDisruption[];
	child: ChildProcess;
	/** Whether a gateway fault is in progress; the next one starts only after it ends. */
	hasActiveFault: boolean;
	/** When SIGTERM was sent to the process; missing unless it is stopping. */
	stoppingAt: number | undefined;
};

export type SoakGatewaySettings = Readonly<{script: string; directory: string; storePort: number; count: number}>;

/** Time limit for a gateway to become ready, with room for a busy machine. */
const maximumStartMs = 15_000;
const pollMs = 50;
/** Memory and descriptors of a gateway's host. */
const memoryMb = 202;
const maximumDescriptors = 2870;
const okStatus = 200;
/** A process that has not exited this long after its grace period gets SIGKILL. */
const killAfterGraceMs = 500;

function hasExited({exitCode, signalCode}: ChildProcess): boolean {
	return exitCode !== null || signalCode !== null;
}

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

const children = new Set<ChildProcess>();

// Kills the gateways that are still running when a run fails.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

function startGateway(script: string, settingsFile: string, logFile: string): ChildProcess {
	const logDescriptor = openSync(logFile, 'a');
	const child = spawn(process.execPath, [script, 'gateway', '--settings', settingsFile], {stdio: ['ignore', logDescriptor, logDescriptor]});
	closeSync(logDescriptor);
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
	return child;
}

async function tryGetReadinessStatus(port: number): Promise<number | undefined> {
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
Polls the readiness address of a gateway until it reports ready.

@throws Error when the process exits or does not become ready in time.
*/
export async function waitUntilReady(gateway: SoakGateway): Promise<void> {
	const startedAt = performance.now();
	// eslint-disable-next-line no-await-in-loop -- polling
	while (await tryGetReadinessStatus(gateway.readinessPort) !== okStatus) {
		if (hasExited(gateway.child) || performance.now() - startedAt > maximumStartMs) {
			throw new Error(`${gateway.name} did not become ready; see ${gateway.logFile}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(pollMs);
	}
}

/** Starts gateways, which discover each other through the store. */
export async function startSoakGateways(settings: SoakGatewaySettings): Promise<readonly SoakGateway[]> {
	const gateways: SoakGateway[] = [];
	for (let index = 1; index <= settings.count; index += 1) {
		const name = `gateway-${index}`;
		// eslint-disable-next-line no-await-in-loop
		const callerPort = await reservePort();
		// eslint-disable-next-line no-await-in-loop
		const readinessPort = await reservePort();
		// eslint-disable-next-line no-await-in-loop
		const peerPort = await reservePort();
		// eslint-disable-next-line no-await-in-loop
		const metricsPort = await reservePort();
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
			memoryMb,
			maximumDescriptors,
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
			disruptions: [],
			child: startGateway(settings.script, settingsFile, logFile),
			hasActiveFault: false,
			stoppingAt: undefined,
		});
	}

	return gateways;
}

/** Stops a gateway with a signal, starts it again after `downMs` and waits until it is ready. */
export async function stopAndStartGateway(gateway: SoakGateway, script: string, signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
	const disruption: GatewayDisruption = {kind: 'ended', from: performance.now(), to: Number.POSITIVE_INFINITY};
	if (signal === 'SIGTERM') {
		gateway.stoppingAt = performance.now();
	} else {
		gateway.disruptions.push(disruption);
	}

	const {child} = gateway;
	if (hasExited(child)) {
		throw new Error(`${gateway.name} exited unexpectedly; see ${gateway.logFile}`);
	}

	const exited = once(child, 'exit');
	child.kill(signal);
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, soakBounds.graceMs + killAfterGraceMs);
	await exited;
	clearTimeout(timer);
	if (signal === 'SIGTERM') {
		gateway.disruptions.push({...disruption, from: performance.now()});
		gateway.stoppingAt = undefined;
	}

	await wait(downMs);
	gateway.child = startGateway(script, gateway.settingsFile, gateway.logFile);
	const lastDisruption = gateway.disruptions.findLast(({kind}) => kind === 'ended');
	await waitUntilReady(gateway);
	if (lastDisruption !== undefined) {
		lastDisruption.to = performance.now();
	}
}

/** Pauses a gateway process with SIGSTOP and resumes it after a time. */
export async function pauseGateway(gateway: SoakGateway, durationMs: number): Promise<void> {
	const disruption: GatewayDisruption = {kind: 'frozen', from: performance.now(), to: Number.POSITIVE_INFINITY};
	gateway.disruptions.push(disruption);
	gateway.child.kill('SIGSTOP');
	await wait(durationMs);
	gateway.child.kill('SIGCONT');
	disruption.to = performance.now();
}

/** Returns whether a disruption of one of these kinds overlaps a time span. */
export function isDisrupted(gateway: SoakGateway, kinds: ReadonlyArray<GatewayDisruption['kind']>, from: number, to: number): boolean {
	return gateway.disruptions.some(disruption => kinds.includes(disruption.kind) && disruption.from <= to && disruption.to >= from);
}

/** Returns the gateways whose processes have ended, which no fault leaves so. */
export function findEndedGateways(gateways: readonly SoakGateway[]): readonly SoakGateway[] {
	return gateways.filter(({child}) => hasExited(child));
}

/** Kills all gateways and closes their relays. */
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
