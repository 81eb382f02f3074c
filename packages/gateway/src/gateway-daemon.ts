/**
Wires a gateway: servers for callers, balancer, peers and metrics, the feed from the platform, and a graceful stop.
*/
import type {IncomingMessage} from 'node:http';
import {createGateway, type Gateway} from '@currantcross/core/gateway/gateway';
import {defaultEndpointRegistrySettings} from '@currantcross/core/gateway/endpoint-registry';
import {getWeightedService} from '@currantcross/core/gateway/route-table';
import {getErrorText} from '@currantcross/core/error-text';
import {createNotRun, type Failure} from '@currantcross/core/errors';
import {createIncarnation} from '@currantcross/daemon/incarnation';
import {createRateLimitedLogger} from '@currantcross/daemon/logger';
import type {RouteGrant} from '@currantcross/core/gateway/configuration-state';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {startCallerServer} from './caller-server.js';
import type {CallerExchange} from './caller-exchange.js';
import {createClockWatch, processClocks} from './clock-watch.js';
import {createEndpointClient} from './endpoint-client.js';
import {createGatewayDriver} from './gateway-driver.js';
import type {
	CallerHead, Dialect, GatewayListing, PlatformHost,
} from './gateway-hosts.js';
import {createGatewayMetrics, startStatusServer} from './metrics.js';
import {createPlatformFeed} from './platform-feed.js';
import {parseAddress, type GatewayDaemonSettings} from './settings.js';
import {createWorkExchange} from './work-exchange.js';

export type GatewayDaemonHost = Readonly<{dialect: Dialect; platform: PlatformHost}>;

export type GatewayDaemon = Readonly<{
	/** Stops taking new work, lets open work end, and returns when the process may exit. */
	stop(): Promise<void>;
	/** Reads the settings again. What can't change while the process runs takes effect at its next start. */
	reload(read: () => GatewayDaemonSettings): void;
}>;

/** Part of the time that a revoked key may still work which is left to requests on their way. */
const keyMarginMs = 900;
/** Age of the configuration up to which a missing route or key is certain; one watch and its answer. */
const maximumAbsenceAgeMs = 2500;
/** Part of the shared limit of sends that is used; the rest covers what gateways do not know of each other. */
const usedBudgetShare = 0.75;
const clockCheckMs = 250;
/** Time after SIGTERM for which new requests are served, while the balancer notices. */
const acceptAfterStopMs = 2800;
/** Time before SIGKILL at which what is still open is broken off. */
const stopMarginMs = 400;
const stopPollMs = 50;

/** Starts a gateway and returns once it listens. */
export async function startGatewayDaemon(settings: GatewayDaemonSettings, host: GatewayDaemonHost): Promise<GatewayDaemon> {
	const {peerKey: sharedKey} = settings;
	const logger = createRateLimitedLogger(settings.logLevel, {process: settings.name});
	const gateway = createGateway({
		name: settings.name,
		incarnation: createIncarnation(),
		dataCentre: settings.dataCentre,
		configuration: {
			maximumKeyAgeMs: settings.revocationMs === undefined ? undefined : settings.revocationMs - keyMarginMs,
			maximumAbsenceAgeMs,
		},
		endpoints: defaultEndpointRegistrySettings,
		budget: {...settings.retries, usedShare: usedBudgetShare},
	});
	const metrics = createGatewayMetrics(gateway.getOpenRequestCount);
	const client = createEndpointClient();
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	const clockWatch = createClockWatch(processClocks);
	let requestCount = 0;
	let stoppedAt: number | undefined;
	let wasReady = false;

	const {name, dataCentre, processorShare} = settings;
	const own: GatewayListing = {
		name, dataCentre, processorShare, peerUrl: `http://${settings.peerAddress}`,
	};
	const exchange = createWorkExchange({
		own,
		connections,
		logger,
		getWorks: gateway.getWorks,
		dispatch(event) {
			driver.dispatch(event);
		},
	});
	const driver = createGatewayDriver(gateway, {
		client, dialect: host.dialect, logger, metrics, publishWork: exchange.publish,
	});
	const feed = createPlatformFeed({
		platform: host.platform,
		logger,
		metrics,
		dispatch(event) {
			driver.dispatch(event);
			if (event.kind === 'endpointsListed') {
				client.keepAddresses(new Set(event.endpoints.map(({address}) => address)));
			}
		},
		onConfiguration({configuration, revision}, verifiedAt) {
			const before = gateway.tryGetConfiguration()?.version;
			driver.dispatch({kind: 'configurationVerified', configuration, verifiedAt});
			const current = gateway.tryGetConfiguration();
			if (current !== undefined && current.version !== before) {
				callerServer.setLimits(current.limits);
				logger.info('configurationInForce', {
					version: current.version, before, revision, routes: current.routes.length,
				});
			}
		},
		onGateways(listings) {
			exchange.setGateways(listings);
			driver.dispatch({kind: 'gatewayCountKnown', count: listings.length + 1});
		},
	});

	function checkClock(): void {
		if (clockWatch.hasJumped()) {
			logger.warn('clockJumped', {configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now()))});
			driver.dispatch({kind: 'clockJumped'});
			feed.refresh();
		}
	}

	function checkRoute(message: IncomingMessage, head: CallerHead): RouteGrant | Failure {
		if (stoppedAt !== undefined && performance.now() - stoppedAt > acceptAfterStopMs) {
			return createNotRun('draining', undefined, 0);
		}

		const [path = ''] = (message.url ?? '').split('?');
		const result = gateway.checkRoute(message.headers.host ?? '', path, head.credential, performance.now());
		return result.kind === 'granted' ? result : result.failure;
	}

	function recordRefusal(head: CallerHead, failure: Failure): void {
		metrics.recordRequest(failure.kind, 0);
		logger.info('requestRefused', {
			request: head.requestId,
			error: failure.kind,
			detail: failure.detail,
			retryAfterMs: failure.retryAfterMs,
			version: gateway.tryGetConfiguration()?.version,
			configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now())),
		});
	}

	function handleRequest(callerExchange: CallerExchange, arrivedAt: number): () => void {
		const {head, message} = callerExchange;
		checkClock();
		const grant = checkRoute(message, head);
		if (!('route' in grant)) {
			recordRefusal(head, grant);
			callerExchange.fail(grant);
			return () => undefined;
		}

		const {route, organisation} = grant;
		requestCount += 1;
		return driver.submit({
			key: requestCount,
			requestId: head.requestId,
			route,
			service: getWeightedService(route, Math.random()),
			organisation,
			credential: head.credential,
			deadlineAt: arrivedAt + Math.min(route.timeoutMs, head.remainingMs ?? route.timeoutMs),
			arrivedAt,
			prompt: head.prompt,
			lastEventId: head.lastEventId,
		}, callerExchange);
	}

	function isReady(): boolean {
		const isNowReady = stoppedAt === undefined && gateway.isReady();
		if (isNowReady !== wasReady) {
			wasReady = isNowReady;
			logger.info('readinessChanged', {isReady: isNowReady});
		}

		return isNowReady;
	}

	const peerAddress = parseAddress(settings.peerAddress);
	const peerServer = await startPeerServer({...peerAddress, sharedKey, tls: undefined}, router => {
		registerGatewayService(router, exchange);
	});
	const callerServer = await startCallerServer(parseAddress(settings.callerAddress), {
		dialect: host.dialect,
		isDraining: () => stoppedAt !== undefined,
		checkHead(message, head) {
			checkClock();
			const grant = checkRoute(message, head);
			return 'route' in grant ? undefined : grant;
		},
		handleRequest,
		recordRefusal,
	});
	const readinessServer = await startStatusServer(parseAddress(settings.readinessAddress), async () => {
		checkClock();
		return {status: isReady() ? 200 : 503, text: ''};
	});
	const metricsServer = await startStatusServer(parseAddress(settings.metricsAddress), async () => ({status: 200, text: await metrics.getText()}));
	const clockTimer = setInterval(checkClock, clockCheckMs);
	feed.start(own);
	logger.info('started', {role: 'gateway', caller: settings.callerAddress, dataCentre: settings.dataCentre});

	return {
		async stop() {
			stoppedAt ??= performance.now();
			logger.info('stopping', {open: gateway.getOpenRequestCount()});
			isReady();
			await waitForRequests(gateway, stoppedAt, settings.graceMs);
			logger.info('stopped', {open: gateway.getOpenRequestCount()});
			clearInterval(clockTimer);
			callerServer.close();
			readinessServer.close();
			metricsServer.close();
			exchange.close();
			feed.close();
			driver.close();
			client.close();
			connections.close();
			await peerServer.close();
		},
		reload(read) {
			try {
				const keys = getChangedKeys(settings, read());
				logger.info('settingsReloaded', {changedAtNextStart: keys.join(',')});
			} catch (error) {
				logger.error('settingsRefused', {reason: getErrorText(error)});
			}
		},
	};
}

/** Returns the keys whose values differ. */
function getChangedKeys(before: GatewayDaemonSettings, after: GatewayDaemonSettings): readonly string[] {
	const oldValues = new Map<string, unknown>(Object.entries(before));
	return Object.entries(after).filter(([key, value]) => JSON.stringify(oldValues.get(key)) !== JSON.stringify(value)).map(([key]) => key);
}

/** Waits until callers have left and no request is open, or until the grace time is nearly over. */
async function waitForRequests(gateway: Gateway, stoppedAt: number, graceMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setInterval(() => {
			const waitedMs = performance.now() - stoppedAt;
			const isDone = waitedMs > acceptAfterStopMs && gateway.getOpenRequestCount() === 0;
			if (isDone || waitedMs > graceMs - stopMarginMs) {
				clearInterval(timer);
				resolve();
			}
		}, stopPollMs);
	});
}
