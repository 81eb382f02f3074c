/**
Tests the stream by which a gateway follows another one, over real connections.
*/
import {createFixtureEndpoints} from '@currantcross/core/gateway/gateway-fixtures';
import type {ListedEndpoint} from '@currantcross/core/gateway/gateway-types';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import type {PlatformState} from '@currantcross/peer/platform-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {afterEach, expect, test} from 'vitest';
import type {GatewayRegistration} from './gateway-hosts.js';
import {createReaderFollower, type FollowedState} from './reader-follower.js';
import {createKnownEndpoints, createStateStream, type KnownState} from './state-publisher.js';

const sharedKey = 'test';
const logger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const closers: Array<() => void | Promise<void>> = [];
const waitStepMs = 10;

afterEach(async () => {
	for (const close of closers.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- in reverse order of creation, because of dependencies
		await close();
	}
});

async function wait(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		await wait(waitStepMs); // eslint-disable-line no-await-in-loop
	}
}

type Follower = Readonly<{states: readonly FollowedState[]; verifiedTimes: readonly number[]; isReading(): boolean; getReadingChanges(): readonly boolean[]}>;

/** Starts a gateway of a large deployment that follows the one whose states are streamed by the function. */
async function startFollower(streamState: (gateway: string, signal: AbortSignal) => AsyncIterable<PlatformState>): Promise<Follower> {
	const server = await startPeerServer({
		host: '127.0.0.1', port: 0, sharedKey, tls: undefined,
	}, router => {
		registerGatewayService(router, {
			streamState,
			async * streamWork() {
				// No work is exchanged.
			},
		});
	});
	closers.push(server.close);
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	closers.push(connections.close);
	const createRegistration = (index: number): GatewayRegistration => ({
		name: `gateway-${index}`, dataCentre: 'a', processorShare: 1, peerUrl: `http://127.0.0.1:${server.port}`,
	});
	const states: FollowedState[] = [];
	const verifiedTimes: number[] = [];
	const readingChanges: boolean[] = [];
	const follower = createReaderFollower({
		self: createRegistration(9),
		connections,
		logger,
		maximumStateAgeMs: 2800,
		applyState(state, verifiedAt) {
			states.push(state);
			verifiedTimes.push(verifiedAt);
			return true;
		},
		setReading(value) {
			readingChanges.push(value);
		},
	});
	closers.push(follower.close);
	follower.setGateways(Array.from({length: 9}, (_, index) => createRegistration(index)));
	return {
		states, verifiedTimes, isReading: () => readingChanges.at(-1) ?? true, getReadingChanges: () => readingChanges,
	};
}

function createKnownState(endpoints: readonly ListedEndpoint[], verifiedAt: number): KnownState {
	return {
		verifiedAt, revision: {epoch: 1, sequence: 7}, configuration: {source: '{}', writtenAtRevision: 3}, endpoints: createKnownEndpoints(endpoints, undefined), endpointFailures: 0, quarantines: {items: []}, gateways: undefined,
	};
}

// Guards against an entry with a number that another program has written, which would break the stream of every follower.
test('a follower learns of all endpoints, also of one with a very large number, and of changes alone afterwards', async () => {
	const endpoints = createFixtureEndpoints('models', 3);
	const before = endpoints.slice(0, 2).map((endpoint, index) => ({...endpoint, slots: index === 1 ? 5_000_000_000 : endpoint.slots}));
	const after = [...before.slice(0, 1), ...endpoints.slice(2)];
	let known = createKnownState(before, performance.now());
	const observers = new Set<() => void>();
	const {states, isReading} = await startFollower(createStateStream({
		getKnownState: () => known,
		observeChanges(handleChange) {
			observers.add(handleChange);
			return () => {
				observers.delete(handleChange);
			};
		},
	}));
	await waitUntil(() => !isReading());
	expect(states[0]?.endpoints).toEqual(before);
	known = createKnownState(after, performance.now());
	for (const notify of observers) {
		notify();
	}

	const getLastList = (): unknown => states.findLast(({endpoints: told}) => told !== undefined)?.endpoints;
	await waitUntil(() => JSON.stringify(getLastList()) === JSON.stringify(after));
});

// Guards against keys that are accepted on what a reader knew, for longer than by what the follower could know itself.
test('a follower takes no state for more recent than it is, by its own clock', async () => {
	const verifiedAt = performance.now() - 1000;
	const {verifiedTimes} = await startFollower(createStateStream({getKnownState: () => createKnownState([], verifiedAt), observeChanges: () => () => undefined}));
	await waitUntil(() => verifiedTimes.length >= 3);
	expect(Math.max(...verifiedTimes)).toBeLessThanOrEqual(verifiedAt);
	expect(Math.min(...verifiedTimes)).toBeGreaterThan(verifiedAt - 500);
});

// Guards against followers of a busy host that all read the store, since they take their own standstill for a silence of the reader.
test('a follower whose process stood still goes on following a reader that goes on sending', async () => {
	const {isReading, getReadingChanges} = await startFollower(createStateStream({
		getKnownState: () => createKnownState([], performance.now()), observeChanges: () => () => undefined,
	}));
	await waitUntil(() => !isReading());
	for (let count = 0; count < 3; count += 1) {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 800);
		await wait(300); // eslint-disable-line no-await-in-loop
	}

	expect(getReadingChanges()).toEqual([false]);
});

// Guards against a follower that opens streams in a tight loop because its reader ends each of them.
test('a follower whose reader ends the stream reads the store, and does not open streams without a pause', async () => {
	let streamCount = 0;
	// eslint-disable-next-line require-yield -- a stream that ends before its first state
	const {isReading} = await startFollower(async function * (): AsyncGenerator<PlatformState> {
		streamCount += 1;
	});
	await wait(900);
	expect(isReading()).toBe(true);
	expect(streamCount).toBeLessThanOrEqual(4);
});
