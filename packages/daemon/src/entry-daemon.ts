/**
The entry daemon: connects the state machine of an entry to callers, agents, operators, other entries and the platform.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {startCallerApi} from '@currantcross/caller/caller-api';
import {createHasher} from '@currantcross/caller/hasher';
import type {CallerHost} from '@currantcross/caller/request-listener';
import type {CallerBound, GiveWay} from '@currantcross/caller/caller-connections';
import {createCallerMemory, getCallerMemoryLimit, getMaximumConnections} from '@currantcross/core/gateway/caller-memory';
import {getBurnLines, type BurnCount} from '@currantcross/core/burn';
import {createEntry, defaultEntrySettings, type Entry} from '@currantcross/core/entry';
import type {Member} from '@currantcross/core/membership';
import {createRandom} from '@currantcross/core/random';
import {defaultRoutingPolicy, type RoutingPolicy} from '@currantcross/core/routing';
import {startOperatorApi} from '@currantcross/operator/operator-api';
import type {
	BurnReport, EntryReport, OperatorHost, ServerView,
} from '@currantcross/operator/operator-types';
import {createAgentClient} from '@currantcross/peer/agent-client';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {createEntryPeerClient, registerEntryService} from '@currantcross/peer/entry-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import type {EntryListing} from '@currantcross/object-api/host-list';
import {createObjectApi} from '@currantcross/object-api/object-api';
import {createClaimStore} from './claim-store.js';
import {createConfigurationSync} from './configuration-sync.js';
import type {Daemon} from './daemon.js';
import {createEntryDriver} from './entry-driver.js';
import {createHostListReader} from './host-list-reader.js';
import {createIncarnation} from './incarnation.js';
import {createLogLimiter} from './log-limiter.js';
import {createLogger} from './logger.js';
import {createMetrics} from './metrics.js';
import {startOrderReconciler} from './order-reconciler.js';
import {createRequestStatistics} from './request-statistics.js';
import {readKeyFile, type EntryDaemonSettings} from './settings.js';

const peerTimeoutMs = 1000;
const objectApiTimeoutMs = 2000;
const drainPollMs = 50;

/** Number of entries that compete for the order leases. */
const orderCandidateCount = 2;

const maximumOperatorConnections = 64;
/** Lines a second that say that callers were bounded, for each bound. */
const boundLinesPerSecond = 10;

const gaugeIntervalMs = 10_000;
const seedRange = 2 ** 31;

function getPolicy(name: EntryDaemonSettings['policy']): RoutingPolicy {
	switch (name) {
		case 'lengthAware': {
			return defaultRoutingPolicy;
		}

		case 'leastOutstanding':
		case 'roundRobin': {
			return {kind: name};
		}
	}
}

function getServerState(member: Member): ServerView['state'] {
	if (member.unreachableUntil > performance.now()) {
		return 'unreachable';
	}

	return member.status?.state ?? 'unknown';
}

function getServerView(member: Member): ServerView {
	const {server, status, isLeaving} = member;
	return {
		name: server.name,
		pool: server.pool,
		dataCentre: server.dataCentre,
		state: getServerState(member),
		isLeaving,
		incarnation: status?.permit.incarnation,
		activeRequests: status?.load.activeRequests,
		queuedRequests: status?.load.queuedRequests,
	};
}

/** Waits until every open request has ended. */
async function waitForOpenRequests(entry: Entry): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			if (entry.getOpenRequestCount() === 0) {
				clearInterval(timer);
				resolve();
			}
		}, drainPollMs);
	});
}

/** Starts the daemon; resolves once it listens on all its ports. */
export async function startEntryDaemon(settings: EntryDaemonSettings): Promise<Daemon> {
	const logger = createLogger(settings.log.level, {process: settings.name});
	const metrics = createMetrics(settings.metrics, {process: settings.name, dataCentre: settings.dataCentre});
	const {getHash, getLongHash} = await createHasher();
	const incarnation = createIncarnation();
	const random = createRandom(Math.floor(Math.random() * seedRange));
	const sharedKey = readKeyFile(settings.peer.sharedKeyFile);
	const operatorKey = readKeyFile(settings.operator.keyFile);
	const {tls} = settings.peer;
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls});
	const peerClient = createEntryPeerClient(settings.name, connections, peerTimeoutMs);
	const objectApi = createObjectApi({url: settings.platform.objectApiUrl, timeoutMs: objectApiTimeoutMs});
	const writer = `${settings.name}/${incarnation}`;
	const claimStore = createClaimStore({writer, bucketCount: settings.claimBuckets, entryName: settings.name}, {
		objectApi, peerClient, getHash, getOtherEntries,
	});
	const hostListReader = createHostListReader(settings.platform.hostListUrl, settings.peers, {
		random,
		logger,
		onChange(hostList) {
			driver.dispatch({kind: 'hostListRead', listings: hostList.servers, entryCount: Math.max(1, hostList.entries.length)});
		},
	});
	const configurationSync = createConfigurationSync({entryName: settings.name, dataCentre: settings.dataCentre, writer}, {
		objectApi,
		peerClient,
		random,
		getHash,
		getOtherEntries,
		readHostList: async () => hostListReader.readNow(),
		onInForce(sequence) {
			metrics.recordConfigurationSequence(sequence);
			logger.info('configurationInForce', {sequence});
		},
	});
	const {configuration} = configurationSync;
	const entry = createEntry({...defaultEntrySettings, entryName: settings.name, dataCentre: settings.dataCentre}, {
		configuration, random, policy: getPolicy(settings.policy), getHash,
	});
	const agentClient = createAgentClient(connections, peerTimeoutMs);
	const driver = createEntryDriver(entry, {agentClient, claimStore, logger});
	const statistics = createRequestStatistics(configuration, metrics, logger);
	const reconciler = startOrderReconciler(writer, {
		configuration, objectApi, agentClient, logger, getMembers: () => entry.getMembers(), isCandidate: isOrderCandidate,
	});
	let requestCount = 0;

	/** Returns whether this entry competes for the order leases. Those with the lowest hashes of their names do, so that all entries agree. */
	function isOrderCandidate(): boolean {
		const ownRank = getHash(settings.name);
		return getOtherEntries().filter(listing => getHash(listing.name) < ownRank).length < orderCandidateCount;
	}

	function getOtherEntries(): readonly EntryListing[] {
		return hostListReader.getEntries().filter(listing => listing.name !== settings.name);
	}

	/** Returns an id that is unique across all entries and their restarts. */
	function createRequestId(): string {
		requestCount += 1;
		return `${settings.name}-${incarnation}-${requestCount}`;
	}

	const callerHost: CallerHost = {
		createRequestId,
		submit(request, listener) {
			driver.submit(request, statistics.observe(request, listener));
		},
		cancel(requestId) {
			driver.dispatch({kind: 'callerGone', requestId});
		},
		isReady: () => configuration.getSequence() > 0,
		isDraining: () => entry.isDraining(),
		findIdempotentMethods(name) {
			const route = configuration.tryGetRoute(name);
			return route?.kind === 'service' ? route.idempotentMethods : undefined;
		},
		getRouteNames: () => [...configuration.getRoutes().keys()],
		getLongHash,
	};

	function getReport(): EntryReport {
		return {entry: settings.name, counts: statistics.getCounts()};
	}

	async function readPeerReport(listing: EntryListing): Promise<EntryReport | undefined> {
		try {
			const report = parseTrustedJson<EntryReport>(await peerClient.getReport(listing.peerUrl));
			return report;
		} catch {
			return undefined;
		}
	}

	async function getBurnReport(): Promise<BurnReport> {
		const others = getOtherEntries();
		const answers = await Promise.all(others.map(async listing => readPeerReport(listing)));
		const missing = others.filter((_, index) => answers[index] === undefined).map(({name}) => name);
		const counts: readonly BurnCount[] = [getReport(), ...answers].flatMap(report => report?.counts ?? []);
		const objectives = new Map([...configuration.getRoutes()].map(([name, route]) => [name, route.objective]));
		return {lines: getBurnLines(counts, objectives), missing};
	}

	const operatorHost: OperatorHost = {
		applyTicket: async (ticket, waitsForAll) => configurationSync.applyTicket(ticket, waitsForAll),
		getTicketObjects: number => configuration.getTicketObjects(number),
		getRoutes: () => [...configuration.getRoutes()].map(([name, route]) => ({name, route})),
		getServers: () => [...entry.getMembers()].map(member => getServerView(member)),
		getBurnReport,
		createRequestId,
	};

	const peerServer = await startPeerServer({
		host: settings.peer.host, port: settings.peer.port, sharedKey, tls,
	}, router => {
		registerEntryService(router, {
			getDelta: after => configurationSync.getDelta(after),
			learnSequence(sequence, entryName) {
				configurationSync.learnSequence(sequence, entryName);
			},
			getReport: () => JSON.stringify(getReport()),
			appendClaim: async (record, budgetMs) => claimStore.submitLocally(record, budgetMs),
		});
	});
	const memory = createCallerMemory<GiveWay>();
	memory.setLimit(getCallerMemoryLimit(settings.memoryMb, settings.caller.maximumBodyBytes));
	const boundLines = createLogLimiter(boundLinesPerSecond);
	function recordBound(bound: CallerBound): void {
		metrics.recordCallerBound(bound);
		if (boundLines.tryTake(bound, performance.now())) {
			logger.warn('callersBounded', {bound});
		}
	}

	function recordProbeFailure(code: string): void {
		logger.warn('acceptProbeFailed', {reason: code});
	}

	const callerServer = await startCallerApi({
		...settings.caller, bounds: {
			memory, recordBound, recordProbeFailure, maximumConnections: getMaximumConnections(settings.maximumDescriptors),
		},
	}, callerHost);
	const operatorServer = await startOperatorApi({
		...settings.operator, operatorKey, bounds: {
			memory, recordBound, recordProbeFailure, maximumConnections: maximumOperatorConnections,
		},
	}, operatorHost);
	const gaugeTimer = setInterval(() => {
		metrics.recordOpenRequests(entry.getOpenRequestCount());
	}, gaugeIntervalMs);
	await hostListReader.start();
	configurationSync.start();
	logger.info('started', {
		role: 'entry', callerPort: callerServer.port, operatorPort: operatorServer.port, peerPort: peerServer.port, incarnation,
	});

	return {
		ports: {caller: callerServer.port, operator: operatorServer.port, peer: peerServer.port},
		async stop() {
			logger.info('stopping', {open: entry.getOpenRequestCount()});
			driver.dispatch({kind: 'drainStarted'});
			await new Promise(resolve => {
				setTimeout(resolve, settings.drainLagMs);
			});
			const callerServerClosed = callerServer.close();
			await waitForOpenRequests(entry);
			await callerServerClosed;
			await claimStore.drain();
			await operatorServer.close();
			configurationSync.close();
			hostListReader.close();
			claimStore.close();
			reconciler.close();
			driver.close();
			clearInterval(gaugeTimer);
			metrics.close();
			connections.close();
			await peerServer.close();
			logger.info('stopped');
		},
	};
}
