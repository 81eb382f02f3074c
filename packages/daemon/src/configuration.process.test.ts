/**
Tests of tickets during outages of the object API, pauses of entries and concurrent updates: an accepted ticket comes into
force at every entry, and no entry reverts to an older state.
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

/** Time limit for a change to come into force; generous, since the machine may be busy. */
const inForceTimeoutMs = 16_000;

let deployment: Deployment;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function createRouteObject(name: string): unknown {
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

async function applyTicket(entry: number, number: number, objects: readonly unknown[], ...flags: readonly string[]): Promise<CommandResult> {
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

/** Waits until all entries serve the route, or until none does; returns which entries serve it. */
async function waitForRoute(route: string, expected: boolean): Promise<readonly boolean[]> {
	const startedAt = performance.now();
	let served: readonly boolean[] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		served = await Promise.all(dataCentres.map(async (_, index) => isServed(index, route)));
		if (served.every(isServedNow => isServedNow === expected)) {
			return served;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(100);
	} while (performance.now() - startedAt < inForceTimeoutMs);

	return served;
}

async function sendPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
	await sendJsonRequest('POST', `${deployment.platformUrl}/control`, faults);
}

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres, modelServersPerDataCentre: 0, businessServersPerDataCentre: 1, timeScale: 1, drainLagMs: 0,
	});
	const {objects} = getDemoTicket(1);
	const applied = await applyTicket(0, 1, objects, '--wait');
	expect(applied.exitCode).toBe(0);
});

afterAll(async () => {
	await deployment.stop();
});

test('while the object API is down, an accepted ticket reaches all entries through their peers, also after a restart, and a new one is refused', async () => {
	const applied = await applyTicket(0, 10, [createRouteObject('outage')]);
	await sendPlatformFaults({isDown: true});
	expect(applied.exitCode).toBe(0);
	expect(await waitForRoute('outage', true)).toEqual([true, true, true]);
	const entry = deployment.getEntries()[2];
	if (entry === undefined) {
		throw new Error('the deployment has no such entry');
	}

	await stopProcess(entry.running, 'SIGKILL');
	await deployment.restartEntry(entry.name);
	expect(await waitForRoute('outage', true)).toEqual([true, true, true]);
	const refused = await applyTicket(1, 11, [createRouteObject('refused')]);
	expect(refused.exitCode).toBe(1);
	expect(refused.stderr).toContain('platformUnavailable');
	await sendPlatformFaults({isDown: false});
});

test('a ticket is accepted exactly once if the response to the write is lost', async () => {
	await sendPlatformFaults({lostAnswers: 1});
	const first = await applyTicket(0, 20, [createRouteObject('lost')]);
	expect(first).toMatchObject({exitCode: 0, stdout: 'ticket 20 is accepted\n'});
	const again = await applyTicket(1, 20, [createRouteObject('lost')]);
	expect(again).toMatchObject({exitCode: 0, stdout: 'ticket 20 was accepted before\n'});
});

test('tickets applied concurrently leave all entries in the state of the highest accepted number', async () => {
	const numbers = [31, 32, 33] as const;
	const results = await Promise.all(numbers.map(async (number, index) => applyTicket(index, number, [
		number === 33 ? {kind: 'route', name: 'raced', removed: true} : createRouteObject('raced'),
	])));
	expect(results[2]?.exitCode).toBe(0);
	expect(await waitForRoute('raced', false)).toEqual([false, false, false]);
	const late = await applyTicket(1, 32, [createRouteObject('raced')]);
	expect(late.exitCode).toBe(1);
	await wait(1500);
	expect(await waitForRoute('raced', false)).toEqual([false, false, false]);
});

test('an entry that is paused while a route is removed does not restore the route when it resumes', async () => {
	await applyTicket(0, 40, [createRouteObject('removed')], '--wait');
	expect(await waitForRoute('removed', true)).toEqual([true, true, true]);
	const entry = deployment.getEntries()[2];
	entry?.running.process.kill('SIGSTOP');
	const applied = await applyTicket(0, 41, [{kind: 'route', name: 'removed', removed: true}]);
	expect(applied.exitCode).toBe(0);
	await wait(2500);
	entry?.running.process.kill('SIGCONT');
	expect(await waitForRoute('removed', false)).toEqual([false, false, false]);
	await wait(2500);
	expect(await waitForRoute('removed', false)).toEqual([false, false, false]);
});

test('a ticket comes into force at all entries although the object API answers slowly', async () => {
	await sendPlatformFaults({delayMs: 1500});
	const applied = await applyTicket(2, 50, [createRouteObject('slow')], '--wait');
	await sendPlatformFaults({delayMs: 0});
	expect(applied.exitCode).toBe(0);
	expect(await waitForRoute('slow', true)).toEqual([true, true, true]);
});
