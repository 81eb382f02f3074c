import process from 'node:process';
import {createLoadView, type Work, type WorkChange} from '@currantcross/core/gateway/load-view';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import type {GatewayListing} from './gateway-hosts.js';
import {createWorkExchange, type WorkExchange} from './work-exchange.js';

const sharedKey = 'test';
const logger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const closers: Array<() => void | Promise<void>> = [];
const waitStepMs = 10;

afterEach(async () => {
	for (const close of closers.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- in the order of their dependencies
		await close();
	}
});

function createWork(id: number): Work {
	return {
		id, endpoint: 'm-1', helpers: [{endpoint: 'm-2', reservedTokens: 7}], promptTokens: 5000, readMs: 34.5, longestPauseMs: 250,
	};
}

type Peer = Readonly<{
	listing: GatewayListing;
	exchange: WorkExchange;
	/** Starts a request, as the gateway itself would. */
	publish(change: WorkChange): void;
	/** Returns the changes that were told of a gateway. */
	getChanges(gateway: string): readonly WorkChange[];
	/** Returns the ids of the open requests of a gateway, as this one knows them. */
	getOpenIds(gateway: string): readonly number[];
	stop(): Promise<void>;
}>;

/** Starts an exchange with its server; `port` 0 takes a free one. */
async function startPeer(name: string, dataCentre = 'a', {processorShare = 0.25, port = 0} = {}): Promise<Peer> {
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	const load = createLoadView();
	const changes: Array<Readonly<{gateway: string; change: WorkChange}>> = [];
	const listing = {
		name, dataCentre, processorShare, peerUrl: '',
	};
	const exchange = createWorkExchange({
		own: listing,
		connections,
		logger,
		getWorks: load.getOpenWorkChanges,
		dispatch(event) {
			if (event.kind === 'peerWorkChanged') {
				for (const change of event.changes) {
					changes.push({gateway: event.gateway, change});
					load.applyChange(event.gateway, change, 0);
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
		listing: {...listing, peerUrl: `http://127.0.0.1:${server.port}`},
		exchange,
		publish(change) {
			load.applyChange(name, change, 0);
			exchange.publish(change);
		},
		getChanges: gateway => changes.filter(item => item.gateway === gateway).map(({change}) => change),
		getOpenIds: gateway => load.getOpenWorkChanges(gateway).flatMap(change => change.kind === 'started' ? [change.work.id] : []),
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

function start(id: number): WorkChange {
	return {kind: 'started', work: createWork(id)};
}

function introduce(peers: readonly Peer[]): void {
	for (const peer of peers) {
		peer.exchange.setGateways(peers.filter(other => other !== peer).map(({listing}) => listing));
	}
}

describe('a few gateways', () => {
	test('hear of all open work of a peer, and then of each change', async () => {
		const teller = await startPeer('gateway-1');
		const listener = await startPeer('gateway-2');
		teller.publish(start(1));
		teller.publish({kind: 'writing', id: 1});
		teller.publish(start(2));
		introduce([teller, listener]);
		const snapshot = [{kind: 'reset'}, start(1), {kind: 'writing', id: 1}, start(2)];
		await waitUntil(() => listener.getChanges('gateway-1').length === snapshot.length);
		expect(listener.getChanges('gateway-1')).toEqual(snapshot);
		teller.publish({kind: 'writing', id: 2});
		teller.publish({kind: 'ended', id: 2});
		await waitUntil(() => listener.getChanges('gateway-1').length === 6);
		expect(listener.getChanges('gateway-1').slice(4)).toEqual([{kind: 'writing', id: 2}, {kind: 'ended', id: 2}]);
	});

	test('forget the work of a peer that is lost, and hear it again once it is back', async () => {
		const teller = await startPeer('gateway-1');
		const listener = await startPeer('gateway-2');
		teller.publish(start(1));
		introduce([teller, listener]);
		await waitUntil(() => listener.getOpenIds('gateway-1').length === 1);
		await teller.stop();
		await waitUntil(() => listener.getOpenIds('gateway-1').length === 0);
		const again = await startPeer('gateway-1', 'a', {port: Number(new URL(teller.listing.peerUrl).port)});
		again.publish(start(7));
		await waitUntil(() => listener.getOpenIds('gateway-1').join(',') === '7');
	});
});

describe('many gateways', () => {
	async function startMany(): Promise<readonly Peer[]> {
		const peers: Peer[] = [];
		for (const dataCentre of ['a', 'b']) {
			for (const index of [1, 2, 3, 4, 5]) {
				// eslint-disable-next-line no-await-in-loop
				peers.push(await startPeer(`${dataCentre}-${index}`, dataCentre, {processorShare: index === 1 ? 1 : 0.25}));
			}
		}

		introduce(peers);
		return peers;
	}

	function knowsAll(peers: readonly Peer[], expected: ReadonlyMap<string, string>): boolean {
		return peers.every(peer => [...expected].every(([gateway, ids]) =>
			peer.listing.name === gateway || peer.getOpenIds(gateway).join(',') === ids));
	}

	test('know the work of each other through relays, of their data centre and of others', async () => {
		const peers = await startMany();
		for (const [index, peer] of peers.entries()) {
			peer.publish(start(index + 1));
		}

		await waitUntil(() => knowsAll(peers, new Map(peers.map(({listing}, index) => [listing.name, String(index + 1)]))));
		peers[3]?.publish({kind: 'ended', id: 4});
		peers[8]?.publish({kind: 'ended', id: 9});
		await waitUntil(() => knowsAll(peers, new Map([['a-4', ''], ['b-4', '']])));
		expect(peers[4]?.getChanges('a-5')).toEqual([]);
	});

	test('go on through another relay when theirs is lost, and forget its work', async () => {
		const peers = await startMany();
		for (const [index, peer] of peers.entries()) {
			peer.publish(start(index + 1));
		}

		await waitUntil(() => knowsAll(peers, new Map(peers.map(({listing}, index) => [listing.name, String(index + 1)]))));
		const [relay, ...others] = peers;
		await relay?.stop();
		others[0]?.publish(start(20));
		others[6]?.publish(start(21));
		await waitUntil(() => knowsAll(others, new Map([['a-1', ''], ['a-2', '2,20'], ['a-3', '3'], ['b-1', '6'], ['b-3', '8,21']])));
	});
});

test('following a gateway that is gone leaves nothing behind with each try', async () => {
	const warnings: string[] = [];
	const record = (warning: Error): void => {
		warnings.push(warning.name);
	};

	process.on('warning', record);
	const lost = await startPeer('gateway-1');
	const listener = await startPeer('gateway-2');
	await lost.stop();
	introduce([listener, lost]);
	await new Promise(resolve => {
		setTimeout(resolve, 6500);
	});
	process.off('warning', record);
	expect(warnings).toEqual([]);
});
