/**
Tests what a server knows of how long connections waited to be accepted, while each turn of the event loop accepts one and more come.
*/
import net, {type Socket} from 'node:net';
import process from 'node:process';
import {startLoopMonitor} from '@currantcross/core/loop-monitor';
import {afterEach, expect, test} from 'vitest';
import {createAcceptProber} from './accept-prober.js';

const tickMs = 100;
/** Time by which a connection may wait without being told to. */
const toleratedMs = 150;
const loadMs = 1500;
/** Connections that wait to be accepted, below the backlog of the server. */
const waitingCount = 400;
/** Probes that are accepted before the load ends, however long that takes. */
const minimumProbes = 3;
/** Least time that a turn of the event loop takes. */
const turnMs = 1;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

type Accepted = Readonly<{trueMs: number; knownMs: number}>;

/** Opens connections for a time, more than are accepted, and returns for each how long it waited and how long that is known to be at most. */
async function acceptUnderLoad(areProbed: boolean): Promise<readonly Accepted[]> {
	const openedAt = new Map<number, number>();
	const accepted: Accepted[] = [];
	const failures: string[] = [];
	const prober = createAcceptProber({
		recordFailure(code) {
			failures.push(code);
		},
	});
	let address = {host: '127.0.0.1', port: 0};
	const monitor = startLoopMonitor({
		onTick: () => undefined,
		onAcceptsBehind() {
			if (areProbed) {
				prober.probe(address);
			}
		},
	});
	let probeCount = 0;
	const server = net.createServer(socket => {
		monitor.recordAccept();
		const probedAt = prober.tryTakeProbe(socket);
		if (probedAt !== undefined) {
			probeCount += 1;
			monitor.recordAcceptedUntil(probedAt);
			return;
		}

		accepted.push({trueMs: performance.now() - (openedAt.get(socket.remotePort ?? 0) ?? Number.POSITIVE_INFINITY), knownMs: monitor.getUnacceptedMs()});
		socket.destroy();
	});
	closers.push(() => {
		monitor.close();
		prober.close();
		server.close();
	});
	await new Promise<void>(resolve => {
		server.listen({host: '127.0.0.1', port: 0, backlog: 1024}, resolve);
	});
	const bound = server.address();
	address = {...address, port: typeof bound === 'object' ? bound?.port ?? 0 : 0};

	let openedCount = 0;
	const open = (): void => {
		const at = performance.now();
		const socket: Socket = net.connect(address);
		openedCount += 1;
		socket.on('error', () => undefined);
		// The connection is being opened in the next tick, after which it has a port.
		process.nextTick(() => {
			openedAt.set(socket.localPort ?? 0, at);
		});
	};

	const startedAt = performance.now();
	await new Promise<void>(resolve => {
		const run = (): void => {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, turnMs);
			while (openedCount - accepted.length < waitingCount) {
				open();
			}

			if (performance.now() - startedAt < loadMs || (areProbed && probeCount < minimumProbes)) {
				setImmediate(run);
			} else {
				resolve();
			}
		};

		run();
	});
	expect(failures).toEqual([]);
	expect(probeCount > 0).toBe(areProbed);
	return accepted;
}

// Guards against an age that is lower than the true one, by which a request that has waited to be accepted is taken for fresh.
test.each([true, false])('the time for which a connection waited is never underestimated (probes: %s)', async areProbed => {
	const accepted = await acceptUnderLoad(areProbed);
	expect(accepted.some(({trueMs}) => trueMs > toleratedMs + tickMs)).toBe(true);
	expect(accepted.filter(({trueMs, knownMs}) => trueMs > Math.max(knownMs, toleratedMs + tickMs))).toEqual([]);
});

// Guards against requests that are refused as too old since the connections before them waited.
test('probes tell that connections wait no longer, though each turn of the loop accepts one', async () => {
	const probed = await acceptUnderLoad(true);
	const last = probed.at(-1);
	expect(last?.knownMs).toBeLessThan((last?.trueMs ?? 0) + (loadMs / 2));
	const unprobed = await acceptUnderLoad(false);
	expect(unprobed.at(-1)?.knownMs).toBeGreaterThan(loadMs / 2);
});
