/**
Keeps a gateway's knowledge of the platform fresh: the configuration by watches, the endpoints and other gateways by
polls.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {GatewayEvent} from '@currantcross/core/gateway/relay-types';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {
	ConfigurationReading, GatewayListing, PlatformHost, Revision,
} from './gateway-hosts.js';
import type {GatewayMetrics} from './metrics.js';

export type PlatformFeedHost = Readonly<{
	platform: PlatformHost;
	logger: Logger;
	metrics: GatewayMetrics;
	dispatch(event: GatewayEvent): void;
	/** Hears of a configuration that was read. */
	onConfiguration(reading: ConfigurationReading, verifiedAt: Timestamp): void;
	onGateways(listings: readonly GatewayListing[]): void;
}>;

export type PlatformFeed = Readonly<{
	start(own: GatewayListing): void;
	/** Asks for the configuration at once, since the last answer may be older than it seems. */
	refresh(): void;
	close(): void;
}>;

/** How long a watch waits. A key works for some seconds after the last answer, which must cover two watches. */
const watchWaitMs: Milliseconds = 1000;
/** Pause after a change, so that several in a row are read together; well below the time to apply one. */
const changePauseMs: Milliseconds = 400;
/** Pause between reads of the endpoints; well below the time that the platform gives to stop using one that leaves. */
const endpointPollMs: Milliseconds = 500;
/** Age at which the last known revision no longer bounds the age of a list; a watch and its answer. */
const maximumRevisionAgeMs: Milliseconds = 1300;
const gatewayPollMs: Milliseconds = 3000;
const shortestRetryMs: Milliseconds = 60;
const longestRetryMs: Milliseconds = 400;

type Dependency = {readonly name: string; isLost: boolean; failures: number};

/** Creates the feed of one gateway. */
export function createPlatformFeed(host: PlatformFeedHost): PlatformFeed {
	const {platform, logger, metrics} = host;
	const timers = new Set<NodeJS.Timeout>();
	const closing = new AbortController();
	/** Watches and reads of the configuration go to one store and fail together. */
	const configurationDependency: Dependency = {name: 'configuration', isLost: false, failures: 0};
	let revision: Revision | undefined;
	/** When `revision` was known to be the store's newest. */
	let revisionAt = Number.NEGATIVE_INFINITY;
	let isRegistered = false;

	async function pause(ms: Milliseconds): Promise<void> {
		if (ms === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				timers.delete(timer);
				resolve();
			}, ms);
			timers.add(timer);
		});
	}

	/** Calls the platform and notes when it is lost or back. */
	async function call<Result>(dependency: Dependency, perform: () => Promise<Result>): Promise<Result | undefined> {
		try {
			const result = await perform();
			metrics.recordStoreCall(dependency.name, 'answered');
			if (dependency.isLost) {
				dependency.isLost = false;
				logger.info('dependencyRegained', {dependency: dependency.name, failures: dependency.failures});
			}

			dependency.failures = 0;
			return result;
		} catch (error) {
			metrics.recordStoreCall(dependency.name, 'failed');
			dependency.failures += 1;
			if (!dependency.isLost) {
				dependency.isLost = true;
				logger.warn('dependencyLost', {dependency: dependency.name, reason: getErrorText(error)});
			}

			return undefined;
		}
	}

	function getRetryMs(dependency: Dependency): Milliseconds {
		return Math.min(longestRetryMs, shortestRetryMs * (2 ** Math.min(dependency.failures, 4)));
	}

	async function readConfiguration(): Promise<ConfigurationReading> {
		return revision === undefined ? platform.readConfiguration() : platform.watchConfiguration(revision, watchWaitMs);
	}

	function applyReading(reading: ConfigurationReading, verifiedAt: Timestamp): void {
		revision = Math.max(revision ?? 0, reading.revision);
		revisionAt = performance.now();
		host.onConfiguration(reading, verifiedAt);
	}

	async function keepConfiguration(): Promise<void> {
		while (!closing.signal.aborted) {
			const startedAt = performance.now();
			// Each watch continues where the one before ended.
			// eslint-disable-next-line no-await-in-loop
			const reading = await call(configurationDependency, readConfiguration);
			if (reading === undefined) {
				// The history may be gone, so that the next call reads everything.
				revision = undefined;
				// eslint-disable-next-line no-await-in-loop
				await pause(getRetryMs(configurationDependency));
			} else {
				applyReading(reading, startedAt);
				// eslint-disable-next-line no-await-in-loop
				await pause(reading.configuration === undefined ? 0 : changePauseMs);
			}
		}
	}

	/** Returns a revision that was the newest a moment ago, so that a list which shows it is hardly older. */
	function getRecentRevision(): Revision | undefined {
		return performance.now() - revisionAt > maximumRevisionAgeMs ? undefined : revision;
	}

	async function keepEndpoints(): Promise<void> {
		const dependency: Dependency = {name: 'endpoints', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const endpoints = await call(dependency, async () => platform.listEndpoints(getRecentRevision()));
			host.dispatch(endpoints === undefined ? {kind: 'endpointListFailed'} : {kind: 'endpointsListed', endpoints});
			// eslint-disable-next-line no-await-in-loop
			await pause(endpoints === undefined ? getRetryMs(dependency) : endpointPollMs);
		}
	}

	async function listGateways(own: GatewayListing): Promise<readonly GatewayListing[]> {
		if (!isRegistered) {
			await platform.registerGateway(own);
			isRegistered = true;
		}

		return platform.listGateways();
	}

	async function keepGateways(own: GatewayListing): Promise<void> {
		const dependency: Dependency = {name: 'gateways', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const listings = await call(dependency, async () => listGateways(own));
			if (listings !== undefined) {
				host.onGateways(listings.filter(({name}) => name !== own.name));
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(listings === undefined ? getRetryMs(dependency) : gatewayPollMs);
		}
	}

	return {
		start(own) {
			void keepConfiguration();
			void keepEndpoints();
			void keepGateways(own);
		},
		refresh() {
			revisionAt = Number.NEGATIVE_INFINITY;
			const startedAt = performance.now();
			void call(configurationDependency, async () => platform.readConfiguration()).then(reading => {
				if (reading !== undefined) {
					applyReading(reading, startedAt);
				}
			});
		},
		close() {
			closing.abort();
			for (const timer of timers) {
				clearTimeout(timer);
			}

			platform.close();
		},
	};
}
