/**
Composes a gateway process: the servers for callers, readiness checks, peer gateways and metrics, the feed from the
platform, and the graceful shutdown.
*/
import type {IncomingMessage} from 'node:http';
import {setTimeout as setTimeoutPromise} from 'node:timers/promises';
import {getCallerMemoryLimit, getMaximumConnections} from '@currantcross/core/gateway/caller-memory';
import {createGateway} from '@currantcross/core/gateway/gateway';
import {defaultEndpointRegistrySettings} from '@currantcross/core/gateway/endpoint-registry';
import {getMaximumStateAgeMs} from '@currantcross/core/gateway/feed-source';
import {getWeightedService} from '@currantcross/core/gateway/route-table';
import {getErrorText} from '@currantcross/core/error-text';
import {createNotRunFailure, type Failure} from '@currantcross/core/errors';
import {createHasher} from '@currantcross/caller/hasher';
import {createIncarnation} from '@currantcross/daemon/incarnation';
import {createRateLimitedLogger} from '@currantcross/daemon/logger';
import type {RouteGrant} from '@currantcross/core/gateway/configuration-state';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {startLoopMonitor} from '@currantcross/core/loop-monitor';
import {formatDelays} from '@currantcross/core/arrival-delays';
import {startCallerServer, type RequestArrival} from './caller-server.js';
import type {CallerExchange} from './caller-exchange.js';
import {createClockJumpDetector, processClocks} from './clock-jump-detector.js';
import {createEndpointClient} from './endpoint-client.js';
import {createGatewayDriver} from './gateway-driver.js';
import type {
	CallerHead, WireFormat, GatewayRegistration, PlatformHost,
} from './gateway-hosts.js';
import {createGatewayMetrics, startStatusServer} from './metrics.js';
import {createPlatformFeed} from './platform-feed.js';
import {parseAddress, type GatewayDaemonSettings} from './settings.js';
import {createReaderFollower} from './reader-follower.js';
import {createStateStream} from './state-publisher.js';
import {createWorkExchange} from './work-exchange.js';

export type GatewayDaemonHost = Readonly<{wireFormat: WireFormat; platform: PlatformHost}>;

export type GatewayDaemon = Readonly<{
	/**
	Shuts down: reports the gateway as not ready, serves new requests for a short time, waits until the open ones are complete and their
	callers have taken the responses, and resolves when the process can exit.
	*/
	stop(): Promise<void>;
	/** Reads the settings again and logs which keys differ. Changes take effect at the next start. */
	reload(readSettings: () => GatewayDaemonSettings): void;
}>;

/** Part of `revocationMs` that is reserved for requests in flight when the key check expires. */
const revocationMarginMs = 900;
/** Maximum age of the configuration at which a route or key not in it is reported as unknown; covers one watch and its response. */
const maximumAbsenceAgeMs = 2500;
/** Share of the gateways' common retry limit that is used, so that they stay within it together even if their gateway counts are stale. */
const usedRetryQuotaShare = 0.75;
/** Interval at which the clocks are compared while no requests arrive. */
const clockCheckIntervalMs = 250;
/** How long new requests are still served after SIGTERM, until the load balancer has seen that the gateway is not ready. */
const acceptAfterStopMs = 2800;
/** How long before SIGKILL no more requests are waited for, and the last connections are accepted; part of the grace period. */
const stopMarginMs = 400;
const stopPollIntervalMs = 50;
/** How long the last requests may take to arrive on open connections, and their answers to reach the network, before connections are closed. */
const lastAnswerMs = 150;
const lastAnswerPollMs = 10;
/** Delay of the event loop, and time for which connections may wait to be accepted, from which on it is logged. */
const loggedDelayMs = 250;

/** Starts a gateway and returns once all its servers listen. */
export async function startGatewayDaemon(settings: GatewayDaemonSettings, host: GatewayDaemonHost): Promise<GatewayDaemon> {
	const {peerKey: sharedKey} = settings;
	const logger = createRateLimitedLogger(settings.logLevel, {process: settings.name});
	const maximumKeyAgeMs = settings.revocationMs === undefined ? undefined : settings.revocationMs - revocationMarginMs;
	const gateway = createGateway({
		name: settings.name,
		incarnation: createIncarnation(),
		dataCentre: settings.dataCentre,
		configuration: {
			maximumKeyAgeMs,
			maximumAbsenceAgeMs,
		},
		endpoints: defaultEndpointRegistrySettings,
		retryQuota: {...settings.retries, usedShare: usedRetryQuotaShare},
		memoryIdleMs: settings.memoryIdleMs,
		regions: new Map(Object.entries(settings.regions)),
		evacuationMs: settings.evacuationMs,
		coldEndpoints: settings.coldEndpoints,
		isWorkAware: settings.workRouting.isEnabled,
		isUrgencyAware: settings.urgency.isEnabled,
	});
	const hasher = await createHasher();
	const metrics = createGatewayMetrics(gateway.getOpenRequestCount, () => gateway.getColdCounts(performance.now()));
	const client = createEndpointClient({
		isCallerResponse(status, headers) {
			const {requestId} = host.wireFormat.parseResponseHead(status, headers);
			return requestId !== undefined && requestId !== '';
		},
	}, settings.processorShare);
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	// Streams of one set of connections replace each other's connection to a peer.
	const readerConnections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	const clockJumpDetector = createClockJumpDetector(processClocks);
	const loopMonitor = startLoopMonitor({
		onTick(delayMs, unacceptedMs) {
			metrics.recordLoopDelay(delayMs);
			if (delayMs > loggedDelayMs) {
				logger.warn('loopStalled', {delayMs: Math.round(delayMs)});
			}

			if (unacceptedMs > loggedDelayMs) {
				logger.warn('acceptDelayed', {unacceptedMs: Math.round(unacceptedMs)});
			}
		},
		onAcceptsBehind() {
			callerServer.probeAccepts();
		},
	});
	let lastRequestKey = 0;
	let stoppedAt: number | undefined;
	let wasReady = false;

	const {name, dataCentre, processorShare} = settings;
	const self: GatewayRegistration = {
		name, dataCentre, processorShare, peerUrl: `http://${settings.peerAddress}`,
	};
	const workExchange = createWorkExchange({
		self,
		connections,
		logger,
		recordQuery: metrics.recordQuery,
		recordBatch: metrics.recordBatch,
		getSnapshot: peer => gateway.getSnapshot(peer, performance.now()),
		dispatch(event) {
			driver.dispatch(event);
		},
	});
	const driver = createGatewayDriver(gateway, {
		client, wireFormat: host.wireFormat, logger, metrics, publishChange: workExchange.publish, name: settings.name, platform: host.platform,
		callerMemoryLimit: getCallerMemoryLimit(settings.memoryMb, 0),
		readConfiguration() {
			feed.refresh();
		},
	});
	const feed = createPlatformFeed({
		platform: host.platform,
		logger,
		metrics,
		hasEvacuations: settings.evacuationMs !== undefined,
		dispatch(event) {
			driver.dispatch(event);
			if (event.kind === 'endpointsListed') {
				client.closePoolsExcept(new Set(event.endpoints.map(({address}) => address)));
			}

			resumeHeld();
		},
		onConfiguration({configuration, writtenAtRevision, revision}, verifiedAt) {
			const previousVersion = gateway.tryGetConfiguration()?.version;
			driver.dispatch({
				kind: 'configurationVerified', configuration, writtenAtRevision, verifiedAt,
			});
			const current = gateway.tryGetConfiguration();
			const isOutdated = gateway.isConfigurationOutdated(performance.now());
			if (configuration !== undefined && current !== undefined && (isOutdated || configuration.version < current.version)) {
				logger.warn('configurationOutdated', {
					version: configuration.version, inForce: current.version, isOutdated, epoch: revision.epoch, revision: revision.sequence,
				});
			}

			if (current !== undefined && current.version !== previousVersion) {
				callerServer.setLimits(current.limits);
				logger.info('configurationInForce', {
					version: current.version, before: previousVersion, epoch: revision.epoch, revision: revision.sequence, routes: current.routes.length,
				});
			}

			resumeHeld();
		},
		recordCall(isAnswered) {
			callerServer.recordStoreCall(isAnswered);
		},
		onGateways(registrations) {
			workExchange.setGateways(registrations);
			readerFollower.setGateways(registrations);
			driver.dispatch({kind: 'gatewayCountKnown', count: registrations.length + 1});
			driver.dispatch({kind: 'gatewaysListed', names: registrations.map(registration => registration.name)});
		},
	});

	const readerFollower = createReaderFollower({
		self, connections: readerConnections, logger, maximumStateAgeMs: getMaximumStateAgeMs(maximumKeyAgeMs), applyState: feed.applyState, setReading: feed.setReading,
	});
	const streamState = createStateStream({
		getKnownState() {
			checkClock();
			return feed.getKnownState();
		},
		observeChanges: feed.observeChanges,
	});

	function checkClock(): void {
		if (clockJumpDetector.hasJumped()) {
			logger.warn('clockJumped', {configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now()))});
			driver.dispatch({kind: 'clockJumped'});
			readerFollower.reset();
			feed.refreshAfterSuspension();
		}
	}

	function resumeHeld(): void {
		if (gateway.canCheck()) {
			callerServer.resumeHeld();
		}
	}

	/** Returns the grant for the request's route and credential, or the failure if the request is refused. */
	function checkRoute(message: IncomingMessage, head: CallerHead): RouteGrant | Failure {
		if (stoppedAt !== undefined && performance.now() - stoppedAt > acceptAfterStopMs) {
			return createNotRunFailure('draining', undefined, 0);
		}

		const path = getPath(message);
		const result = gateway.checkRoute(message.headers.host ?? '', path, head.credential, performance.now());
		return result.kind === 'granted' ? result : result.failure;
	}

	function recordRefusal(head: CallerHead, arrival: RequestArrival, failure: Failure): void {
		metrics.recordRequest(failure.kind, 0);
		metrics.recordDelays(arrival.delays);
		logger.info('requestRefused', {
			request: head.requestId,
			error: failure.kind,
			detail: failure.detail,
			retryAfterMs: failure.retryAfterMs,
			...formatDelays(arrival.delays),
			waitedMs: Math.round(performance.now() - arrival.readAt),
			version: gateway.tryGetConfiguration()?.version,
			configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now())),
		});
	}

	function recordDeparture(head: CallerHead, {readAt, delays}: RequestArrival): void {
		metrics.recordRequest('clientGone', delays.totalMs);
		metrics.recordDelays(delays);
		logger.info('requestDropped', {request: head.requestId, ...formatDelays(delays), waitedMs: Math.round(performance.now() - readAt)});
	}

	function handleRequest(callerExchange: CallerExchange, arrival: RequestArrival): () => void {
		const {head, message} = callerExchange;
		const {readAt, delays} = arrival;
		checkClock();
		const grantOrFailure = checkRoute(message, head);
		if (!('route' in grantOrFailure)) {
			recordRefusal(head, arrival, grantOrFailure);
			callerExchange.fail(grantOrFailure);
			return () => undefined;
		}

		const {route, organisation} = grantOrFailure;
		const arrivedAt = readAt - delays.totalMs;
		metrics.recordDelays(delays);
		lastRequestKey += 1;
		return driver.submit({
			key: lastRequestKey,
			requestId: head.requestId,
			route,
			path: getPath(message),
			service: getWeightedService(route, Math.random()),
			organisation,
			priority: gateway.getPriority(route, organisation),
			credential: head.credential,
			deadlineAt: arrivedAt + Math.min(route.timeoutMs, head.remainingMs ?? route.timeoutMs),
			arrivedAt,
			delays,
			prompt: head.prompt,
			sharedSegments: head.sharedSegments,
			fingerprint: hasher.getContentHash(`${message.method} ${message.headers.host} ${message.url} ${organisation ?? ''} `, callerExchange.body),
			lastEventId: head.lastEventId,
		}, callerExchange);
	}

	/** Returns whether the gateway is ready, and logs each change. */
	function checkReadiness(): boolean {
		const isNowReady = stoppedAt === undefined && gateway.isReady(performance.now());
		if (isNowReady !== wasReady) {
			wasReady = isNowReady;
			logger.info('readinessChanged', {isReady: isNowReady});
		}

		return isNowReady;
	}

	const peerAddress = parseAddress(settings.peerAddress);
	const peerServer = await startPeerServer({...peerAddress, sharedKey, tls: undefined}, router => {
		registerGatewayService(router, {streamWork: workExchange.streamWork, streamState});
	});
	const callerServer = await startCallerServer(parseAddress(settings.callerAddress), {
		memoryMb: settings.memoryMb, maximumConnections: getMaximumConnections(settings.maximumDescriptors), processorShare,
	}, {
		wireFormat: host.wireFormat,
		isDraining: () => stoppedAt !== undefined,
		isHolding: () => settings.earlyRequests.areHeld && stoppedAt === undefined && !gateway.canCheck(),
		recordEarly(outcome, {requestId}, heldMs) {
			metrics.recordEarlyRequest(outcome);
			logger.info('requestHeld', {request: requestId, outcome, heldMs: Math.round(heldMs)});
		},
		checkHead(message, head) {
			checkClock();
			const grantOrFailure = checkRoute(message, head);
			return 'route' in grantOrFailure ? undefined : grantOrFailure;
		},
		waitForNews: workExchange.waitForNews,
		handleRequest,
		recordDeparture,
		loopMonitor,
		recordRefusal,
		recordProbeFailure(code) {
			logger.warn('acceptProbeFailed', {reason: code});
		},
		recordBound(bound) {
			metrics.recordCallerBound(bound);
			logger.warn('callersBounded', {bound});
		},
	});
	const readinessServer = await startStatusServer(parseAddress(settings.readinessAddress), async () => {
		checkClock();
		return {status: checkReadiness() ? 200 : 503, text: ''};
	});
	const metricsServer = await startStatusServer(parseAddress(settings.metricsAddress), async () => ({status: 200, text: await metrics.getText()}));
	const clockTimer = setInterval(checkClock, clockCheckIntervalMs);
	feed.start(self);
	logger.info('started', {role: 'gateway', caller: settings.callerAddress, dataCentre: settings.dataCentre});

	return {
		async stop() {
			stoppedAt ??= performance.now();
			logger.info('stopping', {open: gateway.getOpenRequestCount()});
			checkReadiness(); // Logs that the gateway is no longer ready.
			const getOpenCount = (): number => gateway.getOpenRequestCount() + callerServer.getPendingCount() + callerServer.getUndeliveredCount();
			await waitForRequests(getOpenCount, stoppedAt, settings.graceMs);
			logger.info('stopped', {open: gateway.getOpenRequestCount(), pending: callerServer.getPendingCount(), undelivered: callerServer.getUndeliveredCount()});
			await callerServer.stopListening(settings.graceMs - lastAnswerMs - (performance.now() - stoppedAt));
			callerServer.refusePending(createNotRunFailure('draining', 'the process ends', 0));
			driver.dispatch({kind: 'graceEnded'});
			await waitForConnections(callerServer.getConnectionCount);

			clearInterval(clockTimer);
			loopMonitor.close();
			callerServer.close();
			readinessServer.close();
			metricsServer.close();
			workExchange.close();
			readerFollower.close();
			feed.close();
			driver.close();
			client.close();
			connections.close();
			readerConnections.close();
			await peerServer.close();
		},
		reload(readSettings) {
			try {
				const changedKeys = getChangedKeys(settings, readSettings());
				logger.info('settingsReloaded', {changedAtNextStart: changedKeys.join(',')});
			} catch (error) {
				logger.error('settingsRefused', {reason: getErrorText(error)});
			}
		},
	};
}

function getPath({url = ''}: IncomingMessage): string {
	const [path = ''] = url.split('?');
	return path;
}

/** Returns the settings keys whose values differ. */
function getChangedKeys(before: GatewayDaemonSettings, after: GatewayDaemonSettings): readonly string[] {
	const oldValues = new Map<string, unknown>(Object.entries(before));
	return Object.entries(after).filter(([key, value]) => JSON.stringify(oldValues.get(key)) !== JSON.stringify(value)).map(([key]) => key);
}

/** Waits until new requests are no longer accepted and none is open or undelivered, or until the grace period is almost over. */
async function waitForRequests(getOpenCount: () => number, stoppedAt: number, graceMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			const waitedMs = performance.now() - stoppedAt;
			const isDone = waitedMs > acceptAfterStopMs && getOpenCount() === 0;
			if (isDone || waitedMs > graceMs - stopMarginMs) {
				clearInterval(timer);
				resolve();
			}
		}, stopPollIntervalMs);
	});
}

/** Waits until callers have no connections left, for a limited time. */
async function waitForConnections(getConnectionCount: () => number): Promise<void> {
	const startedAt = performance.now();
	while (getConnectionCount() > 0 && performance.now() - startedAt < lastAnswerMs) {
		await setTimeoutPromise(lastAnswerPollMs); // eslint-disable-line no-await-in-loop
	}
}
