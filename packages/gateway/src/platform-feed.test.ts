import {afterEach, expect, test} from 'vitest';
import type {ConfigurationReading} from './gateway-hosts.js';
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

	const feed = createPlatformFeed({
		platform: {
			readConfiguration,
			watchConfiguration: async () => new Promise<ConfigurationReading>(() => {
				// The watch stays open.
			}),
			listEndpoints: async () => [],
			listGateways: async () => [],
			registerGateway: async () => undefined,
			close: () => undefined,
		},
		logger: {
			debug: log, info: log, warn: log, error: log,
		},
		metrics: createGatewayMetrics(() => 0),
		dispatch: () => undefined,
		onConfiguration: () => undefined,
		onGateways: () => undefined,
	});
	feeds.push(feed);
	feed.start({
		name: 'gateway-1', peerUrl: 'http://127.0.0.1:1', dataCentre: 'east', processorShare: 1,
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
