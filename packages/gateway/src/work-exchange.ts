/**
Exchanges open work with the other gateways: streams the work of this gateway, and of those that it relays, to subscribers,
and follows the gateways that the topology selects.
*/
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import {chooseSubscriptions, type ExchangeScope, type Subscription} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName, WorkChange} from '@currantcross/core/gateway/load-view';
import {getErrorText} from '@currantcross/core/error-text';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {Connections} from '@currantcross/peer/connections';
import {streamPeerWork, type GatewayServiceHost, type GatewayWork} from '@currantcross/peer/gateway-peers';
import type {GatewayRegistration} from './gateway-hosts.js';
import {createWorkPublisher} from './work-publisher.js';

export type WorkExchangeHost = Readonly<{
	self: GatewayRegistration;
	connections: Connections;
	logger: Logger;
	dispatch(event: GatewayEvent): void;
	/** Returns the open work of this or another gateway, as the changes that recreate it. */
	getWorks(gateway: GatewayName): readonly WorkChange[];
}>;

export type WorkExchange = GatewayServiceHost & Readonly<{
	/** Streams a change to this gateway's own work. */
	publish(change: WorkChange): void;
	/** Sets the other gateways of the deployment. */
	setGateways(registrations: readonly GatewayRegistration[]): void;
	close(): void;
}>;

/** Time without a batch after which a peer's stream is considered broken; three heartbeats. */
const streamTimeoutMs: Milliseconds = 1600;
const retryDelayMs: Milliseconds = 500;
/** How long work received through a relay is kept after its stream ends; covers the switch to another relay. */
const relayedWorkGraceMs: Milliseconds = 2500;
/** How long a relay is avoided after a failure; doubles with each consecutive failure. */
const relayBackoffMs: Milliseconds = 5000;
const maximumRelayBackoffMs: Milliseconds = 60_000;

/** Scopes of the streams that carry this gateway's own work. */
const ownScopes: ReadonlySet<ExchangeScope> = new Set(['own', 'dataCentre', 'all']);

type FollowedGateway = Readonly<{choice: Subscription<GatewayRegistration>; controller: AbortController}>;

/** A stream from a followed gateway. A snapshot of a gateway's work from a newer source supersedes the older source. */
type WorkSource = Readonly<{scope: ExchangeScope}>;

/** Consecutive failures of a relay, and the time until which it is avoided. */
type RelayBackoff = {failureCount: number; avoidedUntil: number};

/** Returns the scopes of the streams to which work received on a stream of `scope` is relayed. */
function getRelayScopes(scope: ExchangeScope): ReadonlySet<ExchangeScope> {
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

/** Creates the work exchange of a gateway. */
export function createWorkExchange(host: WorkExchangeHost): WorkExchange {
	const followed = new Map<GatewayName, FollowedGateway>();
	/** The current source of each gateway's work. */
	const sources = new Map<GatewayName, WorkSource>();
	const relayBackoffs = new Map<GatewayName, RelayBackoff>();
	const timers = new Set<NodeJS.Timeout>();
	let registrations: readonly GatewayRegistration[] = [];
	let isClosed = false;

	const publisher = createWorkPublisher({
		getSnapshot(scope) {
			const relayed = [...sources].filter(([, source]) => getRelayScopes(source.scope).has(scope)).map(([gateway]) => gateway);
			return [host.self.name, ...relayed].map(gateway => ({gateway, changes: [{kind: 'reset'}, ...host.getWorks(gateway)]}));
		},
		onRelayingChanged: applyTopology,
	});

	function applyWork(source: WorkSource, work: GatewayWork): void {
		host.dispatch({kind: 'peerWorkChanged', ...work});
		publisher.publish(work, getRelayScopes(source.scope));
	}

	/** Applies work received from a source, unless a newer source has superseded it for that gateway. */
	function receiveWork(source: WorkSource, work: GatewayWork): void {
		if (work.gateway === host.self.name) {
			return;
		}

		if (work.changes[0]?.kind === 'reset') {
			sources.set(work.gateway, source);
		}

		if (sources.get(work.gateway) === source) {
			applyWork(source, work);
		}
	}

	/** Removes the work received from the source, except where a newer source has superseded it. */
	function removeSource(source: WorkSource): void {
		for (const [gateway, current] of sources) {
			if (current === source) {
				sources.delete(gateway);
				applyWork(source, {gateway, changes: [{kind: 'reset'}]});
			}
		}
	}

	/** Removes the work of a source that has ended: immediately if direct, after a grace period if relayed. */
	function scheduleSourceRemoval(source: WorkSource): void {
		if (source.scope === 'own') {
			removeSource(source);
			return;
		}

		const timer = setTimeout(() => {
			timers.delete(timer);
			removeSource(source);
		}, relayedWorkGraceMs);
		timers.add(timer);
	}

	async function wait(ms: Milliseconds, signal: AbortSignal): Promise<void> {
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

	/** Receives one stream until it ends, fails or times out. */
	async function receiveStream({choice: {member, scope}, controller}: FollowedGateway): Promise<void> {
		const source: WorkSource = {scope};
		const timeoutController = new AbortController();
		const signal = AbortSignal.any([controller.signal, timeoutController.signal]);
		let timer = setTimeout(() => {
			timeoutController.abort();
		}, streamTimeoutMs);
		let hasSnapshot = false;
		try {
			for await (const works of streamPeerWork(host.connections, member.peerUrl, {gateway: host.self.name, scope}, signal)) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					timeoutController.abort();
				}, streamTimeoutMs);
				if (!hasSnapshot) {
					hasSnapshot = true;
					relayBackoffs.delete(member.name);
					host.logger.info('peerFound', {peer: member.name, scope, gateways: works.length});
				}

				for (const work of works) {
					receiveWork(source, work);
				}
			}
		} finally {
			clearTimeout(timer);
			scheduleSourceRemoval(source);
		}
	}

	function recordRelayFailure({choice: {member, scope}}: FollowedGateway): void {
		if (scope === 'own') {
			return;
		}

		const failureCount = relayBackoffs.get(member.name)?.failureCount ?? 0;
		relayBackoffs.set(member.name, {
			failureCount: failureCount + 1, avoidedUntil: performance.now() + Math.min(maximumRelayBackoffMs, relayBackoffMs * (2 ** failureCount)),
		});
		applyTopology();
	}

	/** Follows a gateway until it is no longer selected. Opens a new stream whenever the previous one ends. */
	async function watchGateway(gateway: FollowedGateway): Promise<void> {
		const {choice: {member, scope}, controller} = gateway;
		let isLost = false;
		while (!controller.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- a stream is opened once the previous one has ended
				await receiveStream(gateway);
				isLost = false;
			} catch (error) {
				if (!isLost && !controller.signal.aborted) {
					host.logger.warn('peerLost', {peer: member.name, scope, reason: getErrorText(error)});
				}

				isLost = true;
			}

			if (!controller.signal.aborted) {
				recordRelayFailure(gateway);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(retryDelayMs, controller.signal);
		}
	}

	/** Starts and stops following gateways so that exactly those selected by the topology are followed. */
	function applyTopology(): void {
		if (isClosed) {
			return;
		}

		const now = performance.now();
		const choices = new Map(chooseSubscriptions({
			own: host.self,
			others: registrations,
			isUnreachable: name => (relayBackoffs.get(name)?.avoidedUntil ?? 0) > now,
			isRequestedAsRelay: publisher.isRelaying(),
		}).map(choice => [choice.member.name, choice]));
		for (const [name, {choice, controller}] of followed) {
			const selected = choices.get(name);
			if (selected?.scope !== choice.scope || selected.member.peerUrl !== choice.member.peerUrl) {
				followed.delete(name);
				controller.abort();
			}
		}

		for (const [name, choice] of choices) {
			if (!followed.has(name)) {
				const gateway = {choice, controller: new AbortController()};
				followed.set(name, gateway);
				void watchGateway(gateway);
			}
		}
	}

	return {
		streamWork: publisher.streamWork,
		publish(change) {
			publisher.publish({gateway: host.self.name, changes: [change]}, ownScopes);
		},
		setGateways(newRegistrations) {
			registrations = newRegistrations;
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
