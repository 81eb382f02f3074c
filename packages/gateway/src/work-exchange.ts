/**
Exchanges open work with the other gateways: streams the own work and what it relays to whoever asks, and follows the
gateways that the topology names.
*/
import type {GatewayEvent} from '@currantcross/core/gateway/relay-types';
import {chooseFollowed, type ExchangeScope, type FollowChoice} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName, WorkChange} from '@currantcross/core/gateway/load-view';
import {getErrorText} from '@currantcross/core/error-text';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {Connections} from '@currantcross/peer/connections';
import {streamPeerWork, type GatewayServiceHost, type GatewayWork} from '@currantcross/peer/gateway-peers';
import type {GatewayListing} from './gateway-hosts.js';
import {createWorkPublisher} from './work-publisher.js';

export type WorkExchangeHost = Readonly<{
	own: GatewayListing;
	connections: Connections;
	logger: Logger;
	dispatch(event: GatewayEvent): void;
	/** Returns the open work of a gateway, this one or another. */
	getWorks(gateway: GatewayName): readonly WorkChange[];
}>;

export type WorkExchange = GatewayServiceHost & Readonly<{
	publish(change: WorkChange): void;
	/** Takes in which other gateways there are. */
	setGateways(listings: readonly GatewayListing[]): void;
	close(): void;
}>;

/** Silence after which a peer's stream is taken as broken; three heartbeats. */
const silenceMs: Milliseconds = 1600;
const retryMs: Milliseconds = 500;
/** How long the work that a lost relay told of is kept; covers the change to another relay. */
const relayedGraceMs: Milliseconds = 2500;
/** How long a relay that was lost is avoided; it doubles with each further loss. */
const unreachableMs: Milliseconds = 5000;
const maximumUnreachableMs: Milliseconds = 60_000;

const ownScopes: ReadonlySet<ExchangeScope> = new Set(['own', 'dataCentre', 'all']);

type FollowedGateway = Readonly<{choice: FollowChoice<GatewayListing>; controller: AbortController}>;

/** One connection to a followed gateway. What a newer one tells of a gateway replaces what an older one told. */
type Source = Readonly<{scope: ExchangeScope}>;

type Loss = {count: number; avoidedUntil: number};

/** Returns to which streams work is passed on that came in by a stream of the scope. */
function getRelayedScopes(scope: ExchangeScope): ReadonlySet<ExchangeScope> {
	switch (scope) {
		case 'own': {
			return new Set(['dataCentre', 'all']);
		}

		case 'dataCentre': {
			return new Set(['all']);
		}

		case 'all': {
			return new Set();
		}
	}
}

/** Creates the exchange of one gateway. */
export function createWorkExchange(host: WorkExchangeHost): WorkExchange {
	const followed = new Map<GatewayName, FollowedGateway>();
	const sources = new Map<GatewayName, Source>();
	const losses = new Map<GatewayName, Loss>();
	const timers = new Set<NodeJS.Timeout>();
	let listings: readonly GatewayListing[] = [];
	let isClosed = false;

	const publisher = createWorkPublisher({
		getSnapshot(scope) {
			const relayed = [...sources].filter(([, source]) => getRelayedScopes(source.scope).has(scope)).map(([gateway]) => gateway);
			return [host.own.name, ...relayed].map(gateway => ({gateway, changes: [{kind: 'reset'}, ...host.getWorks(gateway)]}));
		},
		onRelayingChanged: applyTopology,
	});

	function applyWork(source: Source, work: GatewayWork): void {
		host.dispatch({kind: 'peerWorkChanged', ...work});
		publisher.publish(work, getRelayedScopes(source.scope));
	}

	function takeWork(source: Source, work: GatewayWork): void {
		if (work.gateway === host.own.name) {
			return;
		}

		if (work.changes[0]?.kind === 'reset') {
			sources.set(work.gateway, source);
		}

		if (sources.get(work.gateway) === source) {
			applyWork(source, work);
		}
	}

	/** Forgets all work that no newer source has told of. */
	function removeSource(source: Source): void {
		for (const [gateway, current] of sources) {
			if (current === source) {
				sources.delete(gateway);
				applyWork(source, {gateway, changes: [{kind: 'reset'}]});
			}
		}
	}

	function expireSource(source: Source): void {
		if (source.scope === 'own') {
			removeSource(source);
			return;
		}

		const timer = setTimeout(() => {
			timers.delete(timer);
			removeSource(source);
		}, relayedGraceMs);
		timers.add(timer);
	}

	async function pause(ms: Milliseconds, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				signal.removeEventListener('abort', end);
				resolve();
			};

			const timer = setTimeout(end, ms);
			signal.addEventListener('abort', end);
		});
	}

	/** Follows one stream until it breaks or goes silent. */
	async function receiveStream({choice: {member, scope}, controller}: FollowedGateway): Promise<void> {
		const source: Source = {scope};
		const silence = new AbortController();
		const signal = AbortSignal.any([controller.signal, silence.signal]);
		let timer = setTimeout(() => {
			silence.abort();
		}, silenceMs);
		let hasSnapshot = false;
		try {
			for await (const works of streamPeerWork(host.connections, member.peerUrl, {gateway: host.own.name, scope}, signal)) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					silence.abort();
				}, silenceMs);
				if (!hasSnapshot) {
					hasSnapshot = true;
					losses.delete(member.name);
					host.logger.info('peerFound', {peer: member.name, scope, gateways: works.length});
				}

				for (const work of works) {
					takeWork(source, work);
				}
			}
		} finally {
			clearTimeout(timer);
			expireSource(source);
		}
	}

	function recordLoss({choice: {member, scope}}: FollowedGateway): void {
		if (scope === 'own') {
			return;
		}

		const count = losses.get(member.name)?.count ?? 0;
		losses.set(member.name, {
			count: count + 1, avoidedUntil: performance.now() + Math.min(maximumUnreachableMs, unreachableMs * (2 ** count)),
		});
		applyTopology();
	}

	async function keepFollowing(gateway: FollowedGateway): Promise<void> {
		const {choice: {member, scope}, controller} = gateway;
		let isLost = false;
		while (!controller.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- a stream is opened when the one before has ended
				await receiveStream(gateway);
				isLost = false;
			} catch (error) {
				if (!isLost && !controller.signal.aborted) {
					host.logger.warn('peerLost', {peer: member.name, scope, reason: getErrorText(error)});
				}

				isLost = true;
			}

			if (!controller.signal.aborted) {
				recordLoss(gateway);
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(retryMs, controller.signal);
		}
	}

	/** Follows what the topology names, and nothing else. */
	function applyTopology(): void {
		if (isClosed) {
			return;
		}

		const now = performance.now();
		const choices = new Map(chooseFollowed({
			own: host.own,
			others: listings,
			isUnreachable: name => (losses.get(name)?.avoidedUntil ?? 0) > now,
			isAskedToRelay: publisher.isRelaying(),
		}).map(choice => [choice.member.name, choice]));
		for (const [name, {choice, controller}] of followed) {
			const wanted = choices.get(name);
			if (wanted?.scope !== choice.scope || wanted.member.peerUrl !== choice.member.peerUrl) {
				followed.delete(name);
				controller.abort();
			}
		}

		for (const [name, choice] of choices) {
			if (!followed.has(name)) {
				const gateway = {choice, controller: new AbortController()};
				followed.set(name, gateway);
				void keepFollowing(gateway);
			}
		}
	}

	return {
		streamWork: publisher.streamWork,
		publish(change) {
			publisher.publish({gateway: host.own.name, changes: [change]}, ownScopes);
		},
		setGateways(others) {
			listings = others;
			applyTopology();
		},
		close() {
			isClosed = true;
			for (const {controller} of followed.values()) {
				controller.abort();
			}

			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
}
