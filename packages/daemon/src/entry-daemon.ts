/**
The entry daemon: wires the decisions of an entry to callers, agents, operators, other entries and the platform.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {startCallerApi} from '@currantcross/caller/caller-api';
import {createHasher} from '@currantcross/caller/hasher';
import type {CallerHost} from '@currantcross/caller/request-listener';
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
import {createLogger} from './logger.js';
import {createMetrics} from './metrics.js';
import {startOrderReconciler} from './order-reconciler.js';
import {createRequestStatistics} from './request-statistics.js';
import {readKeyFile, type EntryDaemonSettings} from './settings.js';

const peerTimeoutMs = 1000;
const objectApiTimeoutMs = 2000;
const drainPollMs = 50;

/** Entries that want the leases for orders. */
const orderCandidates = 2;

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

/** Waits until no request is open. */
async function waitForRequests(entry: Entry): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			if (entry.getOpenRequestCount() === 0) {
				clearInterval(timer);
				resolve();
			}
		}, drainPollMs);
	});
}

/** Starts the daemon and waits until it listens. */
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
	const peers = createEntryPeerClient(settings.name, connections, peerTimeoutMs);
	const api = createObjectApi({url: settings.platform.objectApiUrl, timeoutMs: objectApiTimeoutMs});
	const writer = `${settings.name}/${incarnation}`;
	const claims = createClaimStore({writer, bucketCount: settings.claimBuckets, entryName: settings.name}, {
		api, peers, getHash, getOtherEntries,
	});
	const hosts = createHostListReader(settings.platform.hostListUrl, settings.peers, {
		random,
		logger,
		onRead(list) {
			driver.dispatch({kind: 'hostListRead', listings: list.servers, entryCount: Math.max(1, list.entries.length)});
		},
	});
	const sync = createConfigurationSync({entryName: settings.name, dataCentre: settings.dataCentre, writer}, {
		api,
		peers,
		random,
		getHash,
		getOtherEntries,
		refreshEntries: async () => hosts.readNow(),
		onInForce(sequence) {
			metrics.recordConfigurationSequence(sequence);
			logger.info('configurationInForce', {sequence});
		},
	});
	const {configuration} = sync;
	const entry = createEntry({...defaultEntrySettings, entryName: settings.name, dataCentre: settings.dataCentre}, {
		configuration, random, policy: getPolicy(settings.policy), getHash,
	});
	const agents = createAgentClient(connections, peerTimeoutMs);
	const driver = createEntryDriver(entry, {agents, claims, logger});
	const statistics = createRequestStatistics(configuration, metrics, logger);
	const reconciler = startOrderReconciler(writer, {
		configuration, api, agents, logger, getMembers: () => entry.getMembers(), isCandidate: isOrderCandidate,
	});
	let requestCount = 0;

	/** Returns whether this entry is among the first of all entries, in an order that all of them share. */
	function isOrderCandidate(): boolean {
		const ownRank = getHash(settings.name);
		return getOtherEntries().filter(listing => getHash(listing.name) < ownRank).length < orderCandidates;
	}

	function getOtherEntries(): readonly EntryListing[] {
		return hosts.getEntries().filter(listing => listing.name !== settings.name);
	}

	/** Returns an id that no other life of any entry gives. */
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
			const report = parseTrustedJson<EntryReport>(await peers.getReport(listing.peerUrl));
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
		applyTicket: async (ticket, waitsForAll) => sync.applyTicket(ticket, waitsForAll),
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
			getDelta: after => sync.getDelta(after),
			learnSequence(sequence, entryName) {
				sync.learnSequence(sequence, entryName);
			},
			getReport: () => JSON.stringify(getReport()),
			appendClaim: async (record, budgetMs) => claims.submitHere(record, budgetMs),
		});
	});
	const callerServer = await startCallerApi(settings.caller, callerHost);
	const operatorServer = await startOperatorApi({...settings.operator, operatorKey}, operatorHost);
	const gaugeTimer = setInterval(() => {
		metrics.recordOpenRequests(entry.getOpenRequestCount());
	}, gaugeIntervalMs);
	await hosts.start();
	sync.start();
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
			const closed = callerServer.close();
			await waitForRequests(entry);
			await closed;
			await claims.drain();
			await operatorServer.close();
			sync.close();
			hosts.close();
			claims.close();
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
