/**
Benchmarks of a deployment of real processes: added latency, relay throughput, writes per action and idle resource use.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {callService, streamChat} from '@currantcross/standins/caller-client';
import {demoKey, getDemoTicket} from '@currantcross/standins/demo-ticket';
import {sendJsonRequest, startDeployment, type Deployment} from '@currantcross/standins/deployment';
import {defaultEngineModelSettings} from '@currantcross/standins/engine-model';
import {build} from 'hdr-histogram-js';
import type {BenchmarkResult} from './bench-decisions.js';

/** Resources that a process has used since its start, and its current resident memory. */
type ProcessUsage = Readonly<{cpuMs: number; residentBytes: number; readBytes: number; writtenBytes: number}>;

/** Clock ticks per second (USER_HZ), the unit of processor times in /proc. */
const clockTicksPerSecond = 100;
const millisecondsPerSecond = 1000;
const pageBytes = 4096;
const idleMeasurementMs = 20_000;
/** Time that a deployment is given to reach a steady state before its usage or its counts are read. */
const settleMs = 4000;
const relayStreamCounts = [100, 1000, 5000] as const;
const relayMeasurementMs = 8000;
const latencyRequestCount = 300;
const concurrentActionCount = 400;
/** Tokens that one entry relays per second in a deployment of the target size. */
const targetTokensPerSecond = 10_300;
const relayServerCount = 4;

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Reads the resource usage of a process from /proc. */
function readUsage(pid: number): ProcessUsage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const readCounter = (name: string): number => Number(new RegExp(String.raw`${name}: (\d+)`, 'v').exec(io)?.[1] ?? 0);
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * millisecondsPerSecond / clockTicksPerSecond,
		residentBytes: Number(fields[21]) * pageBytes,
		readBytes: readCounter('rchar'),
		writtenBytes: readCounter('wchar'),
	};
}

async function startBenchDeployment(dataCentres: readonly string[], modelServerCount: number, timeScale: number): Promise<Deployment> {
	const deployment = await startDeployment({
		dataCentres,
		modelServersPerDataCentre: modelServerCount,
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
		throw new Error(`applying the demo ticket failed: ${applied.stderr}`);
	}

	return deployment;
}

function getPid(deployment: Deployment, role: 'entry' | 'agent'): number {
	const runningProcess = role === 'entry' ? deployment.getEntries()[0]?.running : deployment.getServers().find(server => server.kind === 'model')?.agent;
	return runningProcess?.process.pid ?? 0;
}

function getPercentile(values: readonly number[], percentile: number): number {
	// Histograms store integers, so values are recorded in hundredths.
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * 100)));
	}

	return histogram.getValueAtPercentile(percentile) / 100;
}

/** Measures the latency that entry and agent add, by alternating calls through them with direct calls to the model server. */
async function measureAddedLatency(): Promise<readonly BenchmarkResult[]> {
	const deployment = await startBenchDeployment(['a'], 1, 0.05);
	const throughEntryMs: number[] = [];
	const directMs: number[] = [];
	const serverUrl = deployment.getServers().find(server => server.kind === 'model')?.serverUrl ?? '';
	const callerUrl = deployment.getEntries()[0]?.callerUrl ?? '';
	for (let index = 0; index < latencyRequestCount; index += 1) {
		const call = {
			key: demoKey, route: 'rules-assistant', prompt: `Question ${index}`, maximumTokens: 4,
		};
		// Calls are sequential, so that they do not slow each other down.
		// eslint-disable-next-line no-await-in-loop
		const throughEntry = await streamChat({...call, callerUrl});
		// eslint-disable-next-line no-await-in-loop
		const direct = await streamChat({...call, callerUrl: serverUrl});
		throughEntryMs.push(throughEntry.firstTokenMs ?? 0);
		directMs.push(direct.firstTokenMs ?? 0);
	}

	await deployment.stop();
	return [50, 99].map(percentile => ({
		name: `added to the first token, p${percentile}`,
		value: getPercentile(throughEntryMs, percentile) - getPercentile(directMs, percentile),
		unit: 'ms',
	}));
}

/** Returns the time scale at which the engines together generate tokens at the target rate, according to the engine model. */
function getRelayTimeScale(streamCount: number): number {
	const {stepBaseMs, decodeMsPerSequence} = defaultEngineModelSettings;
	const stepMs = stepBaseMs + (decodeMsPerSequence * streamCount / relayServerCount);
	return streamCount / stepMs * millisecondsPerSecond / targetTokensPerSecond;
}

/** Measures how one entry relays tokens on concurrent streams. This process is the only caller. */
async function measureRelay(streamCount: number): Promise<readonly BenchmarkResult[]> {
	const deployment = await startBenchDeployment(['a'], relayServerCount, getRelayTimeScale(streamCount));
	// Answers are long enough to outlast the measurement at the target rate.
	const answerTokens = Math.ceil(targetTokensPerSecond / streamCount * (settleMs + (2 * relayMeasurementMs)) / millisecondsPerSecond);
	const callerUrl = deployment.getEntries()[0]?.callerUrl ?? '';
	const pids = {entry: getPid(deployment, 'entry'), agent: getPid(deployment, 'agent')};
	const idleUsage = readUsage(pids.entry);
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
	await wait(relayMeasurementMs);
	isMeasuring = false;
	const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
	const after = {entry: readUsage(pids.entry), agent: readUsage(pids.agent)};
	await deployment.stop();
	await Promise.all(calls);
	const label = `${streamCount} streams asked for`;
	return [
		{name: `tokens relayed a second by the entry, ${label}`, value: tokens / seconds, unit: '1/s'},
		{name: `processor time a token at the entry, ${label}`, value: (after.entry.cpuMs - before.entry.cpuMs) / Math.max(1, tokens) * 1000, unit: 'µs'},
		{name: `processor time a token at one of four agents, ${label}`, value: (after.agent.cpuMs - before.agent.cpuMs) / Math.max(1, tokens / 4) * 1000, unit: 'µs'},
		{name: `share of a core at the entry, ${label}`, value: (after.entry.cpuMs - before.entry.cpuMs) / (seconds * 10), unit: '%'},
		{name: `resident memory a stream at the entry, ${label}`, value: (after.entry.residentBytes - idleUsage.residentBytes) / streamCount, unit: 'B'},
	];
}

/** Measures the resource use of an entry and an agent without requests, in a deployment with `entryCount` entries. */
async function measureIdleUsage(entryCount: number): Promise<readonly BenchmarkResult[]> {
	const deployment = await startBenchDeployment(Array.from({length: entryCount}, (_, index) => `d${index}`), 1, 1);
	await wait(settleMs);
	const roles = ['entry', 'agent'] as const;
	const before = roles.map(role => readUsage(getPid(deployment, role)));
	const callsBefore = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
	await wait(idleMeasurementMs);
	const after = roles.map(role => readUsage(getPid(deployment, role)));
	const callsAfter = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
	await deployment.stop();
	const seconds = idleMeasurementMs / millisecondsPerSecond;
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

/** Measures the object API writes per action and the latency of actions, sequentially and concurrently. */
export async function measureActions(): Promise<readonly BenchmarkResult[]> {
	const deployment = await startBenchDeployment(['a', 'b', 'c'], 0, 1);
	const urls = deployment.getEntries().map(entry => entry.callerUrl);
	const callAction = async (keyPrefix: string, index: number): Promise<number> => {
		const outcome = await callService({
			callerUrl: urls[index % urls.length] ?? '',
			key: demoKey,
			route: 'shop',
			method: 'POST',
			path: '/reservations',
			body: `{"slot":"${keyPrefix}-${index}"}`,
			idempotencyKey: `${keyPrefix}-${index}`,
		});
		return outcome.status === 201 ? outcome.totalMs : Number.NaN;
	};

	const countWrites = async (): Promise<number> => {
		const counts = await sendJsonRequest<Readonly<Record<string, number>>>('GET', `${deployment.platformUrl}/counts`);
		return counts.writes ?? 0;
	};

	// Until each entry has read the host list, the entries may disagree on which of them appends the records of a bucket
	// of claims.
	await wait(settleMs);
	const writesAtStart = await countWrites();
	const sequentialMs: number[] = [];
	for (let index = 0; index < 50; index += 1) {
		// eslint-disable-next-line no-await-in-loop
		sequentialMs.push(await callAction('single', index));
	}

	await wait(settleMs);
	const writesAfterSequential = await countWrites();
	const startedAt = performance.now();
	const concurrentMs = await Promise.all(Array.from({length: concurrentActionCount}, async (_, index) => callAction('many', index)));
	const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
	await wait(settleMs);
	const writesAtEnd = await countWrites();
	await deployment.stop();
	const failed = [...sequentialMs, ...concurrentMs].filter(ms => Number.isNaN(ms)).length;
	return [
		{name: 'writes an action, one at a time', value: (writesAfterSequential - writesAtStart) / 50, unit: ''},
		{name: 'time of an action, one at a time, p50', value: getPercentile(sequentialMs, 50), unit: 'ms'},
		{name: `writes an action, ${concurrentActionCount} at once over 3 entries`, value: (writesAtEnd - writesAfterSequential) / concurrentActionCount, unit: ''},
		{name: `actions a second, ${concurrentActionCount} at once over 3 entries`, value: concurrentActionCount / seconds, unit: '1/s'},
		{name: 'actions that failed', value: failed, unit: ''},
	];
}

/** Measures idle resource use in deployments of two sizes. */
export async function measureAllIdleUsage(): Promise<readonly BenchmarkResult[]> {
	const results: BenchmarkResult[] = [];
	for (const count of [2, 6]) {
		// eslint-disable-next-line no-await-in-loop
		results.push(...await measureIdleUsage(count));
	}

	return results;
}

/** Runs all benchmarks of this module, each on a deployment of its own, one after the other. */
export async function measureProcesses(): Promise<readonly BenchmarkResult[]> {
	const results: BenchmarkResult[] = [...await measureAddedLatency(), ...await measureActions()];
	for (const count of relayStreamCounts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(...await measureRelay(count));
	}

	return [...results, ...await measureAllIdleUsage()];
}
