import type {GatewayEvent} from '@currantcross/core/gateway/relay-types';
import type {Work, WorkChange} from '@currantcross/core/gateway/load-view';
import {createConnections, defaultConnectionSettings} from '@currantcross/peer/connections';
import {registerGatewayService} from '@currantcross/peer/gateway-peers';
import {startPeerServer} from '@currantcross/peer/peer-server';
import {afterEach, expect, test} from 'vitest';
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

type Peer = Readonly<{exchange: WorkExchange; events: readonly GatewayEvent[]}>;

function createPeer(name: string, works: ReadonlyArray<Readonly<{work: Work; isWriting: boolean}>>): Peer {
	const connections = createConnections({...defaultConnectionSettings, sharedKey, tls: undefined});
	const events: GatewayEvent[] = [];
	const exchange = createWorkExchange({
		name,
		connections,
		logger,
		getOwnWorks: () => works,
		dispatch(event) {
			events.push(event);
		},
	});
	closers.push(connections.close, exchange.close);
	return {exchange, events};
}

async function serve(exchange: WorkExchange, port = 0): Promise<Readonly<{port: number; close(): Promise<void>}>> {
	const server = await startPeerServer({
		host: '127.0.0.1', port, sharedKey, tls: undefined,
	}, router => {
		registerGatewayService(router, exchange);
	});
	return server;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, waitStepMs);
		});
	}
}

function getChanges(events: readonly GatewayEvent[]): readonly WorkChange[] {
	return events.flatMap(event => event.kind === 'peerWorkChanged' ? [event.change] : []);
}

test('a gateway hears of all open work of a peer, and then of each change', async () => {
	const teller = createPeer('gateway-1', [{work: createWork(1), isWriting: true}, {work: createWork(2), isWriting: false}]);
	const listener = createPeer('gateway-2', []);
	const server = await serve(teller.exchange);
	closers.push(server.close);
	listener.exchange.setGateways([{name: 'gateway-1', peerUrl: `http://127.0.0.1:${server.port}`}]);
	await waitUntil(() => getChanges(listener.events).length === 3);
	expect(listener.events[0]).toEqual({kind: 'peerLost', gateway: 'gateway-1'});
	expect(getChanges(listener.events)).toEqual([{kind: 'started', work: createWork(1)}, {kind: 'writing', id: 1}, {kind: 'started', work: createWork(2)}]);
	teller.exchange.publish({kind: 'writing', id: 2});
	teller.exchange.publish({kind: 'ended', id: 2});
	await waitUntil(() => getChanges(listener.events).length === 5);
	expect(getChanges(listener.events).slice(3)).toEqual([{kind: 'writing', id: 2}, {kind: 'ended', id: 2}]);
});

test('the work of a peer that is lost is forgotten, and heard again once it is back', async () => {
	const teller = createPeer('gateway-1', [{work: createWork(1), isWriting: false}]);
	const listener = createPeer('gateway-2', []);
	const server = await serve(teller.exchange);
	listener.exchange.setGateways([{name: 'gateway-1', peerUrl: `http://127.0.0.1:${server.port}`}]);
	await waitUntil(() => getChanges(listener.events).length === 1);
	await server.close();
	await waitUntil(() => listener.events.at(-1)?.kind === 'peerLost');
	const again = await serve(teller.exchange, server.port);
	closers.push(again.close);
	await waitUntil(() => getChanges(listener.events).length === 2);
	expect(getChanges(listener.events).at(-1)).toEqual({kind: 'started', work: createWork(1)});
});
