/**
Runs the soak test for one seed: starts real gateways, stand-ins for all other systems and callers, injects random faults,
and checks the guarantees of the gateway on the recorded outcomes.
*/
import {mkdtempSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {createRandom} from '@currantcross/core/random';
import {startPlatformStore} from '@currantcross/standins/platform-store-standin';
import {startSoakCallers, type CallOutcome} from './soak-callers.js';
import {findOutcomeViolation, findRunViolations} from './soak-checks.js';
import {createSoakFaults} from './soak-faults.js';
import {
	findEndedGateways, startSoakGateways, stopSoakGateways, waitUntilReady,
} from './soak-gateways.js';
import {startSoakOutsideCallers} from './soak-outside-callers.js';
import {findServerViolations} from './soak-server-checks.js';
import {startSoakServers} from './soak-servers.js';

export type SoakSettings = Readonly<{
	seed: number;
	/** Duration of fault injection, in milliseconds. */
	faultsMs: number;
	gatewayCount: number;
	callerCount: number;
	/** Script that runs a gateway. */
	script: string;
}>;

export type SoakResult = Readonly<{
	seed: number;
	requests: number;
	/** Number of responses by status; `none` counts requests without a response, the suffix ` cut` marks incomplete ones. */
	answers: Readonly<Record<string, number>>;
	runs: number;
	faults: Readonly<Record<string, number>>;
	/** Violations of guarantees that were found. */
	broken: readonly string[];
	/** Directory of the settings and logs of the gateways. */
	directory: string;
}>;

/** Faults start this long after one another, plus a random time of up to `faultGapRangeMs`. */
const minimumFaultGapMs = 60;
const faultGapRangeMs = 500;
/** Time after the last fault in which gateways become ready, try failed servers again and can verify keys again. */
const settleMs = 5500;
/** Duration of the recovery period that follows, in which requests must succeed. */
const recoveryMs = 2000;
/** Minimum share of the requests in the recovery period that must succeed. */
const minimumSuccessShare = 0.95;
/** Time after the last request within which all memory reservations must be released. */
const reservationExpiryMs = 4000;

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

function findRecoveryViolation(outcomes: readonly CallOutcome[], from: number, to: number): string | undefined {
	const recoveryOutcomes = outcomes.filter(({sentAt, shouldDisconnect, isCrashing}) => sentAt >= from && sentAt < to && !shouldDisconnect && !isCrashing);
	const succeeded = recoveryOutcomes.filter(({status, isComplete}) => status === 200 && isComplete);
	const failureCounts = countBy(recoveryOutcomes.filter(outcome => !succeeded.includes(outcome)), ({kind, status, error}) => `${kind} ${status ?? error}`);
	return recoveryOutcomes.length > 0 && succeeded.length >= recoveryOutcomes.length * minimumSuccessShare
		? undefined
		: `only ${succeeded.length} of ${recoveryOutcomes.length} requests succeeded after the last fault; ${JSON.stringify(failureCounts)}`;
}

function formatOutcomeViolation(outcome: CallOutcome): string | undefined {
	const violation = findOutcomeViolation(outcome);
	return violation === undefined ? undefined : `${outcome.requestId} (${outcome.kind}) at ${outcome.gateway.name}: ${violation}`;
}

/** Runs the soak test for one seed. */
export async function runSoak(settings: SoakSettings): Promise<SoakResult> {
	const directory = mkdtempSync(path.join(os.tmpdir(), `currantcross-soak-${settings.seed}-`));
	const random = createRandom(settings.seed);
	const store = await startPlatformStore();
	const servers = await startSoakServers(store, random);
	const gateways = await startSoakGateways({
		script: settings.script, directory, storePort: Number(new URL(`http://${store.address}`).port), count: settings.gatewayCount,
	});
	const faults = createSoakFaults({
		random, serverRandom: createRandom(settings.seed + 3), restoreRandom: createRandom(settings.seed + 4), announcementRandom: createRandom(settings.seed + 5), script: settings.script, store, servers, gateways,
	});
	const outcomes: CallOutcome[] = [];
	await Promise.all(gateways.map(async gateway => waitUntilReady(gateway)));
	const callers = startSoakCallers({
		random: createRandom(settings.seed + 1),
		segmentRandom: createRandom(settings.seed + 2),
		gateways,
		getKey: faults.getKey,
		areCrashesActive: faults.areCrashesActive,
		recordOutcome(outcome) {
			outcomes.push(outcome);
		},
	}, settings.callerCount);
	const outsideCallers = startSoakOutsideCallers(createRandom(settings.seed + 6), gateways);

	const endsAt = performance.now() + settings.faultsMs;
	while (performance.now() < endsAt) {
		faults.startRandomFault();
		faults.startOccasionalServerFault();
		faults.startOccasionalRestore();
		faults.startOccasionalAnnouncement();
		// eslint-disable-next-line no-await-in-loop
		await wait(minimumFaultGapMs + random.getInteger(faultGapRangeMs));
	}

	await faults.waitForEnd();
	servers.removeFaults();
	outsideCallers.stop();
	await wait(settleMs);
	const recoveryStart = performance.now();
	await wait(recoveryMs);
	const recoveryViolation = findRecoveryViolation(outcomes, recoveryStart, recoveryStart + recoveryMs);
	await callers.stop();
	await wait(reservationExpiryMs);
	const reservationCount = servers.getReservationCount();
	const runs = servers.getRuns();
	const endedGateways = findEndedGateways(gateways);
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
			...outcomes.flatMap(outcome => formatOutcomeViolation(outcome) ?? []),
			...recoveryViolation === undefined ? [] : [recoveryViolation],
			...endedGateways.map(({name, logFile}) => `${name} ended by itself; see ${logFile}`),
			...reservationCount === 0 ? [] : [`${reservationCount} memory reservations were not released`],
			...findServerViolations(outcomes, servers.getServers(), runs),
			...findRunViolations({
				outcomes, runs, revocationTimes: faults.getRevocationTimes(), storeDisruptions: faults.getStoreDisruptions(),
			}),
		],
		directory,
	};
}
