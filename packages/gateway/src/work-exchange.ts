/**
Exchanges open work with the other gateways: streams the own changes to whoever asks, and follows the streams of all
others.
*/
import type {GatewayEvent} from '@currantcross/core/gateway/relay-types';
import type {Work, WorkChange} from '@currantcross/core/gateway/load-view';
import {getErrorText} from '@currantcross/core/error-text';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {Connections} from '@currantcross/peer/connections';
import {streamPeerWork, type GatewayPeerHost} from '@currantcross/peer/gateway-peers';
import type {GatewayListing} from './gateway-hosts.js';

export type WorkExchangeHost = Readonly<{
	name: string;
	connections: Connections;
	logger: Logger;
	dispatch(event: GatewayEvent): void;
	getOwnWorks(): ReadonlyArray<Readonly<{work: Work; isWriting: boolean}>>;
}>;

export type WorkExchange = GatewayPeerHost & Readonly<{
	publish(change: WorkChange): void;
	/** Follows these gateways and no others. */
	setGateways(listings: readonly GatewayListing[]): void;
	close(): void;
}>;

/** How long changes are collected into one batch; below the time in which a placement would go wrong. */
const batchMs: Milliseconds = 12;
/** Pause after which an empty batch says that the gateway lives. */
const heartbeatMs: Milliseconds = 500;
/** Silence after which a peer's stream is taken as broken; three heartbeats. */
const silenceMs: Milliseconds = 1600;
const retryMs: Milliseconds = 500;

type Subscriber = {changes: WorkChange[]; notify: (() => void) | undefined};

type FollowedGateway = Readonly<{listing: GatewayListing; controller: AbortController}>;

/** Creates the exchange of one gateway. */
export function createWorkExchange(host: WorkExchangeHost): WorkExchange {
	const subscribers = new Set<Subscriber>();
	const followed = new Map<string, FollowedGateway>();

	function getSnapshot(): WorkChange[] {
		return host.getOwnWorks().flatMap(({work, isWriting}): readonly WorkChange[] =>
			isWriting ? [{kind: 'started', work}, {kind: 'writing', id: work.id}] : [{kind: 'started', work}]);
	}

	async function pause(ms: Milliseconds, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, ms);
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
				resolve();
			}, {once: true});
		});
	}

	async function waitForChange(subscriber: Subscriber): Promise<void> {
		if (subscriber.changes.length > 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, heartbeatMs);
			subscriber.notify = () => {
				clearTimeout(timer);
				setTimeout(resolve, batchMs);
			};
		});
		subscriber.notify = undefined;
	}

	async function * streamWork(signal: AbortSignal): AsyncGenerator<readonly WorkChange[]> {
		const subscriber: Subscriber = {changes: getSnapshot(), notify: undefined};
		subscribers.add(subscriber);
		try {
			while (!signal.aborted) {
				const {changes} = subscriber;
				subscriber.changes = [];
				yield changes;
				// eslint-disable-next-line no-await-in-loop -- batches go out one after the other
				await waitForChange(subscriber);
			}
		} finally {
			subscribers.delete(subscriber);
		}
	}

	/** Follows one stream until it breaks or goes silent. */
	async function receiveStream({listing, controller}: FollowedGateway): Promise<void> {
		const silence = new AbortController();
		const signal = AbortSignal.any([controller.signal, silence.signal]);
		let timer = setTimeout(() => {
			silence.abort();
		}, silenceMs);
		let hasSnapshot = false;
		try {
			for await (const changes of streamPeerWork(host.connections, listing.peerUrl, host.name, signal)) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					silence.abort();
				}, silenceMs);
				if (!hasSnapshot) {
					hasSnapshot = true;
					host.dispatch({kind: 'peerLost', gateway: listing.name});
					host.logger.info('peerFound', {peer: listing.name, works: changes.length});
				}

				for (const change of changes) {
					host.dispatch({kind: 'peerWorkChanged', gateway: listing.name, change});
				}
			}
		} finally {
			clearTimeout(timer);
		}
	}

	async function keepFollowing(gateway: FollowedGateway): Promise<void> {
		const {listing, controller} = gateway;
		let isLost = false;
		while (!controller.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- a stream is opened when the one before has ended
				await receiveStream(gateway);
				isLost = false;
			} catch (error) {
				if (!isLost && !controller.signal.aborted) {
					host.logger.warn('peerLost', {peer: listing.name, reason: getErrorText(error)});
				}

				isLost = true;
			}

			host.dispatch({kind: 'peerLost', gateway: listing.name});
			// eslint-disable-next-line no-await-in-loop
			await pause(retryMs, controller.signal);
		}
	}

	return {
		streamWork,
		publish(change) {
			for (const subscriber of subscribers) {
				subscriber.changes.push(change);
				subscriber.notify?.();
			}
		},
		setGateways(listings) {
			const wanted = new Map(listings.map(listing => [listing.name, listing]));
			for (const [name, gateway] of followed) {
				if (wanted.get(name)?.peerUrl !== gateway.listing.peerUrl) {
					gateway.controller.abort();
					followed.delete(name);
				}
			}

			for (const listing of listings) {
				if (!followed.has(listing.name)) {
					const gateway = {listing, controller: new AbortController()};
					followed.set(listing.name, gateway);
					void keepFollowing(gateway);
				}
			}
		},
		close() {
			for (const {controller} of followed.values()) {
				controller.abort();
			}
		},
	};
}
