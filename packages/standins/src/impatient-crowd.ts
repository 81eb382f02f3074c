/**
A steady stream of requests from impatient callers to several gateways, some on connections that are kept.
*/
import type net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {createRandom, type Random} from '@currantcross/core/random';
import {
	formatRequest, breakConnection, openConnection, waitForStatus, type CallResult, type Departure,
} from './impatient-caller.js';
import {getSharedTime} from './shared-clock.js';

export type CrowdSettings = Readonly<{
	seed: number;
	addresses: readonly string[];
	path: string;
	requestsPerSecond: number;
	durationMs: number;
	patienceMs: number;
	/** Share of the requests that use a connection which is kept and free, if there is one. */
	keptShare: number;
	departures: readonly Departure[];
}>;

type Address = Readonly<{address: string; freeSockets: net.Socket[]}>;

/** Time between two looks at how many requests are due. */
const stepMs = 5;

async function call(requestId: string, {address, freeSockets}: Address, random: Random, {keptShare, path, patienceMs, departures}: CrowdSettings): Promise<CallResult> {
	const isKept = random.getFraction() < keptShare;
	const departure = departures[random.getInteger(departures.length)] ?? 'close';
	const freeSocket = isKept ? freeSockets.pop() : undefined;
	const socket = freeSocket?.destroyed === false ? freeSocket : openConnection(address);
	socket.write(formatRequest(path, requestId));
	const status = await waitForStatus(socket, patienceMs);
	if (status === undefined) {
		breakConnection(socket, departure);
		return {requestId, status, leftAt: getSharedTime()};
	}

	if (isKept) {
		freeSockets.push(socket);
	} else {
		socket.destroy();
	}

	return {requestId, status, leftAt: undefined};
}

/** Sends requests at a steady rate and returns what came of each. */
export async function runCrowd(prefix: string, settings: CrowdSettings): Promise<readonly CallResult[]> {
	const random = createRandom(settings.seed);
	const addresses: readonly Address[] = settings.addresses.map(address => ({address, freeSockets: []}));
	const calls: Array<Promise<CallResult>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < settings.durationMs) {
		const dueCount = (performance.now() - startedAt) * settings.requestsPerSecond / 1000;
		while (calls.length < dueCount) {
			const address = addresses[random.getInteger(addresses.length)];
			if (address !== undefined) {
				calls.push(call(`${prefix}-${calls.length}`, address, random, settings));
			}
		}

		await wait(stepMs); // eslint-disable-line no-await-in-loop
	}

	const results = await Promise.all(calls);
	for (const socket of addresses.flatMap(({freeSockets}) => freeSockets)) {
		socket.destroy();
	}

	return results;
}
