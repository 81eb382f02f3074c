/**
Benchmarks of the decision logic in one process, without network or disk: routing by number of servers, configuration by
number of objects, claims, membership and message sizes.
*/
import process from 'node:process';
import {createClaims} from '@currantcross/core/claims';
import {createConfiguration, type Configuration} from '@currantcross/core/configuration';
import {createEntry, defaultEntrySettings} from '@currantcross/core/entry';
import {
	createFixtureConfiguration, createFixtureListings, createFixturePrompt, createFixtureRequest, createFixtureServer, createFixtureStatus,
} from '@currantcross/core/fixtures';
import {createMembership} from '@currantcross/core/membership';
import {createRandom} from '@currantcross/core/random';
import {defaultRoutingPolicy} from '@currantcross/core/routing';
import {toWireMessage} from '@currantcross/peer/message-codec';
import {toBinary} from '@bufbuild/protobuf';
import {AttemptMessageSchema} from '@currantcross/peer/gen/currantcross/v1/peer_pb';

/** A measured value. Names identify the results in recorded benchmark files. */
export type BenchmarkResult = Readonly<{name: string; value: number; unit: string}>;

const routingServerCounts = [10, 100, 400, 1000] as const;
const routingRequestCount = 4000;
const objectCounts = [1000, 10_000, 50_000] as const;
const claimCount = 100_000;
const memberCount = 10_000;
const microsecondsPerMillisecond = 1000;

/** Measures the processing of one request by an entry's state machine: arrival, routing, one token and completion. */
function measureRouting(serverCount: number): BenchmarkResult {
	const entry = createEntry({...defaultEntrySettings, entryName: 'e', dataCentre: 'a'}, {
		configuration: createFixtureConfiguration(), random: createRandom(1), policy: defaultRoutingPolicy, getHash: text => Number(text.slice(1)),
	});
	const servers = Array.from({length: serverCount}, (_, index) => createFixtureServer(`m${index}`, 'models'));
	entry.step({kind: 'hostListRead', listings: createFixtureListings(servers), entryCount: 34}, 0);
	for (const server of servers) {
		entry.step({kind: 'statusReceived', status: createFixtureStatus(server.name)}, 0);
	}

	function runRequest(index: number): void {
		const requestId = `r${index}`;
		const streamId = `${requestId}.1/1`;
		const now = index * 0.01;
		const actions = entry.step({kind: 'requestArrived', request: createFixtureRequest(requestId, createFixturePrompt(1000 + (index % 3000)))}, now);
		const openAction = actions.find(action => action.kind === 'openStream');
		const status = createFixtureStatus(openAction?.kind === 'openStream' ? openAction.server.name : 'm0', 'i1', now);
		entry.step({
			kind: 'messageReceived', requestId, streamId, message: {kind: 'tokens', offset: 0, tokens: ['a']},
		}, now);
		entry.step({
			kind: 'messageReceived', requestId, streamId, message: {kind: 'ended', result: {kind: 'completed', tokenCount: 1, finishReason: 'stop'}, status},
		}, now);
	}

	// Warms up the just-in-time compiler before the measurement.
	for (let index = 0; index < routingRequestCount / 4; index += 1) {
		runRequest(index);
	}

	const startedAt = performance.now();
	for (let index = routingRequestCount; index < 2 * routingRequestCount; index += 1) {
		runRequest(index);
	}

	const microsecondsPerRequest = (performance.now() - startedAt) / routingRequestCount * microsecondsPerMillisecond;
	return {name: `decisions of one request, ${serverCount} servers known`, value: microsecondsPerRequest, unit: 'µs'};
}

/** Returns the size of the heap after a garbage collection; without --expose-gc, garbage is included. */
function getHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function createFilledConfiguration(count: number): Configuration {
	const configuration = createConfiguration();
	for (let index = 0; index < count; index += 1) {
		configuration.applyTicket({
			number: index + 1,
			objects: [{
				kind: 'organisation',
				name: `organisation-${index}`,
				state: {
					keySha256: index.toString(16).padStart(64, '0'), requestsPerSecond: 10, tokensPerSecond: 100_000, concurrentRequests: 100,
				},
			}],
		}, index + 1);
	}

	return configuration;
}

function measureConfiguration(count: number): readonly BenchmarkResult[] {
	const before = getHeapBytes();
	const startedAt = performance.now();
	const configuration = createFilledConfiguration(count);
	const applyMicroseconds = (performance.now() - startedAt) / count * microsecondsPerMillisecond;
	const bytes = (getHeapBytes() - before) / count;
	const deltaStartedAt = performance.now();
	const {objects} = configuration.getDelta(count - 1);
	const deltaMs = performance.now() - deltaStartedAt;
	const wireBytes = JSON.stringify(objects).length;
	return [
		{name: `memory of an object, ${count} objects`, value: bytes, unit: 'B'},
		{name: `applying a ticket, ${count} objects`, value: applyMicroseconds, unit: 'µs'},
		{name: `delta of one change, ${count} objects`, value: deltaMs, unit: 'ms'},
		{name: `one changed object on the wire, ${count} objects`, value: wireBytes, unit: 'B'},
	];
}

function measureClaims(): readonly BenchmarkResult[] {
	const before = getHeapBytes();
	const claims = createClaims();
	const startedAt = performance.now();
	for (let index = 0; index < claimCount; index += 1) {
		const attemptId = `entry-a-incarnation0-${index}.1`;
		const key = `club/shop/key-${index}`;
		const holder = {attemptId, server: `s${index % 3}`, permit: {incarnation: 'incarnation0', stampedAt: index}};
		claims.applyRecord({
			kind: 'claimed', key, bodyHash: index.toString(16).padStart(64, '0'), holder,
		});
		const answer = {status: 201, contentType: 'application/json', body: `{"slot":${index}}`};
		claims.applyRecord({
			kind: 'ended', key, attemptId, outcome: {kind: 'answered', answer},
		});
	}

	const applyMicroseconds = (performance.now() - startedAt) / claimCount * microsecondsPerMillisecond;
	const bytes = (getHeapBytes() - before) / claims.getSize();
	return [
		{name: 'memory of a claim with its outcome', value: bytes, unit: 'B'},
		{name: 'folding a claim and its outcome', value: applyMicroseconds, unit: 'µs'},
	];
}

function measureMembership(): readonly BenchmarkResult[] {
	const before = getHeapBytes();
	const membership = createMembership({initialBackoffMs: 500, maximumBackoffMs: 8000});
	const servers = Array.from({length: memberCount}, (_, index) => createFixtureServer(`model-qc-a-${index}`, 'models'));
	membership.applyHostList(createFixtureListings(servers));
	for (const server of servers) {
		membership.applyStatus(createFixtureStatus(server.name), 0);
	}

	return [{name: 'memory of a known server', value: (getHeapBytes() - before) / [...membership.getMembers()].length, unit: 'B'}];
}

function measureMessageSizes(): readonly BenchmarkResult[] {
	const status = createFixtureStatus('model-qc-a-01', 'incarnation0');
	const getEncodedBytes = (message: Parameters<typeof toWireMessage>[0]): number => toBinary(AttemptMessageSchema, toWireMessage(message)).length;
	return [
		{name: 'heartbeat with status on the wire, without framing', value: getEncodedBytes({kind: 'heartbeat', status}), unit: 'B'},
		{name: 'one token on the wire, without framing', value: getEncodedBytes({kind: 'tokens', offset: 100, tokens: ['buoy12 ']}), unit: 'B'},
	];
}

/** Runs all benchmarks of this module. Memory figures are only meaningful if Node.js runs with --expose-gc. */
export function measureDecisionLogic(): readonly BenchmarkResult[] {
	return [
		...routingServerCounts.map(count => measureRouting(count)),
		...objectCounts.flatMap(count => measureConfiguration(count)),
		...measureClaims(),
		...measureMembership(),
		...measureMessageSizes(),
	];
}
