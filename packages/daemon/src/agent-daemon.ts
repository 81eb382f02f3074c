/**
The agent daemon: connects the state machine of an agent to the entries and to the local server.
*/
import {createAgent, defaultAgentSettings} from '@currantcross/core/agent';
import {createBusinessServiceClient} from '@currantcross/endpoint/business-service';
import {createModelServerClient} from '@currantcross/endpoint/model-server';
import {createAgentService} from '@currantcross/peer/agent-service';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {createObjectApi} from '@currantcross/object-api/object-api';
import {createAgentDriver, type AgentDriver, type ServerClient} from './agent-driver.js';
import type {Daemon} from './daemon.js';
import {createIncarnation} from './incarnation.js';
import {createLogger} from './logger.js';
import {createMetrics} from './metrics.js';
import {createOrderHandler} from './order-handler.js';
import {readKeyFile, type AgentDaemonSettings} from './settings.js';

const engineTimeoutMs = 2000;
const objectApiTimeoutMs = 2000;
const drainPollMs = 50;
const gaugeIntervalMs = 10_000;

function createServerClient({server}: AgentDaemonSettings): ServerClient {
	switch (server.kind) {
		case 'model': {
			return {kind: 'model', client: createModelServerClient(server.url, engineTimeoutMs)};
		}

		case 'business': {
			return {kind: 'business', client: createBusinessServiceClient(server.url)};
		}
	}
}

/** Starts the daemon; resolves once it listens. */
export async function startAgentDaemon(settings: AgentDaemonSettings): Promise<Daemon> {
	const logger = createLogger(settings.log.level, {process: settings.name});
	const metrics = createMetrics(settings.metrics, {process: settings.name, dataCentre: settings.dataCentre});
	const incarnation = createIncarnation();
	const {maximumActive, maximumLongActive} = settings.limits;
	const agent = createAgent({
		...defaultAgentSettings,
		...(maximumActive === undefined ? {} : {maximumActive}),
		...(maximumLongActive === undefined ? {} : {maximumLongActive}),
		server: settings.name,
		incarnation,
	});
	const agentService = createAgentService({
		receive(event) {
			driver.dispatch(event);
		},
		getStatus: () => agent.getStatus(performance.now()),
		applyOrder: async order => orderHandler.applyOrder(order),
	});
	const serverClient = createServerClient(settings);
	const driver: AgentDriver = createAgentDriver(agent, {server: serverClient, logger, getAdapter: () => agentService});
	const objectApi = settings.platform === undefined
		? undefined
		: createObjectApi({url: settings.platform.objectApiUrl, timeoutMs: objectApiTimeoutMs});
	const orderHandler = createOrderHandler(objectApi, serverClient.kind === 'model' ? serverClient.client : undefined);
	const peerServer = await startPeerServer({
		host: settings.peer.host,
		port: settings.peer.port,
		sharedKey: readKeyFile(settings.peer.sharedKeyFile),
		tls: settings.peer.tls,
	}, router => {
		agentService.registerRoutes(router);
	});
	const gaugeTimer = setInterval(() => {
		metrics.recordLiveAttempts(agent.getLiveCount());
	}, gaugeIntervalMs);
	logger.info('started', {role: 'agent', peerPort: peerServer.port, incarnation});

	/** Starts draining and waits until every attempt has ended. */
	async function drain(): Promise<void> {
		driver.dispatch({kind: 'drainStarted'});
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				if (agent.getLiveCount() === 0) {
					clearInterval(timer);
					resolve();
				}
			}, drainPollMs);
		});
	}

	return {
		ports: {peer: peerServer.port},
		async stop() {
			logger.info('stopping', {live: agent.getLiveCount()});
			await drain();
			await new Promise(resolve => {
				setTimeout(resolve, settings.drainLingerMs);
			});
			driver.close();
			clearInterval(gaugeTimer);
			metrics.close();
			await peerServer.close();
			logger.info('stopped');
		},
	};
}
