/**
Costs of real processes: what the path adds, what an entry and an agent relay, and what they use at rest.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {callService, streamChat} from '@currantcross/standins/caller-client';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {sendJsonRequest, startDeployment, type Deployment} from '@currantcross/standins/deployment';
import {defaultEngineModelSettings} from '@currantcross/standins/engine-model';
import {build} from 'hdr-histogram-js';
import type {Figure} from './bench-decisions.js';

/** What a process has used so far. */
type Usage = Readonly<{cpuMs: number; residentBytes: number; readBytes: number; writtenBytes: number}>;

const clockTicksPerSecond = 100;
const millisecondsPerSecond = 1000;
const pageBytes = 4096;
const restMs = 20_000;
const settleMs = 4000;
const streamCounts = [100, 1000, 5000] as const;
const relayMs = 8000;
const pathRequests = 300;
const actionCount = 400;
/** An entry's share of the tokens a second at the target size. */
const relayTokensPerSecond = 10_300;
const relayModels = 4;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Reads processor time, memory and bytes of a process from the kernel. */
function readUsage(pid: number): Usage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const getCount = (name: string): number => Number(new RegExp(String.raw`${name}: (\d+)`, 'v').exec(io)?.[1] ?? 0);
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * millisecondsPerSecond / clockTicksPerSecond,
		residentBytes: Number(fields[21]) * pageBytes,
		readBytes: getCount('rchar'),
		writtenBytes: getCount('wchar'),
	};
}

async function startBenchDeployment(dataCentres: readonly string[], models: number, timeScale: number): Promise<Deployment> {
	const deployment = await startDeployment({
		dataCentres,
		modelServersPerDataCentre: models,
		businessServersPerDataCentre: 1,
		timeScale,
		drainLagMs: 0,
		entrySettings: {log: {level: 'info'}},
		agentSettings: {log: {level: 'info'}, limits: {maximumActive: 5000}},
		maximumSequences: 5000,
	});
	const file = path.join(deployment.directory, 'ticket.json');
	writeFileSync(file, JSON.stringify(getDemoTicket(1)));
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	const applied = await deployment.runCommand(['ticket', 'apply', file, '--wait', '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
	if (applied.exitCode !== 0) {
		throw new Error(`the ticket was not applied: ${applied.stderr}`);
	}

	return deployment;
}

function getPid(deployment: Deployment, role: 'entry' | 'agent'): number {
	const running = role === 'entry' ? deployment.getEntries()[0]?.running : deployment.getServers().find(server => server.kind === 'model')?.agent;
	return running?.process.pid ?? 0;
}

function getPercentile(values: readonly number[], percentile: number): number {
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * 100)));
	}

	return histogram.getValueAtPercentile(percentile) / 100;
}

/** Measures what entry and agent add to a call of the stand-in itself, both in turn in one run. */
async function measurePath(): Promise<readonly Figure[]> {
	const deployment = await startBenchDeployment(['a'], 1, 0.05);
	const throughPath: number[] = [];
	const direct: number[] = [];
	const serverUrl = deployment.getServers().find(server => server.kind === 'model')?.serverUrl ?? '';
	const callerUrl = deployment.getEntries()[0]?.callerUrl ?? '';
	for (let index = 0; index < pathRequests; index += 1) {
		const call = {
			key: demoKey, route: 'rules-assistant', prompt: `Question ${index}`, maximumTokens: 4,
		};
		// One after the other, so that they do not compete.
		// eslint-disable-next-line no-await-in-loop
		const own = await streamChat({...call, callerUrl});
		// eslint-disable-next-line no-await-in-loop
		const other = await streamChat({...call, callerUrl: serverUrl});
		throughPath.push(own.firstTokenMs ?? 0);
		direct.push(other.firstTokenMs ?? 0);
	}

	await deployment.stop();
	return [50, 99].map(percentile => ({
		name: `added to the first token, p${percentile}`,
		value: getPercentile(throughPath, percentile) - getPercentile(direct, percentile),
		unit: 'ms',
	}));
}

/** Returns the time scale at which four engines give the target rate of tokens, by the engine model's rules. */
function getRelayTimeScale(streamCount: number): number {
	const {stepBaseMs, decodeMsPerSequence} = defaultEngineModelSettings;
	const stepMs = stepBaseMs + (decodeMsPerSequence * streamCount / relayModels);
	return streamCount / stepMs * millisecondsPerSecond / relayTokensPerSecond;
}

/** Measures the relay of one entry at a number of open streams, driven by this process as the only caller. */
async function measureRelay(streamCount: number): Promise<readonly Figure[]> {
	const deployment = await startBenchDeployment(['a'], relayModels, getRelayTimeScale(streamCount));
	const answerTokens = Math.ceil(relayTokensPerSecond / streamCount * (settleMs + (2 * relayMs)) / millisecondsPerSecond);
	const callerUrl = deployment.getEntries()[0]?.callerUrl ?? '';
	const pids = {entry: getPid(deployment, 'entry'), agent: getPid(deployment, 'agent')};
	const idle = readUsage(pids.entry);
	let tokens = 0;
	let isMeasuring = false;
	const calls = Array.from({length: streamCount}, async (_, index) => streamChat({
		callerUrl,
		key: demoKey,
		route: 'rules-assistant',
		prompt: `Question ${index}`,
		maximumTokens: answerTokens,
		deadlineMs: 120_000,
		onText(text) {
			tokens += isMeasuring ? text.trim().split(' ').length : 0;
		},
	}).catch(() => undefined));
	await wait(settleMs);
	const before = {entry: readUsage(pids.entry), agent: readUsage(pids.agent)};
	const startedAt = performance.now();
	isMeasuring = true;
	await wait(relayMs);
	isMeasuring = false;
	const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
	const after = {entry: readUsage(pids.entry), agent: readUsage(pids.agent)};
	await deployment.stop();
	await Promise.all(calls);
	const name = `${streamCount} streams asked for`;
	return [
		{name: `tokens relayed a second by the entry, ${name}`, value: tokens / seconds, unit: '1/s'},
		{name: `processor time a token at the entry, ${name}`, value: (after.entry.cpuMs - before.entry.cpuMs) / Math.max(1, tokens) * 1000, unit: 'µs'},
		{name: `processor time a token at one of four agents, ${name}`, value: (after.agent.cpuMs - before.agent.cpuMs) / Math.max(1, tokens / 4) * 1000, unit: 'µs'},
		{name: `share of a core at the entry, ${name}`, value: (after.entry.cpuMs - before.entry.cpuMs) / (seconds * 10), unit: '%'},
		{name: `resident memory a stream at the entry, ${name}`, value: (after.entry.residentBytes - idle.residentBytes) / streamCount, unit: 'B'},
	];
}

/** Measures an entry and an agent that have nothing to do, by the number of entries. */
async function measureRest(entryCount: number): Promise<readonly Figure[]> {
	const deployment = await startBenchDeployment(Array.from({length: entryCount}, (_, index) => `d${index}`), 1, 1);
	await wait(settleMs);
	const roles = ['entry', 'agent'] as const;
	const before = roles.map(role => readUsage(getPid(deployment, role)));
	const callsBefore = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
	await wait(restMs);
	const after = roles.map(role => readUsage(getPid(deployment, role)));
	const callsAfter = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
	await deployment.stop();
	const seconds = restMs / millisecondsPerSecond;
	const calls = ['reads', 'writes', 'watches'].map(kind => (callsAfter[kind] ?? 0) - (callsBefore[kind] ?? 0));
	return [
		...roles.flatMap((role, index) => {
			const from = before[index];
			const to = after[index];
			if (from === undefined || to === undefined) {
				return [];
			}

			const bytes = to.readBytes - from.readBytes + to.writtenBytes - from.writtenBytes;
			return [
				{name: `share of a core at rest, ${role}, ${entryCount} entries`, value: (to.cpuMs - from.cpuMs) / (seconds * 10), unit: '%'},
				{name: `bytes read and written a second at rest, ${role}, ${entryCount} entries`, value: bytes / seconds, unit: 'B/s'},
				{name: `resident memory at rest, ${role}, ${entryCount} entries`, value: to.residentBytes / 1e6, unit: 'MB'},
			];
		}),
		{name: `object API calls a second at rest, ${entryCount} entries`, value: calls.reduce((sum, count) => sum + count, 0) / seconds, unit: '1/s'},
	];
}

/** Counts the writes that actions cost, one at a time and many at once. */
export async function measureActions(): Promise<readonly Figure[]> {
	const deployment = await startBenchDeployment(['a', 'b', 'c'], 0, 1);
	const urls = deployment.getEntries().map(entry => entry.callerUrl);
	const act = async (name: string, index: number): Promise<number> => {
		const outcome = await callService({
			callerUrl: urls[index % urls.length] ?? '',
			key: demoKey,
			route: 'shop',
			method: 'POST',
			path: '/reservations',
			body: `{"slot":"${name}-${index}"}`,
			idempotencyKey: `${name}-${index}`,
		});
		return outcome.status === 201 ? outcome.totalMs : Number.NaN;
	};

	const countWrites = async (): Promise<number> => {
		const counts = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
		return counts.writes ?? 0;
	};

	// Until each entry has read the host list, they differ in who appends for a bucket.
	await wait(settleMs);
	const start = await countWrites();
	const single: number[] = [];
	for (let index = 0; index < 50; index += 1) {
		// eslint-disable-next-line no-await-in-loop
		single.push(await act('single', index));
	}

	await wait(settleMs);
	const middle = await countWrites();
	const startedAt = performance.now();
	const many = await Promise.all(Array.from({length: actionCount}, async (_, index) => act('many', index)));
	const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
	await wait(settleMs);
	const end = await countWrites();
	await deployment.stop();
	const failed = [...single, ...many].filter(ms => Number.isNaN(ms)).length;
	return [
		{name: 'writes an action, one at a time', value: (middle - start) / 50, unit: ''},
		{name: 'time of an action, one at a time, p50', value: getPercentile(single, 50), unit: 'ms'},
		{name: `writes an action, ${actionCount} at once over 3 entries`, value: (end - middle) / actionCount, unit: ''},
		{name: `actions a second, ${actionCount} at once over 3 entries`, value: actionCount / seconds, unit: '1/s'},
		{name: 'actions that failed', value: failed, unit: ''},
	];
}

/** Measures processes that have nothing to do, at two numbers of entries. */
export async function measureAllAtRest(): Promise<readonly Figure[]> {
	const figures: Figure[] = [];
	for (const count of [2, 6]) {
		// eslint-disable-next-line no-await-in-loop
		figures.push(...await measureRest(count));
	}

	return figures;
}

/** Measures all of them, one deployment after the other. */
export async function measureProcesses(): Promise<readonly Figure[]> {
	const figures: Figure[] = [...await measurePath(), ...await measureActions()];
	for (const count of streamCounts) {
		// eslint-disable-next-line no-await-in-loop
		figures.push(...await measureRelay(count));
	}

	return [...figures, ...await measureAllAtRest()];
}
