/**
One run of the soak: real gateways, stand-ins of all else, callers that never pause for long, faults by the seed, and the
promises checked at the end.
*/
import {mkdtempSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {createRandom} from '@currantcross/core/random';
import {startPlatformStore} from '@currantcross/standins/platform-store-standin';
import {startSoakCallers, type CallOutcome} from './soak-callers.js';
import {findBrokenPromise, findBrokenPromises} from './soak-checks.js';
import {createSoakFaults} from './soak-faults.js';
import {startSoakGateways, stopSoakGateways, waitUntilReady} from './soak-gateways.js';
import {startSoakServers} from './soak-servers.js';

export type SoakSettings = Readonly<{
	seed: number;
	/** Time with faults, in milliseconds. */
	faultsMs: number;
	gateways: number;
	callers: number;
	/** Program of the gateway. */
	script: string;
}>;

export type SoakResult = Readonly<{
	seed: number;
	requests: number;
	/** Answers by status, and connections that ended without one. */
	answers: Readonly<Record<string, number>>;
	runs: number;
	faults: Readonly<Record<string, number>>;
	broken: readonly string[];
	/** Where the gateways' settings and logs are. */
	directory: string;
}>;

const shortestGapMs = 60;
const gapRangeMs = 500;
/** Time after the last fault until all is expected to work: pauses of failed servers and of keys end, gateways start. */
const settleMs = 5500;
const calmMs = 2000;
/** Share of the requests in the calm time that must be served. */
const servedShare = 0.95;
/** Time after the last request until no memory is set aside. */
const memoryMs = 4000;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function countBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		counts[getKey(item)] = (counts[getKey(item)] ?? 0) + 1;
	}

	return counts;
}

function findRecoveryBreak(outcomes: readonly CallOutcome[], from: number, to: number): string | undefined {
	const calm = outcomes.filter(({sentAt, hasLeft}) => sentAt >= from && sentAt < to && !hasLeft);
	const served = calm.filter(({status, isComplete}) => status === 200 && isComplete);
	const others = countBy(calm.filter(outcome => !served.includes(outcome)), ({kind, status, error}) => `${kind} ${status ?? error}`);
	return calm.length > 0 && served.length >= calm.length * servedShare
		? undefined
		: `after the last fault ${served.length} of ${calm.length} requests were served; ${JSON.stringify(others)}`;
}

function formatBrokenPromise(outcome: CallOutcome): string | undefined {
	const broken = findBrokenPromise(outcome);
	return broken === undefined ? undefined : `${outcome.requestId} (${outcome.kind}) at ${outcome.gateway.name}: ${broken}`;
}

/** Plays one seed. */
export async function runSoak(settings: SoakSettings): Promise<SoakResult> {
	const directory = mkdtempSync(path.join(os.tmpdir(), `currantcross-soak-${settings.seed}-`));
	const random = createRandom(settings.seed);
	const store = await startPlatformStore();
	const servers = await startSoakServers(store, random);
	const gateways = await startSoakGateways({
		script: settings.script, directory, storePort: Number(new URL(`http://${store.address}`).port), count: settings.gateways,
	});
	const faults = createSoakFaults({
		random, script: settings.script, store, servers, gateways,
	});
	const outcomes: CallOutcome[] = [];
	await Promise.all(gateways.map(async gateway => waitUntilReady(gateway)));
	const callers = startSoakCallers({
		random: createRandom(settings.seed + 1),
		gateways,
		getKey: faults.getKey,
		recordOutcome(outcome) {
			outcomes.push(outcome);
		},
	}, settings.callers);

	const endsAt = performance.now() + settings.faultsMs;
	while (performance.now() < endsAt) {
		faults.perform();
		// eslint-disable-next-line no-await-in-loop
		await wait(shortestGapMs + random.getInteger(gapRangeMs));
	}

	await faults.waitForEnd();
	servers.healAll();
	await wait(settleMs);
	const calmAt = performance.now();
	await wait(calmMs);
	const recovery = findRecoveryBreak(outcomes, calmAt, calmAt + calmMs);
	await callers.stop();
	await wait(memoryMs);
	const reservations = servers.getReservationCount();
	const runs = servers.getRuns();
	await stopSoakGateways(gateways);
	await servers.close();
	store.close();
	return {
		seed: settings.seed,
		requests: outcomes.length,
		answers: countBy(outcomes, ({status, isComplete}) => status === undefined ? 'none' : `${status}${isComplete ? '' : ' cut'}`),
		runs: runs.length,
		faults: Object.fromEntries(faults.getCounts()),
		broken: [
			...outcomes.flatMap(outcome => formatBrokenPromise(outcome) ?? []),
			...recovery === undefined ? [] : [recovery],
			...reservations === 0 ? [] : [`${reservations} reservations of memory are left`],
			...findBrokenPromises({
				outcomes, runs, revokedAt: faults.getRevokedAt(), storeTroubles: faults.getStoreTroubles(),
			}),
		],
		directory,
	};
}
