/**
Exchanges open work, the requests in progress at endpoints, with the other gateways: streams this gateway's own work
and relayed work to the subscribers, and subscribes to the gateways that the topology selects.
*/
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import {chooseSubscriptions, type ExchangeScope, type Subscription} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {PeerChange} from '@currantcross/core/gateway/peer-changes';
import {getErrorText} from '@currantcross/core/error-text';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {Connections} from '@currantcross/peer/connections';
import {streamPeerWork, type GatewayServiceHost, type GatewayWork} from '@currantcross/peer/gateway-peers';
import type {GatewayRegistration} from './gateway-hosts.js';
import {createRelayQueries, type QueryOutcome, type RelayQueries} from './relay-queries.js';
import {createWorkPublisher} from './work-publisher.js';

export type WorkExchangeHost = Readonly<{
	self: GatewayRegistration;
	connections: Connections;
	logger: Logger;
	dispatch(event: GatewayEvent): void;
	/** Returns the changes that recreate the open work of this or another gateway, and for this one also what else it has learnt. */
	getSnapshot(gateway: GatewayName): readonly PeerChange[];
	recordQuery(outcome: QueryOutcome, durationMs: Milliseconds): void;
	/** Records a batch received from a peer. */
	recordBatch(scope: ExchangeScope, changeCount: number): void;
}>;

export type WorkExchange = Pick<GatewayServiceHost, 'streamWork'> & Readonly<{
	/** Waits until the latest news of the other gateways have arrived or are late. */
	waitForNews(): Promise<void>;
	/** Streams a change to this gateway's own work, or what else it learns. */
	publish(change: PeerChange): void;
	/** Sets the other gateways of the deployment. */
	setGateways(registrations: readonly GatewayRegistration[]): void;
	close(): void;
}>;

/** Time without a batch after which a peer's stream is considered broken; slightly more than three heartbeats. */
const streamTimeoutMs: Milliseconds = 1600;
const retryDelayMs: Milliseconds = 500;
/** How long work received through a relay is kept after its stream ends; covers the switch to another relay. */
const relayedWorkGraceMs: Milliseconds = 2500;
/** How long a relay is avoided after a failure; doubles with each consecutive failure. */
const relayBackoffMs: Milliseconds = 5000;
const maximumRelayBackoffMs: Milliseconds = 60_000;

/** Scopes of the streams that carry this gateway's own work. */
const ownScopes: ReadonlySet<ExchangeScope> = new Set(['own', 'dataCentre', 'all']);

/** A subscription to another gateway, and the controller that ends it. */
type ActiveSubscription = Readonly<{subscription: Subscription<GatewayRegistration>; controller: AbortController}>;

/**
A stream from another gateway, compared by identity. A snapshot of a gateway's work from a newer source supersedes the older
source.
*/
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
	const activeSubscriptions = new Map<GatewayName, ActiveSubscription>();
	/** The current source of each gateway's work. */
	const sources = new Map<GatewayName, WorkSource>();
	const relayBackoffs = new Map<GatewayName, RelayBackoff>();
	const timers = new Set<NodeJS.Timeout>();
	/** Queries of the stream from this gateway's relay. */
	let relayQueries: RelayQueries | undefined;
	let registrations: readonly GatewayRegistration[] = [];
	let isClosed = false;

	const publisher = createWorkPublisher({
		getSnapshot(scope) {
			const relayed = [...sources].filter(([, source]) => getRelayScopes(source.scope).has(scope)).map(([gateway]) => gateway);
			return [host.self.name, ...relayed].map(gateway => ({gateway, changes: [{kind: 'reset'}, ...host.getSnapshot(gateway)]}));
		},
		onRelayingChanged: applyTopology,
		reportBrokenQueries(subscriber, error) {
			host.logger.info('followerLost', {peer: subscriber, reason: getErrorText(error)});
		},
	});

	function applyWork(source: WorkSource, work: GatewayWork): void {
		host.dispatch({kind: 'peerChanged', ...work});
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
	async function receiveStream({subscription: {member, scope}, controller}: ActiveSubscription): Promise<void> {
		const source: WorkSource = {scope};
		const queries = scope === 'all' ? createRelayQueries(host) : undefined;
		const timeoutController = new AbortController();
		const signal = AbortSignal.any([controller.signal, timeoutController.signal]);
		let timer = setTimeout(() => {
			timeoutController.abort();
		}, streamTimeoutMs);
		let hasSnapshot = false;
		try {
			for await (const {works, answeredQuery} of streamPeerWork(host.connections, member.peerUrl, {gateway: host.self.name, scope}, {queries: queries?.numbers, signal})) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					timeoutController.abort();
				}, streamTimeoutMs);
				if (!hasSnapshot) {
					hasSnapshot = true;
					relayBackoffs.delete(member.name);
					host.logger.info('peerFound', {peer: member.name, scope, gateways: works.length});
					relayQueries = queries ?? relayQueries;
				}

				for (const work of works) {
					receiveWork(source, work);
				}

				queries?.recordBatch(answeredQuery);
				host.recordBatch(scope, works.reduce((sum, {changes}) => sum + changes.length, 0));
			}
		} finally {
			clearTimeout(timer);
			queries?.close();
			relayQueries = relayQueries === queries ? undefined : relayQueries;
			scheduleSourceRemoval(source);
		}
	}

	function recordRelayFailure({subscription: {member, scope}}: ActiveSubscription): void {
		if (scope === 'own') {
			return;
		}

		const failureCount = relayBackoffs.get(member.name)?.failureCount ?? 0;
		relayBackoffs.set(member.name, {
			failureCount: failureCount + 1, avoidedUntil: performance.now() + Math.min(maximumRelayBackoffMs, relayBackoffMs * (2 ** failureCount)),
		});
		applyTopology();
	}

	/** Runs a subscription until it is ended. Opens a new stream whenever the previous one ends. */
	async function runSubscription(activeSubscription: ActiveSubscription): Promise<void> {
		const {subscription: {member, scope}, controller} = activeSubscription;
		let isLost = false;
		while (!controller.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- a stream is opened once the previous one has ended
				await receiveStream(activeSubscription);
				isLost = false;
			} catch (error) {
				if (!isLost && !controller.signal.aborted) {
					host.logger.warn('peerLost', {peer: member.name, scope, reason: getErrorText(error)});
				}

				isLost = true;
			}

			if (!controller.signal.aborted) {
				recordRelayFailure(activeSubscription);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(retryDelayMs, controller.signal);
		}
	}

	/** Starts and ends subscriptions so that exactly those that the topology selects are active. */
	function applyTopology(): void {
		if (isClosed) {
			return;
		}

		const now = performance.now();
		const selectedSubscriptions = new Map(chooseSubscriptions({
			self: host.self,
			otherMembers: registrations,
			isUnreachable: name => (relayBackoffs.get(name)?.avoidedUntil ?? 0) > now,
			isRequestedAsRelay: publisher.isRelaying(),
		}).map(subscription => [subscription.member.name, subscription]));
		for (const [name, {subscription, controller}] of activeSubscriptions) {
			const selected = selectedSubscriptions.get(name);
			if (selected?.scope !== subscription.scope || selected.member.peerUrl !== subscription.member.peerUrl) {
				activeSubscriptions.delete(name);
				controller.abort();
			}
		}

		for (const [name, subscription] of selectedSubscriptions) {
			if (!activeSubscriptions.has(name)) {
				const activeSubscription = {subscription, controller: new AbortController()};
				activeSubscriptions.set(name, activeSubscription);
				void runSubscription(activeSubscription);
			}
		}
	}

	return {
		streamWork: publisher.streamWork,
		async waitForNews() {
			await relayQueries?.waitForNews();
		},
		publish(change) {
			publisher.publish({gateway: host.self.name, changes: [change]}, ownScopes);
		},
		setGateways(newRegistrations) {
			registrations = newRegistrations;
			applyTopology();
		},
		close() {
			isClosed = true;
			for (const {controller} of activeSubscriptions.values()) {
				controller.abort();
			}

			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
}
