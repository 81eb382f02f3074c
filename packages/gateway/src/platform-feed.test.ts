import {afterEach, expect, test} from 'vitest';
import {rewriteMs} from '@currantcross/core/gateway/configuration-state';
import {createFixtureEndpoints, fixtureConfiguration} from '@currantcross/core/gateway/gateway-fixtures';
import type {ConfigurationUpdate, PlatformHost} from './gateway-hosts.js';
import {createGatewayMetrics} from './metrics.js';
import {createPlatformFeed, type PlatformFeed} from './platform-feed.js';

const feeds: PlatformFeed[] = [];
/** Whether the store of the test about suspensions does not answer any more. */
let isStoreSilent = false;
const waitStepMs = 10;
const emptyListing = {epoch: 1, items: [], unusable: []} as const;

afterEach(() => {
	for (const feed of feeds.splice(0)) {
		feed.close();
	}
});

async function waitUntil(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			setTimeout(resolve, waitStepMs);
		});
	}
}

type FeedHost = Parameters<typeof createPlatformFeed>[0];

function startFeed(platform: Partial<PlatformHost>, host: Partial<FeedHost> = {}): PlatformFeed {
	const feed = createPlatformFeed({
		platform: {
			parseConfiguration: () => fixtureConfiguration,
			readConfiguration: async () => ({
				revision: {epoch: 1, sequence: 1}, configuration: undefined, writtenAtRevision: undefined, source: undefined,
			}),
			watchConfiguration: async () => new Promise<ConfigurationUpdate>(() => {
				// The watch never completes.
			}),
			listEndpoints: async () => emptyListing,
			listQuarantines: async () => emptyListing,
			listCrashes: async () => emptyListing,
			listGateways: async () => emptyListing,
			registerGateway: async () => undefined,
			isEpochSettled: async () => true,
			recordSettledEpoch: async () => undefined,
			close: () => undefined,
			...platform,
		},
		logger: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
		metrics: createGatewayMetrics(() => 0, () => ({coldEndpoints: 0, heldRequests: 0})),
		dispatch: () => undefined,
		onConfiguration: () => undefined,
		onGateways: () => undefined,
		recordCall: () => undefined,
		...host,
	});
	feeds.push(feed);
	feed.start({
		name: 'gateway-1', peerUrl: 'http://127.0.0.1:1', dataCentre: 'east', processorShare: 1,
	});
	return feed;
}

async function waitForever(): Promise<never> {
	return new Promise(() => {
		// A watch that gets no answer.
	});
}

test('logs a configuration outage and its end once each when concurrent reads fail', async () => {
	const loggedEvents: string[] = [];
	const recordEvent = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
		if (fields.dependency === 'configuration') {
			loggedEvents.push(event);
		}
	};

	let isDown = true;
	let failures = 0;
	const readConfiguration = async (): Promise<ConfigurationUpdate> => {
		if (isDown) {
			failures += 1;
			throw new Error('the store is unavailable');
		}

		return {
			revision: {epoch: 1, sequence: 1}, configuration: undefined, writtenAtRevision: undefined, source: undefined,
		};
	};

	const feed = startFeed({readConfiguration}, {
		logger: {
			debug: recordEvent, info: recordEvent, warn: recordEvent, error: recordEvent,
		},
	});
	feed.refreshAfterSuspension();
	feed.refreshAfterSuspension();
	await waitUntil(() => failures >= 4);
	isDown = false;
	await waitUntil(() => loggedEvents.length > 1);
	feed.refresh();
	await new Promise<void>(resolve => {
		setTimeout(resolve, waitStepMs * 3);
	});
	expect(loggedEvents).toEqual(['dependencyLost', 'dependencyRegained']);
});

// Guards against a small host that reads a large configuration twice at its start, since a peer has told it the version meanwhile.
test('reads the configuration once while a peer tells of a newer one during the first read, and watches at once after it', async () => {
	let readCount = 0;
	let endRead: () => void = () => undefined;
	const watchedAfter: number[] = [];
	const feed = startFeed({
		async readConfiguration() {
			readCount += 1;
			await new Promise<void>(resolve => {
				endRead = resolve;
			});
			return {
				revision: {epoch: 1, sequence: 5}, configuration: fixtureConfiguration, writtenAtRevision: 5, source: undefined,
			};
		},
		async watchConfiguration(after) {
			watchedAfter.push(after.sequence);
			return waitForever();
		},
	});
	await waitUntil(() => readCount > 0);
	feed.refresh();
	const startedAt = performance.now();
	endRead();
	await waitUntil(() => watchedAfter.length > 0);
	expect(performance.now() - startedAt).toBeLessThan(300);
	expect([readCount, watchedAfter]).toEqual([1, [5]]);
});

// Guards against decoding a large configuration again for each reader that is followed.
test('decodes the configuration of a reader once, and not if the store has shown the same', async () => {
	const decodedSources: string[] = [];
	const versions: Array<number | undefined> = [];
	const feed = startFeed({
		parseConfiguration(source) {
			decodedSources.push(source);
			return {...fixtureConfiguration, version: source.length};
		},
		readConfiguration: async () => ({
			revision: {epoch: 1, sequence: 5}, configuration: fixtureConfiguration, writtenAtRevision: 5, source: 'shown',
		}),
		watchConfiguration: waitForever,
	}, {
		onConfiguration({configuration}) {
			versions.push(configuration?.version);
		},
	});
	await waitUntil(() => versions.length > 0);
	for (const source of ['shown', 'newer-one', 'newer-one']) {
		feed.applyState({
			revision: {epoch: 1, sequence: 6},
			configuration: {source, writtenAtRevision: 6},
			endpoints: undefined,
			hasEndpointFailure: false,
			quarantines: undefined,
			evacuations: undefined,
			gateways: undefined,
		}, performance.now());
	}

	expect(decodedSources).toEqual(['newer-one']);
	expect(versions).toEqual([fixtureConfiguration.version, fixtureConfiguration.version, 9, 9]);
});

test('coalesces a series of configuration changes into a few watches', async () => {
	let revision = 1;
	let watchCount = 0;
	const appliedRevisions: number[] = [];
	const changeTimer = setInterval(() => {
		revision += 1;
	}, 20);
	startFeed({
		readConfiguration: async () => ({
			revision: {epoch: 1, sequence: revision}, configuration: {...fixtureConfiguration, version: revision}, writtenAtRevision: revision, source: undefined,
		}),
		async watchConfiguration() {
			watchCount += 1;
			return {
				revision: {epoch: 1, sequence: revision}, configuration: {...fixtureConfiguration, version: revision}, writtenAtRevision: revision, source: undefined,
			};
		},
	}, {
		onConfiguration(update) {
			appliedRevisions.push(update.revision.sequence);
		},
	});
	await waitUntil(() => revision >= 50);
	clearInterval(changeTimer);
	expect(watchCount).toBeLessThanOrEqual(5);
	await waitUntil(() => appliedRevisions.at(-1) === revision);
});

// Guards against followers that know for how long the store has been asked only when the next state is due.
test('tells its observers of each answer of the store, and asks more often while it has some', async () => {
	const waits: number[] = [];
	const feed = startFeed({
		async watchConfiguration(after, waitMs) {
			waits.push(waitMs);
			await new Promise<void>(resolve => {
				setTimeout(resolve, waitStepMs);
			});
			return {
				revision: after, configuration: undefined, writtenAtRevision: undefined, source: undefined,
			};
		},
	});
	await waitUntil(() => waits.length > 2);
	const verified: number[] = [];
	const stop = feed.observeChanges(() => {
		verified.push(feed.getKnownState().verifiedAt);
	});
	await waitUntil(() => new Set(verified).size >= 5);
	stop();
	expect(new Set(waits)).toEqual(new Set([1000, 800]));
});

// Guards against keys that are refused after a reader is lost, until a watch that waits for a change has its answer.
test('reads the configuration at once when it begins to read the store itself', async () => {
	let readCount = 0;
	const feed = startFeed({
		async readConfiguration() {
			readCount += 1;
			return {
				revision: {epoch: 1, sequence: 1}, configuration: undefined, writtenAtRevision: undefined, source: undefined,
			};
		},
	});
	await waitUntil(() => readCount === 1);
	feed.setReading(false);
	const resumedAt = performance.now();
	feed.setReading(true);
	await waitUntil(() => feed.getKnownState().verifiedAt >= resumedAt);
	expect(readCount).toBe(2);
	expect(performance.now() - resumedAt).toBeLessThan(500);
});

// Guards against work for each follower that grows with the number of endpoints.
test('finds the changes of the list of endpoints once a reading', async () => {
	let listCount = 0;
	const feed = startFeed({
		async listEndpoints() {
			listCount += 1;
			const endpoints = createFixtureEndpoints('models', 3).map((endpoint, index) => index === 1 && listCount > 1 ? {...endpoint, slots: 99} : {...endpoint});
			return {epoch: 1, items: listCount === 1 ? endpoints : endpoints.slice(0, 2), unusable: []};
		},
	});
	await waitUntil(() => feed.getKnownState().endpoints !== undefined);
	const before = feed.getKnownState().endpoints;
	expect(before?.changes.changed.length).toBe(3);
	await waitUntil(() => feed.getKnownState().endpoints !== before);
	const after = feed.getKnownState().endpoints;
	expect(after?.previousItems).toBe(before?.items);
	expect(after?.changes).toEqual({changed: after?.items.slice(1), removed: before?.items.slice(2).map(({id}) => id)});
});

// Guards against a key that is accepted for the length of a suspension longer, since the clock stood still while the store was asked.
test('takes no answer for a verification that was asked for before a suspension of the process', async () => {
	const verifiedTimes: number[] = [];
	let answerWatch = (): void => undefined;
	let isAnswered = false;
	const feed = startFeed({
		watchConfiguration: async after => new Promise(resolve => {
			answerWatch = () => {
				if (!isAnswered) {
					isAnswered = true;
					resolve({
						revision: after, configuration: undefined, writtenAtRevision: undefined, source: undefined,
					});
				}
			};
		}),
		readConfiguration: async () => isStoreSilent
			? new Promise<ConfigurationUpdate>(() => {
				// The store does not answer after the suspension.
			})
			: {
				revision: {epoch: 1, sequence: 1}, configuration: undefined, writtenAtRevision: undefined, source: undefined,
			},
	}, {
		onConfiguration(_, verifiedAt) {
			verifiedTimes.push(verifiedAt);
		},
	});
	await waitUntil(() => verifiedTimes.length === 1);
	isStoreSilent = true;
	feed.refreshAfterSuspension();
	expect(feed.getKnownState().verifiedAt).toBe(Number.NEGATIVE_INFINITY);
	await new Promise<void>(resolve => {
		setTimeout(resolve, waitStepMs * 3);
	});
	answerWatch();
	await waitUntil(() => verifiedTimes.length === 2);
	expect(verifiedTimes[1]).toBe(Number.NEGATIVE_INFINITY);
	isStoreSilent = false;
});

// Guards against gateways that are dropped, and retry quotas that grow, until all have registered again after a restore.
test('keeps the gateways that a restored store does not list yet, and registers again', async () => {
	const others = ['gateway-2', 'gateway-3'].map(name => ({
		name, peerUrl: 'http://127.0.0.1:1', dataCentre: 'east', processorShare: 1,
	}));
	const known: Array<readonly string[]> = [];
	let listCount = 0;
	let registrationCount = 0;
	startFeed({
		async listGateways() {
			listCount += 1;
			return listCount === 1 ? {epoch: 1, items: others, unusable: []} : {epoch: 2, items: others.slice(0, 1), unusable: []};
		},
		async registerGateway() {
			registrationCount += 1;
		},
	}, {
		onGateways(registrations) {
			known.push(registrations.map(({name}) => name));
		},
	});
	await waitUntil(() => listCount >= 3);
	expect(known.slice(0, 2)).toEqual([['gateway-2', 'gateway-3'], ['gateway-2', 'gateway-3']]);
	expect(registrationCount).toBe(2);
});

// Guards against a process that takes a store for settled that was restored just before it started.
test.each([
	{
		title: 'recorded as settled', answers: [true], events: ['storeUnsettled', 'storeSettled'], recorded: [],
	},
	{
		title: 'recorded as settled, at the second call', answers: [undefined, true], events: ['storeUnsettled', 'storeSettled'], recorded: [],
	},
	{
		title: 'not recorded, and records it when it is', answers: [false], events: ['storeUnsettled'], recorded: [1],
	},
])('asks at its start whether the epoch has settled, which is $title', async ({answers, events, recorded}) => {
	const remaining = [...answers];
	const dispatched: string[] = [];
	const recordedEpochs: number[] = [];
	startFeed({
		async isEpochSettled() {
			const answer = remaining.shift();
			if (answer === undefined) {
				throw new Error('the store is unavailable');
			}

			return answer;
		},
		async recordSettledEpoch(epoch) {
			recordedEpochs.push(epoch);
		},
	}, {
		dispatch({kind}) {
			dispatched.push(kind);
		},
	});
	await new Promise<void>(resolve => {
		setTimeout(resolve, rewriteMs + 500);
	});
	expect(remaining).toEqual([]);
	expect(dispatched.filter(kind => kind.startsWith('store'))).toEqual(events);
	expect(recordedEpochs).toEqual(recorded);
});

test('a store that was never restored is asked nothing more at the start', async () => {
	let calls = 0;
	const listing = {...emptyListing, epoch: 0};
	const dispatched: string[] = [];
	startFeed({
		readConfiguration: async () => ({
			revision: {epoch: 0, sequence: 1}, configuration: undefined, writtenAtRevision: undefined, source: undefined,
		}),
		listEndpoints: async () => listing,
		listQuarantines: async () => listing,
		listCrashes: async () => listing,
		listGateways: async () => listing,
		async isEpochSettled() {
			calls += 1;
			return false;
		},
		async recordSettledEpoch() {
			calls += 1;
		},
	}, {
		dispatch({kind}) {
			dispatched.push(kind);
		},
	});
	await new Promise<void>(resolve => {
		setTimeout(resolve, rewriteMs + 500);
	});
	expect(dispatched.filter(kind => kind.startsWith('store'))).toEqual([]);
	expect(calls).toBe(0);
});
