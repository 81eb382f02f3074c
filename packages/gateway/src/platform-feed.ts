/**
Keeps a gateway's view of the platform current: watches the configuration, and polls the lists of endpoints, of
quarantines, of evacuations where there are such, and of other gateways.

While a reader of the data centre passes on what it reads, this gateway reads nothing itself, and takes the reader's states instead.

The store may be restored from a copy at any time. Its revisions are then given out again, so that a revision says nothing about
another epoch: positions are dropped, and all is read again.
*/
import {getErrorText} from '@currantcross/core/error-text';
import {rewriteMs} from '@currantcross/core/gateway/configuration-state';
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import type {ListedEndpoint, ServingConfiguration} from '@currantcross/core/gateway/gateway-types';
import type {EvacuationList} from '@currantcross/core/gateway/placement-restrictions';
import type {QuarantineRecord} from '@currantcross/core/gateway/segment-quarantine';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import VError from 'verror';
import type {
	ConfigurationUpdate, GatewayRegistration, Listing, PlatformHost, Revision, UnusableEntry,
} from './gateway-hosts.js';
import type {GatewayMetrics} from './metrics.js';
import type {FollowedState} from './reader-follower.js';
import {createKnownEndpoints, type KnownState} from './state-publisher.js';

export type PlatformFeedHost = Readonly<{
	platform: PlatformHost;
	logger: Logger;
	metrics: GatewayMetrics;
	/** Whether the operator may evacuate data centres, so that the list of evacuations is read. */
	hasEvacuations: boolean;
	dispatch(event: GatewayEvent): void;
	/** Called after each read or watch. The update was the newest state at `verifiedAt`. */
	onConfiguration(update: ConfigurationUpdate, verifiedAt: Timestamp): void;
	onGateways(registrations: readonly GatewayRegistration[]): void;
	/** Called after each call of the platform. */
	recordCall(isAnswered: boolean): void;
}>;

export type PlatformFeed = Readonly<{
	start(self: GatewayRegistration): void;
	/** Reads the configuration immediately, since a peer has a newer one; while it is read already, the changes since then follow that at once. */
	refresh(): void;
	/** Reads the configuration immediately after a suspension of the process. What was asked before says nothing about how recent it is. */
	refreshAfterSuspension(): void;
	/** Sets whether this gateway reads the store itself. */
	setReading(isReading: boolean): void;
	/** Applies what a reader tells. Returns `false` if it is from before a restore of the store, or can't be used. */
	applyState(state: FollowedState, verifiedAt: Timestamp): boolean;
	getKnownState(): KnownState;
	/** Calls the function at each change of what is known. Returns the function that ends this. */
	observeChanges(handleChange: () => void): () => void;
	close(): void;
}>;

/** How long a watch waits. Two watches must fit into the few seconds for which keys are accepted after the last response. */
const watchWaitMs: Milliseconds = 1000;
/** The same at a gateway that reads for others, to which its answers come a little later. */
const followedWatchWaitMs: Milliseconds = 800;
/** Delay after a change, so that one watch covers a series of changes; well below the time allowed to apply a change. */
const changeCoalescingMs: Milliseconds = 400;
/** Polling interval of the endpoint list; well below the platform's deadline to stop using an endpoint that leaves. */
const endpointPollIntervalMs: Milliseconds = 500;
/** Maximum age at which the last known revision still bounds the staleness of a list; covers one watch and its response. */
const maximumRevisionAgeMs: Milliseconds = 1300;
/** Polling interval of the quarantines; bounds how long a gateway that peers don't reach sends requests that crash servers. */
const quarantinePollIntervalMs: Milliseconds = 1000;
/** Polling interval of the evacuations; leaves most of the time in which an evacuation must be in force. */
const evacuationPollIntervalMs: Milliseconds = 1000;
/** Time from one list of evacuations to the next one while the store answers. */
const maximumEvacuationPollMs: Milliseconds = 1300;
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

type DecodedConfiguration = Readonly<{source: string; configuration: ServingConfiguration}>;

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
	const epochDependency: Dependency = {name: 'epoch', isLost: false, failures: 0};
	let revision: Revision | undefined;
	let epoch: number | undefined;
	/** Epoch that is known to have been in force for longer than the operator takes to write again what a restore has lost. */
	let settledEpoch: number | undefined;
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
	let known: Omit<KnownState, 'revision'> = {
		verifiedAt: Number.NEGATIVE_INFINITY, configuration: undefined, endpoints: undefined, endpointFailures: 0, quarantines: undefined, evacuations: undefined, gateways: undefined,
	};
	const observers = new Set<() => void>();
	let isReading = true;
	/** Whether the watch has begun with a read of the whole configuration that has not ended. */
	let isFirstRead = false;
	/** Whether a peer has a newer configuration than that read may show. */
	let isNewerKnown = false;
	/** The configuration that was decoded last, so that a reader's copy of the same is not decoded again. */
	let decoded: DecodedConfiguration | undefined;
	let wakeReaders: Array<() => void> = [];
	/** Number of suspensions of the process. */
	let suspensionCount = 0;
	let selfName = '';

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

	function setKnown(changes: Partial<Omit<KnownState, 'revision'>>): void {
		known = {...known, ...changes};
		for (const notify of observers) {
			notify();
		}
	}

	/** Returns when all that is known was current. What a reader passes on is as old as its list of evacuations, beyond a poll and its response. */
	function getVerifiedAt(): Timestamp {
		return host.hasEvacuations
			? Math.min(known.verifiedAt, (known.evacuations?.readAt ?? Number.NEGATIVE_INFINITY) + maximumEvacuationPollMs)
			: known.verifiedAt;
	}

	/** Waits while a reader passes on what it reads. */
	async function waitUntilReading(): Promise<void> {
		if (isReading || closing.signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			wakeReaders.push(resolve);
		});
		await waitUntilReading();
	}

	/** Wakes what waits until this gateway reads; it waits on if that has changed meanwhile. */
	function wakeWaiting(): void {
		const waiting = wakeReaders;
		wakeReaders = [];
		for (const wake of waiting) {
			wake();
		}
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

	/** Records that the epoch has settled, once the operator has had the time to write again what a restore has lost. */
	async function recordSettledEpoch(restoredEpoch: number): Promise<void> {
		await wait(rewriteMs + (Math.random() * (gatewayCount ?? 1) * writeSpreadPerGatewayMs));
		if (isReading && epoch === restoredEpoch && settledEpoch !== restoredEpoch) {
			await callPlatform(epochDependency, async () => platform.recordSettledEpoch(restoredEpoch));
		}
	}

	/** Asks the store whether an epoch has settled, until it answers or the time is over. */
	async function askWhetherSettled(askedEpoch: number, askUntil: Timestamp): Promise<boolean> {
		const isSettled = await callPlatform(epochDependency, async () => platform.isEpochSettled(askedEpoch));
		if (isSettled !== undefined || performance.now() >= askUntil) {
			return isSettled === true;
		}

		await wait(getRetryDelayMs(epochDependency));
		return askWhetherSettled(askedEpoch, askUntil);
	}

	/** Asks whether the store's last restore is long ago, since the first answer doesn't say it. Until that is known, it may be recent. */
	async function checkFirstEpoch(firstEpoch: number): Promise<void> {
		logger.info('storeUnsettled', {epoch: firstEpoch});
		host.dispatch({kind: 'storeUnsettled'});
		void recordSettledEpoch(firstEpoch);
		const isSettled = await askWhetherSettled(firstEpoch, performance.now() + rewriteMs);
		if (isSettled && epoch === firstEpoch) {
			settledEpoch = firstEpoch;
			host.dispatch({kind: 'storeSettled'});
		}
	}

	/**
	Notices a restore by the first answer of a later epoch.

	@throws VError if the answer is of an earlier epoch than the last one.
	*/
	function checkEpoch(observed: number, source: string): void {
		if (epoch !== undefined && observed < epoch) {
			throw new VError('the answer is from before the restore of the store');
		}

		const before = epoch;
		epoch = observed;
		if (before === undefined && observed > 0) {
			void checkFirstEpoch(observed);
		}

		if (before !== undefined && observed > before) {
			metrics.recordStoreRestore();
			logger.warn('storeRestored', {
				epoch: observed, before, revision: revision?.sequence, source,
			});
			handleRestore();
			void recordSettledEpoch(observed);
		}
	}

	/** Calls the platform, counts the outcome, and logs when the dependency is lost or regained. Returns `undefined` on failure. */
	async function callPlatform<Result>(dependency: Dependency, operation: () => Promise<Result>): Promise<Result | undefined> {
		try {
			const result = await operation();
			metrics.recordPlatformCall(dependency.name, 'answered');
			host.recordCall(true);
			if (dependency.isLost) {
				dependency.isLost = false;
				logger.info('dependencyRegained', {dependency: dependency.name, failures: dependency.failures});
			}

			dependency.failures = 0;
			return result;
		} catch (error) {
			metrics.recordPlatformCall(dependency.name, 'failed');
			host.recordCall(false);
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
		const update = await raceAbort(platform.watchConfiguration(after, observers.size > 0 ? followedWatchWaitMs : watchWaitMs), signal);
		if (update !== undefined) {
			checkEpoch(update.revision.epoch, configurationDependency.name);
		}

		return signal.aborted ? undefined : update;
	}

	/** Logs and counts the entries of a list that can't be used, each once while it is there. */
	function reportUnusable(list: string, unusable: readonly UnusableEntry[]): void {
		const knownNames = unusableNames.get(list);
		unusableNames.set(list, new Set(unusable.map(({name}) => name)));
		const added = unusable.filter(({name}) => knownNames?.has(name) !== true);
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

	/** Applies an answer to a call that began at `verifiedAt`, before the given suspension of the process or after it. */
	function applyUpdate(update: ConfigurationUpdate, verifiedAt: Timestamp, suspension: number): void {
		const {epoch: updateEpoch, sequence} = update.revision;
		revision = {epoch: updateEpoch, sequence: Math.max(revision?.sequence ?? 0, sequence)};
		const isDated = suspension === suspensionCount;
		revisionVerifiedAt = isDated ? performance.now() : revisionVerifiedAt;
		decoded = update.configuration === undefined || update.source === undefined ? decoded : {source: update.source, configuration: update.configuration};
		host.onConfiguration(update, isDated ? verifiedAt : Number.NEGATIVE_INFINITY);
		setKnown({
			verifiedAt: isDated ? Math.max(known.verifiedAt, verifiedAt) : known.verifiedAt,
			configuration: update.source === undefined ? known.configuration : {source: update.source, writtenAtRevision: update.writtenAtRevision},
		});
	}

	async function runConfigurationWatch(): Promise<void> {
		while (!closing.signal.aborted) {
			await waitUntilReading(); // eslint-disable-line no-await-in-loop
			const startedAt = performance.now();
			const suspension = suspensionCount;
			const {signal} = restoreController;
			const after = revision;
			isFirstRead = after === undefined;
			isNewerKnown = false;
			// Each watch starts from the revision that the previous one returned.
			// eslint-disable-next-line no-await-in-loop
			const update = await callPlatform(configurationDependency, async () => after === undefined ? readConfiguration() : watchConfiguration(after));
			isFirstRead = false;
			if (signal.aborted && after !== undefined) {
				// eslint-disable-next-line no-await-in-loop
				await wait(Math.random() * Math.min(maximumReadDelayMs, getReadSpreadMs()));
			} else if (update === undefined) {
				// The store may have compacted its history, so the next call reads the full configuration.
				revision = undefined;
				// eslint-disable-next-line no-await-in-loop
				await wait(getRetryDelayMs(configurationDependency));
			} else {
				applyUpdate(update, startedAt, suspension);
				if (isNewerKnown && !isReading) {
					readNow();
				}

				// eslint-disable-next-line no-await-in-loop
				await wait(update.configuration === undefined || isNewerKnown ? 0 : changeCoalescingMs);
			}
		}
	}

	/** Returns the last known revision if it was the newest recently, so that a list of that revision is recent too. */
	function tryGetRecentRevision(): Revision | undefined {
		const now = performance.now();
		return now - revisionVerifiedAt > maximumRevisionAgeMs || now < staleReadsTrustedAt ? undefined : revision;
	}

	/** Applies the list of endpoints, or `undefined` if it could not be read. */
	function applyEndpoints(endpoints: readonly ListedEndpoint[] | undefined): void {
		if (endpoints === undefined) {
			host.dispatch({kind: 'endpointListFailed'});
			setKnown({endpointFailures: known.endpointFailures + 1});
		} else {
			host.dispatch({kind: 'endpointsListed', endpoints});
			setKnown({endpoints: createKnownEndpoints(endpoints, known.endpoints?.items)});
		}
	}

	function applyQuarantines(records: readonly QuarantineRecord[]): void {
		host.dispatch({kind: 'quarantinesListed', records});
		setKnown({quarantines: {items: records}});
	}

	/** Applies the list of evacuations, which was current at `readAt`, and passes on the newest one. */
	function applyEvacuations(dataCentres: readonly string[], source: EvacuationList['source'], readAt: Timestamp): void {
		host.dispatch({
			kind: 'evacuationsListed', dataCentres: new Set(dataCentres), source, readAt,
		});
		if (readAt >= (known.evacuations?.readAt ?? Number.NEGATIVE_INFINITY)) {
			setKnown({evacuations: {items: dataCentres, readAt}});
		}
	}

	async function runEndpointPolling(): Promise<void> {
		const dependency: Dependency = {name: 'endpoints', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			await waitUntilReading(); // eslint-disable-line no-await-in-loop
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const endpoints = await readList(dependency, async () => platform.listEndpoints(tryGetRecentRevision()));
			applyEndpoints(endpoints);
			// eslint-disable-next-line no-await-in-loop
			await wait(endpoints === undefined ? getRetryDelayMs(dependency) : getPollIntervalMs(endpointPollIntervalMs));
		}
	}

	/** Polls a list while this gateway reads the store itself. */
	async function runPolling<Item>(name: string, intervalMs: Milliseconds, list: (minimumRevision: Revision | undefined) => Promise<Listing<Item>>, applyItems: (items: readonly Item[], readAt: Timestamp) => void): Promise<void> {
		const dependency: Dependency = {name, isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			await waitUntilReading(); // eslint-disable-line no-await-in-loop
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const items = await readList(dependency, async () => list(tryGetRecentRevision()));
			if (items !== undefined) {
				applyItems(items, startedAt);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(items === undefined ? getRetryDelayMs(dependency) : getPollIntervalMs(intervalMs));
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

	/** Registers this gateway if it is not registered, and lists all gateways while it reads the store itself. */
	async function listGateways(self: GatewayRegistration): Promise<Listing<GatewayRegistration> | undefined> {
		if (!isRegistered && performance.now() >= registrationDueAt) {
			await platform.registerGateway(self);
			isRegistered = true;
		}

		return isReading ? platform.listGateways() : undefined;
	}

	/** Returns the gateways of a list, and after a restore also those that it lacks because they have not registered again yet. */
	function applyGatewayList(registrations: readonly GatewayRegistration[]): readonly GatewayRegistration[] {
		const listed = new Map(registrations.map(registration => [registration.name, registration]));
		knownGateways = performance.now() < missingGatewaysKeptUntil ? new Map([...knownGateways, ...listed]) : listed;
		return [...knownGateways.values()];
	}

	/** Applies the list of gateways. Logs their number when it changes, and whether this one is among them. */
	function applyGateways(registrations: readonly GatewayRegistration[]): void {
		if (registrations.length !== gatewayCount) {
			logger.info('gatewaysListed', {count: registrations.length, before: gatewayCount, isSelfListed: registrations.some(({name}) => name === selfName)});
			gatewayCount = registrations.length;
		}

		const listed = applyGatewayList(registrations);
		if (JSON.stringify(listed) !== JSON.stringify(known.gateways?.items)) {
			setKnown({gateways: {items: listed}});
		}

		host.onGateways(listed.filter(({name}) => name !== selfName));
	}

	/** Reads the list of gateways, which remains unread while a reader passes it on. */
	async function readGateways(dependency: Dependency, self: GatewayRegistration): Promise<readonly GatewayRegistration[] | 'unread' | undefined> {
		if (!isReading && isRegistered) {
			return 'unread';
		}

		return callPlatform(dependency, async () => {
			const listing = await listGateways(self);
			if (listing === undefined) {
				return 'unread';
			}

			checkEpoch(listing.epoch, dependency.name);
			reportUnusable(dependency.name, listing.unusable);
			return listing.items;
		});
	}

	async function runGatewayPolling(self: GatewayRegistration): Promise<void> {
		const dependency: Dependency = {name: 'gateways', isLost: false, failures: 0};
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one poll at a time
			const registrations = await readGateways(dependency, self);
			if (registrations !== undefined && registrations !== 'unread') {
				applyGateways(registrations);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(registrations === undefined ? getRetryDelayMs(dependency) : gatewayPollIntervalMs);
		}
	}

	function readNow(): void {
		revisionVerifiedAt = Number.NEGATIVE_INFINITY;
		const startedAt = performance.now();
		const suspension = suspensionCount;
		void callPlatform(configurationDependency, readConfiguration).then(update => {
			if (update !== undefined) {
				applyUpdate(update, startedAt, suspension);
			}
		});
	}

	/**
	Reads the configuration, since a watch may wait a second until it verifies anything, and resumes the watch and the polls. The calls of
	many gateways that lose their reader at once are spread.
	*/
	async function resumeReading(): Promise<void> {
		const spreadMs = Math.min(maximumReadDelayMs, getReadSpreadMs());
		await wait(Math.random() * spreadMs);
		if (!isReading || closing.signal.aborted) {
			return;
		}

		readNow();
		await wait(Math.random() * spreadMs);
		wakeWaiting();
	}

	/** Parses the configuration of a state. Returns `undefined` if the state has none, and throws if it can't be used. */
	function parseConfiguration({configuration}: FollowedState): ServingConfiguration | undefined {
		if (configuration === undefined) {
			return undefined;
		}

		const {source} = configuration;
		decoded = decoded?.source === source ? decoded : {source, configuration: platform.parseConfiguration(source)};
		return decoded.configuration;
	}

	function applyState(state: FollowedState, verifiedAt: Timestamp): boolean {
		const {revision: stateRevision, configuration: told, endpoints, quarantines, evacuations, gateways, hasEndpointFailure} = state;
		let configuration: ServingConfiguration | undefined;
		try {
			checkEpoch(stateRevision.epoch, 'reader');
			configuration = parseConfiguration(state);
		} catch (error) {
			logger.warn('readerStateRefused', {reason: getErrorText(error)});
			return false;
		}

		revision = {epoch: stateRevision.epoch, sequence: Math.max(revision?.sequence ?? 0, stateRevision.sequence)};
		revisionVerifiedAt = Math.max(revisionVerifiedAt, verifiedAt);
		host.onConfiguration({
			revision: stateRevision, configuration, writtenAtRevision: told?.writtenAtRevision, source: told?.source,
		}, verifiedAt);
		setKnown({verifiedAt: Math.max(known.verifiedAt, verifiedAt), configuration: told ?? known.configuration});
		if (hasEndpointFailure) {
			applyEndpoints(undefined);
		}

		if (endpoints !== undefined) {
			applyEndpoints(endpoints);
		}

		if (quarantines !== undefined) {
			applyQuarantines(quarantines);
		}

		if (evacuations !== undefined) {
			applyEvacuations(evacuations, 'reader', verifiedAt);
		}

		if (gateways !== undefined) {
			applyGateways(gateways);
		}

		return true;
	}

	return {
		start(self) {
			selfName = self.name;
			void runConfigurationWatch();
			void runEndpointPolling();
			void runPolling('quarantines', quarantinePollIntervalMs, platform.listQuarantines, applyQuarantines);
			if (host.hasEvacuations) {
				void runPolling('evacuations', evacuationPollIntervalMs, platform.listEvacuations, (dataCentres, readAt) => {
					applyEvacuations(dataCentres, 'store', readAt);
				});
			}

			void readCrashes();
			void runGatewayPolling(self);
		},
		refresh() {
			if (isFirstRead) {
				isNewerKnown = true;
			} else {
				readNow();
			}
		},
		refreshAfterSuspension() {
			suspensionCount += 1;
			known = {...known, verifiedAt: Number.NEGATIVE_INFINITY};
			readNow();
		},
		setReading(value) {
			isReading = value;
			if (isReading) {
				void resumeReading();
			}
		},
		applyState,
		getKnownState: () => ({...known, verifiedAt: getVerifiedAt(), revision}),
		observeChanges(handleChange) {
			observers.add(handleChange);
			return () => {
				observers.delete(handleChange);
			};
		},
		close() {
			closing.abort();
			wakeWaiting();
			for (const timer of timers) {
				clearTimeout(timer);
			}

			platform.close();
		},
	};
}
