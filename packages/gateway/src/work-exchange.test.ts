import process from 'node:process';
import {createLoadView, type OpenWork, type WorkChange} from '@currantcross/core/gateway/load-view';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import type {GatewayRegistration} from './gateway-hosts.js';
import {createWorkExchange, type WorkExchange} from './work-exchange.js';

const sharedKey = 'test';
const logger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const closers: Array<() => void | Promise<void>> = [];
const waitStepMs = 10;

afterEach(async () => {
	for (const close of closers.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- in reverse order of creation, because of dependencies
		await close();
	}
});

function createWork(id: number): OpenWork {
	return {
		id, endpoint: 'm-1', helpers: [{endpoint: 'm-2', reservedTokens: 7}], promptTokens: 5000, readMs: 34.5, longestPauseMs: 250, priority: 1, serviceMs: 12.5,
	};
}

type Peer = Readonly<{
	registration: GatewayRegistration;
	exchange: WorkExchange;
	/** Applies a change to the gateway's own work and publishes it, as the gateway itself does. */
	publish(change: WorkChange): void;
	/** Returns the changes received for a gateway. */
	getChanges(gateway: string): readonly WorkChange[];
	/** Returns the number of batches received so far. */
	getBatchCount(): number;
	/** Returns the endpoints that other gateways could not reach. */
	getUnreachable(): readonly string[];
	/** Returns how the queries to the relay ended. */
	getQueryOutcomes(): readonly string[];
	/** Returns the ids of the open requests that this peer knows of a gateway. */
	getOpenIds(gateway: string): readonly number[];
	stop(): Promise<void>;
}>;

/** Starts an exchange and its server; `port` 0 selects a free port. */
async function startPeer(name: string, dataCentre = 'a', {processorShare = 0.25, port = 0} = {}): Promise<Peer> {
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	const loadView = createLoadView();
	const changes: Array<Readonly<{gateway: string; change: WorkChange}>> = [];
	const queryOutcomes: string[] = [];
	const unreachable: string[] = [];
	let batchCount = 0;
	const registration = {
		name, dataCentre, processorShare, peerUrl: '',
	};
	const exchange = createWorkExchange({
		self: registration,
		connections,
		logger,
		getSnapshot: loadView.getOpenWorkChanges,
		recordQuery(outcome) {
			queryOutcomes.push(outcome);
		},
		recordBatch() {
			batchCount += 1;
		},
		dispatch(event) {
			if (event.kind === 'peerChanged') {
				for (const change of event.changes) {
					if (change.kind === 'endpointUnreachable') {
						unreachable.push(change.endpoint);
					} else {
						changes.push({gateway: event.gateway, change});
						loadView.applyChange(event.gateway, change, 0);
					}
				}
			}
		},
	});
	const server = await startPeerServer({
		host: '127.0.0.1', port, sharedKey, tls: undefined,
	}, router => {
		registerGatewayService(router, exchange);
	});
	const stop = async (): Promise<void> => {
		exchange.close();
		connections.close();
		await server.close();
	};

	closers.push(stop);
	return {
		registration: {...registration, peerUrl: `http://127.0.0.1:${server.port}`},
		exchange,
		publish(change) {
			loadView.applyChange(name, change, 0);
			exchange.publish(change);
		},
		getChanges: gateway => changes.filter(item => item.gateway === gateway).map(({change}) => change),
		getBatchCount: () => batchCount,
		getUnreachable: () => unreachable,
		getQueryOutcomes: () => queryOutcomes,
		getOpenIds: gateway => loadView.getOpenWorkChanges(gateway).flatMap(change => change.kind === 'started' ? [change.work.id] : []),
		stop,
	};
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, waitStepMs);
		});
	}
}

function createStartedChange(id: number): WorkChange {
	return {kind: 'started', work: createWork(id)};
}

function setPeers(peers: readonly Peer[]): void {
	for (const peer of peers) {
		peer.exchange.setGateways(peers.filter(other => other !== peer).map(({registration}) => registration));
	}
}

describe('directly connected gateways', () => {
	test('a gateway receives a snapshot of the open work of a peer when it connects, and then each change', async () => {
		const publisher = await startPeer('gateway-1');
		const subscriber = await startPeer('gateway-2');
		publisher.publish(createStartedChange(1));
		publisher.publish({kind: 'writing', id: 1});
		publisher.publish(createStartedChange(2));
		setPeers([publisher, subscriber]);
		const snapshot = [{kind: 'reset'}, createStartedChange(1), {kind: 'writing', id: 1}, createStartedChange(2)];
		await waitUntil(() => subscriber.getChanges('gateway-1').length === snapshot.length);
		expect(subscriber.getChanges('gateway-1')).toEqual(snapshot);
		publisher.publish({kind: 'writing', id: 2});
		publisher.publish({kind: 'ended', id: 2});
		publisher.publish({kind: 'paceObserved', endpoint: 'm-1', ratio: 2.5});
		await waitUntil(() => subscriber.getChanges('gateway-1').length === 7);
		expect(subscriber.getChanges('gateway-1').slice(4)).toEqual([{kind: 'writing', id: 2}, {kind: 'ended', id: 2}, {kind: 'paceObserved', endpoint: 'm-1', ratio: 2.5}]);
	});

	test('a gateway removes the work of a peer that stops, and receives its new work after a restart', async () => {
		const publisher = await startPeer('gateway-1');
		const subscriber = await startPeer('gateway-2');
		publisher.publish(createStartedChange(1));
		setPeers([publisher, subscriber]);
		await waitUntil(() => subscriber.getOpenIds('gateway-1').length === 1);
		await publisher.stop();
		await waitUntil(() => subscriber.getOpenIds('gateway-1').length === 0);
		const restarted = await startPeer('gateway-1', 'a', {port: Number(new URL(publisher.registration.peerUrl).port)});
		restarted.publish(createStartedChange(7));
		await waitUntil(() => subscriber.getOpenIds('gateway-1').join(',') === '7');
	});
});

describe('gateways connected through relays', () => {
	async function startPeers(): Promise<readonly Peer[]> {
		const peers: Peer[] = [];
		for (const dataCentre of ['a', 'b']) {
			for (const index of [1, 2, 3, 4, 5]) {
				// eslint-disable-next-line no-await-in-loop
				peers.push(await startPeer(`${dataCentre}-${index}`, dataCentre, {processorShare: index === 1 ? 1 : 0.25}));
			}
		}

		setPeers(peers);
		return peers;
	}

	function hasOpenWork(peers: readonly Peer[], expected: ReadonlyMap<string, string>): boolean {
		return peers.every(peer => [...expected].every(([gateway, ids]) =>
			peer.registration.name === gateway || peer.getOpenIds(gateway).join(',') === ids));
	}

	test('each gateway receives the work of all gateways in its own and the other data centre', async () => {
		const peers = await startPeers();
		for (const [index, peer] of peers.entries()) {
			peer.publish(createStartedChange(index + 1));
		}

		await waitUntil(() => hasOpenWork(peers, new Map(peers.map(({registration}, index) => [registration.name, String(index + 1)]))));
		peers[3]?.publish({kind: 'ended', id: 4});
		peers[8]?.publish({kind: 'ended', id: 9});
		await waitUntil(() => hasOpenWork(peers, new Map([['a-4', ''], ['b-4', '']])));
		expect(peers[4]?.getChanges('a-5')).toEqual([]);
	});

	test('gateways switch to another relay when theirs stops, and remove the work of the stopped one', async () => {
		const peers = await startPeers();
		for (const [index, peer] of peers.entries()) {
			peer.publish(createStartedChange(index + 1));
		}

		await waitUntil(() => hasOpenWork(peers, new Map(peers.map(({registration}, index) => [registration.name, String(index + 1)]))));
		const [relay, ...others] = peers;
		await relay?.stop();
		others[0]?.publish(createStartedChange(20));
		others[6]?.publish(createStartedChange(21));
		await waitUntil(() => hasOpenWork(others, new Map([['a-1', ''], ['a-2', '2,20'], ['a-3', '3'], ['b-1', '6'], ['b-3', '8,21']])));
	});
});

describe('gateways that follow a relay', () => {
	const publishIntervalMs = 4;
	const publishedMs = 2000;

	/** Starts nine gateways in one data centre, of which the first is the relay, and waits until all are connected. */
	async function startFollowers(): Promise<readonly Peer[]> {
		const peers = await Promise.all(Array.from({length: 9}, async (_, index) => startPeer(`a-${index}`, 'a', {processorShare: index === 0 ? 1 : 0.25})));
		setPeers(peers);
		peers[1]?.publish(createStartedChange(1));
		await waitUntil(() => peers.every(peer => peer === peers[1] || peer.getOpenIds('a-1').length === 1));
		return peers;
	}

	async function publishFor(peer: Peer, ms: number): Promise<void> {
		const endsAt = performance.now() + ms;
		for (let id = 100; performance.now() < endsAt; id += 1) {
			peer.publish(createStartedChange(id));
			peer.publish({kind: 'ended', id});
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, publishIntervalMs);
			});
		}
	}

	// Guards against work at a gateway that grows with the traffic of all others.
	test('receive few batches while they place nothing, however much the others do', async () => {
		const peers = await startFollowers();
		const [, busy, idle] = peers;
		const countBefore = idle?.getBatchCount() ?? 0;
		await publishFor(busy!, publishedMs);
		expect((idle?.getBatchCount() ?? 0) - countBefore).toBeLessThanOrEqual(12);
	});

	// Guards against placements by news that waited at the relay.
	test('know all that the relay knows when they ask for it', async () => {
		const peers = await startFollowers();
		const [relay, , follower] = peers;
		await follower?.exchange.waitForNews();
		relay?.publish(createStartedChange(7));
		// Longer than an answer counts as the latest news.
		await new Promise(resolve => {
			setTimeout(resolve, 15);
		});
		expect(follower?.getOpenIds('a-0')).toEqual([]);
		await follower?.exchange.waitForNews();
		expect(follower?.getOpenIds('a-0')).toEqual([7]);
		expect(follower?.getQueryOutcomes()).not.toContain('late');
	});

	// Guards against crashes, limits and leaving servers that are told as late as open work may be.
	test('receive what is not open work without asking', async () => {
		const peers = await startFollowers();
		const [relay, , follower] = peers;
		const publishedAt = performance.now();
		relay?.exchange.publish({kind: 'endpointUnreachable', endpoint: 'm-9'});
		await waitUntil(() => follower?.getUnreachable().join(',') === 'm-9');
		expect(performance.now() - publishedAt).toBeLessThan(150);
	});

	// Guards against requests that wait for a relay which is gone.
	test('wait no longer than a moment for a relay that has stopped', async () => {
		const peers = await startFollowers();
		const [relay, , follower] = peers;
		await relay?.stop();
		const askedAt = performance.now();
		await follower?.exchange.waitForNews();
		expect(performance.now() - askedAt).toBeLessThan(150);
	});
});

test('a peer is told that an endpoint is cold, and for how long', async () => {
	const peers = [await startPeer('gateway-1'), await startPeer('gateway-2')];
	setPeers(peers);
	const [teller, peer] = peers;
	await waitUntil(() => peer?.getChanges('gateway-1').length === 1);
	const change = {kind: 'endpointCold', endpoint: 'm-9', remainingMs: 2500} as const;
	teller?.exchange.publish(change);
	await waitUntil(() => peer?.getChanges('gateway-1').length === 2);
	expect(peer?.getChanges('gateway-1').at(-1)).toEqual(change);
});

// Node.js emits a MaxListenersExceededWarning for more than 10 listeners on a signal; the test covers more than 10 retries.
test('a gateway leaks no event listeners while it retries an unreachable gateway', async () => {
	const warnings: string[] = [];
	const recordWarning = (warning: Error): void => {
		warnings.push(warning.name);
	};

	process.on('warning', recordWarning);
	const stoppedPeer = await startPeer('gateway-1');
	const subscriber = await startPeer('gateway-2');
	await stoppedPeer.stop();
	setPeers([subscriber, stoppedPeer]);
	await new Promise(resolve => {
		setTimeout(resolve, 6500);
	});
	process.off('warning', recordWarning);
	expect(warnings).toEqual([]);
});
