/**
Keeps a gateway's view of the platform current: watches the configuration, and polls the lists of endpoints, of
quarantines and of other gateways.

The store may be restored from a copy at any time. Its revisions are then given out again, so that a revision says nothing about
another epoch: positions are dropped, and all is read again.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import VError from 'verror';
import type {
	ConfigurationUpdate, GatewayRegistration, Listing, PlatformHost, Revision, UnusableEntry,
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
	/** Reads the configuration immediately: after a clock jump, when the last response may be older than its timestamp, or when a peer has a newer one. */
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
/** Time after a restore in which stale lists may be from before it, so that current ones are read. */
const staleReadDistrustMs: Milliseconds = 5000;
/** Time over which each gateway's calls after a restore are spread, so that all together stay well below the store's rate. */
const readSpreadPerGatewayMs: Milliseconds = 2;
/** Time over which each gateway's writes after a restore are spread. */
const writeSpreadPerGatewayMs: Milliseconds = 5;
/** Time after a restore in which gateways that are not listed are kept: all have registered again by then, and lists show it. */
const gatewayGraceMs: Milliseconds = 10_000;
/** Maximum random delay before the configuration is read after a restore; leaves most of the time allowed to apply a change. */
const maximumReadDelayMs: Milliseconds = 400;
/** Maximum length of a text of another writer in a line of the log. */
const maximumLoggedLength = 200;
const baseRetryMs: Milliseconds = 60;
const maximumRetryMs: Milliseconds = 400;

/** Availability of one kind of platform data. */
type Dependency = {readonly name: string; isLost: boolean; failures: number};

/** Returns the result of the operation, or `undefined` as soon as the signal aborts. */
async function raceAbort<Result>(operation: Promise<Result>, signal: AbortSignal): Promise<Result | undefined> {
	return new Promise((resolve, reject) => {
		const abort = (): void => {
			resolve(undefined);
		};

		signal.addEventListener('abort', abort, {once: true});
		void operation.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', abort);
		});
	});
}

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
	let staleReadsTrustedAt = Number.NEGATIVE_INFINITY;
	/** Aborts when the store is found to have been restored; replaced by another one then. */
	let restoreController = new AbortController();
	let isRegistered = false;
	/** When the next registration is due. */
	let registrationDueAt = Number.NEGATIVE_INFINITY;
	let missingGatewaysKeptUntil = Number.NEGATIVE_INFINITY;
	/** Names of the entries of each list that could not be used when it was last read. */
	const unusableNames = new Map<string, ReadonlySet<string>>();
	let knownGateways: ReadonlyMap<string, GatewayRegistration> = new Map();

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

	/** Drops what was known of the store's history, and ends the wait for a watch from that history. */
	function handleRestore(): void {
		revision = undefined;
		revisionVerifiedAt = Number.NEGATIVE_INFINITY;
		staleReadsTrustedAt = performance.now() + staleReadDistrustMs;
		restoreController.abort();
		restoreController = new AbortController();
		isRegistered = false;
		const writeSpreadMs = (gatewayCount ?? 1) * writeSpreadPerGatewayMs;
		registrationDueAt = performance.now() + (Math.random() * writeSpreadMs);
		missingGatewaysKeptUntil = performance.now() + writeSpreadMs + gatewayGraceMs;
		host.dispatch({kind: 'storeRestored'});
	}

	/**
	Notices a restore by the first answer of a later epoch.

	@throws VError if the answer is of an earlier epoch than the last one.
	*/
	function checkEpoch(observed: number, source: string): void {
		if (epoch !== undefined && observed < epoch) {
			throw new VError('the answer is from before the restore of the store');
		}

		if (epoch !== undefined && observed > epoch) {
			metrics.recordStoreRestore();
			logger.warn('storeRestored', {
				epoch: observed, before: epoch, revision: revision?.sequence, source,
			});
			handleRestore();
		}

		epoch = observed;
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

	async function readConfiguration(): Promise<ConfigurationUpdate> {
		const update = await platform.readConfiguration();
		checkEpoch(update.revision.epoch, configurationDependency.name);
		return update;
	}

	/** Watches the configuration. Returns `undefined` at once when the store is found to have been restored. */
	async function watchConfiguration(after: Revision): Promise<ConfigurationUpdate | undefined> {
		const {signal} = restoreController;
		const update = await raceAbort(platform.watchConfiguration(after, watchWaitMs), signal);
		if (update !== undefined) {
			checkEpoch(update.revision.epoch, configurationDependency.name);
		}

		return signal.aborted ? undefined : update;
	}

	/** Logs and counts the entries of a list that can't be used, each once while it is there. */
	function reportUnusable(list: string, unusable: readonly UnusableEntry[]): void {
		const known = unusableNames.get(list);
		unusableNames.set(list, new Set(unusable.map(({name}) => name)));
		const added = unusable.filter(({name}) => known?.has(name) !== true);
		for (const {name, reason} of added) {
			logger.warn('entryUnusable', {list, name: name.slice(0, maximumLoggedLength), reason: reason.slice(0, maximumLoggedLength)});
		}

		if (added.length > 0) {
			metrics.recordUnusableEntries(list, added.length);
		}
	}

	/** Reads a list, which must not be from before a restore. */
	async function readList<Item>(dependency: Dependency, read: () => Promise<Listing<Item>>): Promise<readonly Item[] | undefined> {
		return callPlatform(dependency, async () => {
			const {epoch: listEpoch, items, unusable} = await read();
			checkEpoch(listEpoch, dependency.name);
			reportUnusable(dependency.name, unusable);
			return items;
		});
	}

	function getReadSpreadMs(): Milliseconds {
		return (gatewayCount ?? 1) * readSpreadPerGatewayMs;
	}

	/** Returns the interval of a poll, which is longer while current lists are read at a fleet of many gateways. */
	function getPollIntervalMs(usualMs: Milliseconds): Milliseconds {
		return performance.now() < staleReadsTrustedAt ? Math.max(usualMs, getReadSpreadMs()) : usualMs;
	}

	function applyUpdate(update: ConfigurationUpdate, verifiedAt: Timestamp): void {
		const {epoch: updateEpoch, sequence} = update.revision;
		revision = {epoch: updateEpoch, sequence: Math.max(revision?.sequence ?? 0, sequence)};
		revisionVerifiedAt = performance.now();
		host.onConfiguration(update, verifiedAt);
	}

	async function runConfigurationWatch(): Promise<void> {
		while (!closing.signal.aborted) {
			const startedAt = performance.now();
			const {signal} = restoreController;
			const after = revision;
			// Each watch starts from the revision that the previous one returned.
			// eslint-disable-next-line no-await-in-loop
			const update = await callPlatform(configurationDependency, async () => after === undefined ? readConfiguration() : watchConfiguration(after));
			if (signal.aborted && after !== undefined) {
				// eslint-disable-next-line no-await-in-loop
				await wait(Math.random() * Math.min(maximumReadDelayMs, getReadSpreadMs()));
			} else if (update === undefined) {
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
		const now = performance.now();
		return now - revisionVerifiedAt > maximumRevisionAgeMs || now < staleReadsTrustedAt ? undefined : revision;
	}

	async function runEndpointPolling(): Promise<void> {
		const dependency: Dependency = {name: 'endpoints', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const endpoints = await readList(dependency, async () => platform.listEndpoints(tryGetRecentRevision()));
			host.dispatch(endpoints === undefined ? {kind: 'endpointListFailed'} : {kind: 'endpointsListed', endpoints});
			// eslint-disable-next-line no-await-in-loop
			await wait(endpoints === undefined ? getRetryDelayMs(dependency) : getPollIntervalMs(endpointPollIntervalMs));
		}
	}

	async function runQuarantinePolling(): Promise<void> {
		const dependency: Dependency = {name: 'quarantines', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const records = await readList(dependency, async () => platform.listQuarantines(tryGetRecentRevision()));
			if (records !== undefined) {
				host.dispatch({kind: 'quarantinesListed', records});
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(records === undefined ? getRetryDelayMs(dependency) : getPollIntervalMs(quarantinePollIntervalMs));
		}
	}

	/** Reads the recorded crashes until that has succeeded once. From then on, peers tell of crashes. */
	async function readCrashes(): Promise<void> {
		const dependency: Dependency = {name: 'crashes', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const crashes = await readList(dependency, platform.listCrashes);
			if (crashes !== undefined) {
				host.dispatch({kind: 'crashesListed', crashes});
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(getRetryDelayMs(dependency));
		}
	}

	async function listGateways(self: GatewayRegistration): Promise<Listing<GatewayRegistration>> {
		if (!isRegistered && performance.now() >= registrationDueAt) {
			await platform.registerGateway(self);
			isRegistered = true;
		}

		return platform.listGateways();
	}

	/** Returns the gateways of a list, and after a restore also those that it lacks because they have not registered again yet. */
	function applyGatewayList(registrations: readonly GatewayRegistration[]): readonly GatewayRegistration[] {
		const listed = new Map(registrations.map(registration => [registration.name, registration]));
		knownGateways = performance.now() < missingGatewaysKeptUntil ? new Map([...knownGateways, ...listed]) : listed;
		return [...knownGateways.values()];
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
			const registrations = await readList(dependency, async () => listGateways(self));
			if (registrations !== undefined) {
				reportGateways(registrations, self);
				host.onGateways(applyGatewayList(registrations).filter(({name}) => name !== self.name));
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(registrations === undefined ? getRetryDelayMs(dependency) : gatewayPollIntervalMs);
		}
	}

	return {
		start(self) {
			void runConfigurationWatch();
			void runEndpointPolling();
			void runQuarantinePolling();
			void readCrashes();
			void runGatewayPolling(self);
		},
		refresh() {
			revisionVerifiedAt = Number.NEGATIVE_INFINITY;
			const startedAt = performance.now();
			void callPlatform(configurationDependency, readConfiguration).then(update => {
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
