import {afterEach, expect, test} from 'vitest';
import {fixtureConfiguration} from '@currantcross/core/gateway/gateway-fixtures';
import type {ConfigurationReading, PlatformHost} from './gateway-hosts.js';
import {createGatewayMetrics} from './metrics.js';
import {createPlatformFeed, type PlatformFeed} from './platform-feed.js';

const feeds: PlatformFeed[] = [];
const waitStepMs = 10;

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
			readConfiguration: async () => ({revision: 1, configuration: undefined}),
			watchConfiguration: async () => new Promise<ConfigurationReading>(() => {
				// The watch stays open.
			}),
			listEndpoints: async () => [],
			listGateways: async () => [],
			registerGateway: async () => undefined,
			close: () => undefined,
			...platform,
		},
		logger: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
		metrics: createGatewayMetrics(() => 0),
		dispatch: () => undefined,
		onConfiguration: () => undefined,
		onGateways: () => undefined,
		...host,
	});
	feeds.push(feed);
	feed.start({
		name: 'gateway-1', peerUrl: 'http://127.0.0.1:1', dataCentre: 'east', processorShare: 1,
	});
	return feed;
}

test('an outage of the configuration is logged once, and once when it is over, whichever call notices', async () => {
	const lines: string[] = [];
	const log = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
		if (fields.dependency === 'configuration') {
			lines.push(event);
		}
	};

	let isDown = true;
	let failures = 0;
	const readConfiguration = async (): Promise<ConfigurationReading> => {
		if (isDown) {
			failures += 1;
			throw new Error('the store is away');
		}

		return {revision: 1, configuration: undefined};
	};

	const feed = startFeed({readConfiguration}, {
		logger: {
			debug: log, info: log, warn: log, error: log,
		},
	});
	feed.refresh();
	feed.refresh();
	await waitUntil(() => failures >= 4);
	isDown = false;
	await waitUntil(() => lines.length > 1);
	feed.refresh();
	await new Promise<void>(resolve => {
		setTimeout(resolve, waitStepMs * 3);
	});
	expect(lines).toEqual(['dependencyLost', 'dependencyRegained']);
});

test('changes in a row are read a few at a time', async () => {
	let revision = 1;
	let watches = 0;
	const readings: number[] = [];
	const storm = setInterval(() => {
		revision += 1;
	}, 20);
	startFeed({
		readConfiguration: async () => ({revision, configuration: {...fixtureConfiguration, version: revision}}),
		async watchConfiguration() {
			watches += 1;
			return {revision, configuration: {...fixtureConfiguration, version: revision}};
		},
	}, {
		onConfiguration(reading) {
			readings.push(reading.revision);
		},
	});
	await waitUntil(() => revision >= 50);
	clearInterval(storm);
	expect(watches).toBeLessThanOrEqual(5);
	await waitUntil(() => readings.at(-1) === revision);
});
