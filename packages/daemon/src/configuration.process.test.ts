/**
Tickets under outages, pauses and races: what is accepted is in force everywhere, and nothing reverts.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {callService} from '@currantcross/standins/caller-client';
import {stopProcess} from '@currantcross/standins/child-process';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {
	sendJsonRequest, startDeployment, type CommandResult, type Deployment,
} from '@currantcross/standins/deployment';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';

const dataCentres = ['a', 'b', 'c'] as const;

/** How long a change may take on a busy machine before the test gives up. */
const inForceLimitMs = 16_000;

let deployment: Deployment;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function getRouteObject(name: string): unknown {
	return {
		kind: 'route',
		name,
		state: {
			kind: 'service',
			pool: 'shop',
			defaultDeadlineMs: 5000,
			maximumDeadlineMs: 30_000,
			idempotentMethods: ['GET'],
			objective: {firstTokenMs: 390, share: 0.95},
		},
	};
}

async function apply(entry: number, number: number, objects: readonly unknown[], ...flags: readonly string[]): Promise<CommandResult> {
	const file = path.join(deployment.directory, `ticket-${number}-${entry}.json`);
	writeFileSync(file, JSON.stringify({number, objects}));
	const operatorUrl = deployment.getEntries()[entry]?.operatorUrl ?? '';
	return deployment.runCommand(['ticket', 'apply', file, ...flags, '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
}

async function isServed(entry: number, route: string): Promise<boolean> {
	const outcome = await callService({
		callerUrl: deployment.getEntries()[entry]?.callerUrl ?? '', key: demoKey, route, method: 'GET', path: '/stock/cup',
	});
	return outcome.status === 200;
}

/** Waits until each entry serves the route, or none does. */
async function waitForRoute(route: string, wanted: boolean): Promise<readonly boolean[]> {
	const startedAt = performance.now();
	let served: readonly boolean[] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		served = await Promise.all(dataCentres.map(async (_, index) => isServed(index, route)));
		if (served.every(isNow => isNow === wanted)) {
			return served;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(100);
	} while (performance.now() - startedAt < inForceLimitMs);

	return served;
}

async function setPlatform(faults: Readonly<Record<string, unknown>>): Promise<void> {
	await sendJsonRequest('POST', `${deployment.platformUrl}/control`, faults);
}

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres, modelServersPerDataCentre: 0, businessServersPerDataCentre: 1, timeScale: 1, drainLagMs: 0,
	});
	const {objects} = getDemoTicket(1);
	const applied = await apply(0, 1, objects, '--wait');
	expect(applied.exitCode).toBe(0);
});

afterAll(async () => {
	await deployment.stop();
});

test('peers carry a ticket to data centres that can not read it, and to an entry that starts in the outage', async () => {
	const applied = await apply(0, 10, [getRouteObject('outage')]);
	await setPlatform({isDown: true});
	expect(applied.exitCode).toBe(0);
	expect(await waitForRoute('outage', true)).toEqual([true, true, true]);
	const entry = deployment.getEntries()[2];
	if (entry === undefined) {
		throw new Error('no entry');
	}

	await stopProcess(entry.running, 'SIGKILL');
	await deployment.restartEntry(entry.name);
	expect(await waitForRoute('outage', true)).toEqual([true, true, true]);
	const refused = await apply(1, 11, [getRouteObject('refused')]);
	expect(refused.exitCode).toBe(1);
	expect(refused.stderr).toContain('platformUnavailable');
	await setPlatform({isDown: false});
});

test('an answer that was lost after the write leaves the ticket accepted, once', async () => {
	await setPlatform({lostAnswers: 1});
	const first = await apply(0, 20, [getRouteObject('lost')]);
	expect(first).toMatchObject({exitCode: 0, stdout: 'ticket 20 is accepted\n'});
	const again = await apply(1, 20, [getRouteObject('lost')]);
	expect(again).toMatchObject({exitCode: 0, stdout: 'ticket 20 was accepted before\n'});
});

test('operators who race leave one state everywhere, that of the highest number that was accepted', async () => {
	const numbers = [31, 32, 33] as const;
	const results = await Promise.all(numbers.map(async (number, index) => apply(index, number, [
		number === 33 ? {kind: 'route', name: 'raced', removed: true} : getRouteObject('raced'),
	])));
	expect(results[2]?.exitCode).toBe(0);
	expect(await waitForRoute('raced', false)).toEqual([false, false, false]);
	const late = await apply(1, 32, [getRouteObject('raced')]);
	expect(late.exitCode).toBe(1);
	await wait(1500);
	expect(await waitForRoute('raced', false)).toEqual([false, false, false]);
});

test('an entry that was paused while a route was removed does not bring it back', async () => {
	await apply(0, 40, [getRouteObject('removed')], '--wait');
	expect(await waitForRoute('removed', true)).toEqual([true, true, true]);
	const entry = deployment.getEntries()[2];
	entry?.running.process.kill('SIGSTOP');
	const applied = await apply(0, 41, [{kind: 'route', name: 'removed', removed: true}]);
	expect(applied.exitCode).toBe(0);
	await wait(2500);
	entry?.running.process.kill('SIGCONT');
	expect(await waitForRoute('removed', false)).toEqual([false, false, false]);
	await wait(2500);
	expect(await waitForRoute('removed', false)).toEqual([false, false, false]);
});

test('a slow object API delays no ticket for good', async () => {
	await setPlatform({delayMs: 1500});
	const applied = await apply(2, 50, [getRouteObject('slow')], '--wait');
	await setPlatform({delayMs: 0});
	expect(applied.exitCode).toBe(0);
	expect(await waitForRoute('slow', true)).toEqual([true, true, true]);
});
