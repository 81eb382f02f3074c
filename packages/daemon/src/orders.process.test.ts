/**
Tests of orders to engines: the desired state in a ticket reaches every engine, and a lease holder that resumes after
losing its lease does not undo newer orders.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {parseTrustedJson} from '@currantcross/core/json';
import {getDemoTicket} from '@currantcross/standins/demo-ticket';
import {
	sendJsonRequest, startDeployment, type Deployment, type EntryProcess,
} from '@currantcross/standins/deployment';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';

/** Time limit for an order, including a change of the lease holder; generous, since the machine may be busy. */
const orderTimeoutMs = 40_000;

let deployment: Deployment;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

async function applyDesiredVersion(entry: EntryProcess | undefined, number: number, version: string): Promise<void> {
	const file = path.join(deployment.directory, `ticket-${number}.json`);
	const state = {kind: 'model', engineMemoryTokens: 400_000, wanted: {model: 'base', version, role: 'serve'}};
	writeFileSync(file, JSON.stringify({number, objects: [{kind: 'pool', name: 'models', state}]}));
	const result = await deployment.runCommand([
		'ticket', 'apply', file, '--operator', entry?.operatorUrl ?? '', '--key-file', deployment.operatorKeyFile,
	]);
	expect(result.exitCode).toBe(0);
}

async function getVersions(): Promise<readonly string[]> {
	const models = deployment.getServers().filter(server => server.kind === 'model');
	const orders = await Promise.all(models.map(async server => sendJsonRequest<{version: string}>('GET', `${server.serverUrl}/v1/orders`)));
	return orders.map(order => order.version);
}

async function waitForVersions(version: string): Promise<readonly string[]> {
	const startedAt = performance.now();
	let versions = await getVersions();
	while (versions.some(found => found !== version) && performance.now() - startedAt < orderTimeoutMs) {
		// eslint-disable-next-line no-await-in-loop
		await wait(100);
		// eslint-disable-next-line no-await-in-loop
		versions = await getVersions();
	}

	return versions;
}

async function findLeaseHolder(): Promise<EntryProcess | undefined> {
	const stored = await sendJsonRequest<{value: string}>('GET', `${deployment.platformUrl}/v1/objects/${encodeURIComponent('lease/orders-models')}`);
	const {holder} = parseTrustedJson<{holder: string}>(stored.value);
	return deployment.getEntries().find(entry => holder.startsWith(`${entry.name}/`));
}

beforeAll(async () => {
	deployment = await startDeployment({
		dataCentres: ['a', 'b'],
		modelServersPerDataCentre: 1,
		businessServersPerDataCentre: 0,
		timeScale: 1,
		drainLagMs: 0,
		checksFencing: name => name === 'model-a-1',
	});
	const file = path.join(deployment.directory, 'ticket-1.json');
	writeFileSync(file, JSON.stringify(getDemoTicket(1)));
	const [entry] = deployment.getEntries();
	const applied = await deployment.runCommand([
		'ticket', 'apply', file, '--wait', '--operator', entry?.operatorUrl ?? '', '--key-file', deployment.operatorKeyFile,
	]);
	expect(applied.exitCode).toBe(0);
});

afterAll(async () => {
	await deployment.stop();
});

test('the desired version reaches each engine after a change of the lease holder and is not undone when the previous holder resumes', async () => {
	await applyDesiredVersion(deployment.getEntries()[0], 2, '2');
	expect(await waitForVersions('2')).toEqual(['2', '2']);
	const holder = await findLeaseHolder();
	const other = deployment.getEntries().find(entry => entry.name !== holder?.name);
	holder?.running.process.kill('SIGSTOP');
	await applyDesiredVersion(other, 3, '3');
	expect(await waitForVersions('3')).toEqual(['3', '3']);
	holder?.running.process.kill('SIGCONT');
	await wait(4000);
	expect(await getVersions()).toEqual(['3', '3']);
	const next = await findLeaseHolder();
	expect(next?.name).toBe(other?.name);
});

test('a restarted agent refuses a fencing number lower than that of the lease, whether or not its engine checks fencing numbers', async () => {
	const {createAgentClient} = await import('@currantcross/peer/agent-client');
	const {createConnections, defaultConnectionSettings} = await import('@currantcross/peer/connections');
	const connections = createConnections({...defaultConnectionSettings, sharedKey: 'shared-key-of-the-deployment', tls: undefined});
	const agents = createAgentClient(connections, 5000);
	const servers = deployment.getServers();
	for (const server of servers) {
		// eslint-disable-next-line no-await-in-loop
		await deployment.restartAgent(server.name);
	}

	const outcomes = await Promise.all(deployment.getServers().map(async server => agents.applyOrder(server.agentUrl, {
		leaseName: 'orders-models', fencingNumber: 1, desiredState: {model: 'base', version: '1', role: 'serve'},
	})));
	connections.close();
	expect(outcomes.map(outcome => outcome.kind)).toEqual(['refused', 'refused']);
	expect(await getVersions()).toEqual(['3', '3']);
});
