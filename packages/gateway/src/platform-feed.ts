/**
Keeps a gateway's view of the platform current: watches the configuration, and polls the lists of endpoints, of
quarantines and of other gateways.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {
	ConfigurationUpdate, GatewayRegistration, Listing, PlatformHost, Revision,
} from './gateway-hosts.js';
import type {GatewayMetrics} from './metrics.js';

export type PlatformFeedHost = Readonly<{
	platform: PlatformHost;
	logger: Logger;
	metrics: GatewayMetrics;
	dispatch(event: GatewayEvent): void;
	/** Called after each read or watch. The update was the newest state at `verifiedAt`. */
	onConfiguration(update: ConfigurationUpdate, verifiedAt: Timestamp): void;
	onGateways(registrations: readonly GatewayRegistration[]): void;
}>;

export type PlatformFeed = Readonly<{
	start(self: GatewayRegistration): void;
	/** Reads the configuration immediately. Used after a clock jump, when the last response may be older than its timestamp. */
	refresh(): void;
	close(): void;
}>;

/** How long a watch waits. Two watches must fit into the few seconds for which keys are accepted after the last response. */
const watchWaitMs: Milliseconds = 1000;
/** Delay after a change, so that one watch covers a series of changes; well below the time allowed to apply a change. */
const changeCoalescingMs: Milliseconds = 400;
/** Polling interval of the endpoint list; well below the platform's deadline to stop using an endpoint that leaves. */
const endpointPollIntervalMs: Milliseconds = 500;
/** Maximum age at which the last known revision still bounds the staleness of a list; covers one watch and its response. */
const maximumRevisionAgeMs: Milliseconds = 1300;
/** Polling interval of the quarantines; bounds how long a gateway that peers don't reach sends requests that crash servers. */
const quarantinePollIntervalMs: Milliseconds = 1000;
const gatewayPollIntervalMs: Milliseconds = 3000;
const baseRetryMs: Milliseconds = 60;
const maximumRetryMs: Milliseconds = 400;

/** Availability of one kind of platform data. */
type Dependency = {readonly name: string; isLost: boolean; failures: number};

/** Creates a feed that is not started. */
export function createPlatformFeed(host: PlatformFeedHost): PlatformFeed {
	const {platform, logger, metrics} = host;
	const timers = new Set<NodeJS.Timeout>();
	const closing = new AbortController();
	/** Shared by watches and reads of the configuration: they use one store and fail together, so an outage is logged once. */
	const configurationDependency: Dependency = {name: 'configuration', isLost: false, failures: 0};
	let revision: Revision | undefined;
	let epoch: number | undefined;
	let gatewayCount: number | undefined;
	/** When `revision` was last known to be the newest of the store. */
	let revisionVerifiedAt = Number.NEGATIVE_INFINITY;
	let isRegistered = false;

	async function wait(ms: Milliseconds): Promise<void> {
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

	/** Logs that the store has been restored, when the first answer of a later epoch arrives. */
	function observeEpoch(observed: number, source: string): void {
		if (epoch !== undefined && observed > epoch) {
			metrics.recordStoreRestore();
			logger.warn('storeRestored', {
				epoch: observed, before: epoch, revision: revision?.sequence, source,
			});
		}

		epoch = Math.max(epoch ?? 0, observed);
	}

	/** Calls the platform, counts the outcome, and logs when the dependency is lost or regained. Returns `undefined` on failure. */
	async function callPlatform<Result>(dependency: Dependency, operation: () => Promise<Result>): Promise<Result | undefined> {
		try {
			const result = await operation();
			metrics.recordPlatformCall(dependency.name, 'answered');
			if (dependency.isLost) {
				dependency.isLost = false;
				logger.info('dependencyRegained', {dependency: dependency.name, failures: dependency.failures});
			}

			dependency.failures = 0;
			return result;
		} catch (error) {
			metrics.recordPlatformCall(dependency.name, 'failed');
			dependency.failures += 1;
			if (!dependency.isLost) {
				dependency.isLost = true;
				logger.warn('dependencyLost', {dependency: dependency.name, reason: getErrorText(error)});
			}

			return undefined;
		}
	}

	function getRetryDelayMs(dependency: Dependency): Milliseconds {
		return Math.min(maximumRetryMs, baseRetryMs * (2 ** Math.min(dependency.failures, 4)));
	}

	async function fetchConfiguration(): Promise<ConfigurationUpdate> {
		return revision === undefined ? platform.readConfiguration() : platform.watchConfiguration(revision, watchWaitMs);
	}

	function applyUpdate(update: ConfigurationUpdate, verifiedAt: Timestamp): void {
		observeEpoch(update.revision.epoch, 'configuration');
		revision = {epoch: update.revision.epoch, sequence: Math.max(revision?.sequence ?? 0, update.revision.sequence)};
		revisionVerifiedAt = performance.now();
		host.onConfiguration(update, verifiedAt);
	}

	async function runConfigurationWatch(): Promise<void> {
		while (!closing.signal.aborted) {
			const startedAt = performance.now();
			// Each watch starts from the revision that the previous one returned.
			// eslint-disable-next-line no-await-in-loop
			const update = await callPlatform(configurationDependency, fetchConfiguration);
			if (update === undefined) {
				// The store may have compacted its history, so the next call reads the full configuration.
				revision = undefined;
				// eslint-disable-next-line no-await-in-loop
				await wait(getRetryDelayMs(configurationDependency));
			} else {
				applyUpdate(update, startedAt);
				// eslint-disable-next-line no-await-in-loop
				await wait(update.configuration === undefined ? 0 : changeCoalescingMs);
			}
		}
	}

	/** Returns the last known revision if it was the newest recently, so that a list of that revision is recent too. */
	function tryGetRecentRevision(): Revision | undefined {
		return performance.now() - revisionVerifiedAt > maximumRevisionAgeMs ? undefined : revision;
	}

	async function runEndpointPolling(): Promise<void> {
		const dependency: Dependency = {name: 'endpoints', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const list = await callPlatform(dependency, async () => platform.listEndpoints(tryGetRecentRevision()));
			if (list === undefined) {
				host.dispatch({kind: 'endpointListFailed'});
			} else {
				observeEpoch(list.epoch, dependency.name);
				host.dispatch({kind: 'endpointsListed', endpoints: list.items});
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(list === undefined ? getRetryDelayMs(dependency) : endpointPollIntervalMs);
		}
	}

	async function runQuarantinePolling(): Promise<void> {
		const dependency: Dependency = {name: 'quarantines', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const list = await callPlatform(dependency, async () => platform.listQuarantines(tryGetRecentRevision()));
			if (list !== undefined) {
				observeEpoch(list.epoch, dependency.name);
				host.dispatch({kind: 'quarantinesListed', records: list.items});
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(list === undefined ? getRetryDelayMs(dependency) : quarantinePollIntervalMs);
		}
	}

	async function listGateways(self: GatewayRegistration): Promise<Listing<GatewayRegistration>> {
		if (!isRegistered) {
			await platform.registerGateway(self);
			isRegistered = true;
		}

		return platform.listGateways();
	}

	/** Logs the number of gateways in the registry when it changes, and whether this one is among them. */
	function reportGateways(registrations: readonly GatewayRegistration[], self: GatewayRegistration): void {
		if (registrations.length !== gatewayCount) {
			logger.info('gatewaysListed', {count: registrations.length, before: gatewayCount, isSelfListed: registrations.some(({name}) => name === self.name)});
			gatewayCount = registrations.length;
		}
	}

	async function runGatewayPolling(self: GatewayRegistration): Promise<void> {
		const dependency: Dependency = {name: 'gateways', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const list = await callPlatform(dependency, async () => listGateways(self));
			if (list !== undefined) {
				observeEpoch(list.epoch, dependency.name);
				reportGateways(list.items, self);
				host.onGateways(list.items.filter(({name}) => name !== self.name));
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(list === undefined ? getRetryDelayMs(dependency) : gatewayPollIntervalMs);
		}
	}

	return {
		start(self) {
			void runConfigurationWatch();
			void runEndpointPolling();
			void runQuarantinePolling();
			void runGatewayPolling(self);
		},
		refresh() {
			revisionVerifiedAt = Number.NEGATIVE_INFINITY;
			const startedAt = performance.now();
			void callPlatform(configurationDependency, async () => platform.readConfiguration()).then(update => {
				if (update !== undefined) {
					applyUpdate(update, startedAt);
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
