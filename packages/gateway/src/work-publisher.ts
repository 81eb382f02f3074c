/**
Streams changes of open work to the gateways that ask for them, in batches.
*/
import type {ExchangeScope} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName, WorkChange} from '@currantcross/core/gateway/load-view';
import type {Milliseconds} from '@currantcross/core/types';
import type {GatewayWork, WorkStreamRequest} from '@currantcross/peer/gateway-peers';

export type WorkPublisherHost = Readonly<{
	/** Returns the work that a new stream of the scope begins with. */
	getSnapshot(scope: ExchangeScope): readonly GatewayWork[];
	/** Hears that others began or ceased to ask for the work of more than this gateway. */
	onRelayingChanged(): void;
}>;

export type WorkPublisher = Readonly<{
	streamWork(request: WorkStreamRequest, signal: AbortSignal): AsyncGenerator<readonly GatewayWork[]>;
	/** Sends changes to the subscribers of these scopes. */
	publish(work: GatewayWork, scopes: ReadonlySet<ExchangeScope>): void;
	/** Returns whether others ask for the work of more than this gateway. */
	isRelaying(): boolean;
}>;

/** How long changes are collected into one batch; below the time in which a placement would go wrong. */
const ownBatchMs: Milliseconds = 12;
/** The same for the work of many gateways, which has come one way already. */
const relayedBatchMs: Milliseconds = 10;
/** Pause after which an empty batch says that the gateway lives. */
const heartbeatMs: Milliseconds = 500;
/** Changes that wait for a subscriber which does not read; it has to begin anew beyond that. */
const maximumPendingChanges = 20_000;

type Subscriber = {
	readonly request: WorkStreamRequest;
	pending: Map<GatewayName, WorkChange[]>;
	pendingCount: number;
	notify: (() => void) | undefined;
};

/** Creates a publisher without subscribers. */
export function createWorkPublisher(host: WorkPublisherHost): WorkPublisher {
	const subscribers = new Set<Subscriber>();

	function addPending(subscriber: Subscriber, {gateway, changes}: GatewayWork): void {
		if (gateway === subscriber.request.gateway) {
			return;
		}

		const pending = subscriber.pending.get(gateway) ?? [];
		pending.push(...changes);
		subscriber.pending.set(gateway, pending);
		subscriber.pendingCount += changes.length;
		subscriber.notify?.();
	}

	function takePending(subscriber: Subscriber): readonly GatewayWork[] {
		const works = [...subscriber.pending].map(([gateway, changes]) => ({gateway, changes}));
		subscriber.pending = new Map();
		subscriber.pendingCount = 0;
		return works;
	}

	async function waitForChange(subscriber: Subscriber): Promise<void> {
		if (subscriber.pendingCount > 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, heartbeatMs);
			subscriber.notify = () => {
				subscriber.notify = undefined;
				clearTimeout(timer);
				setTimeout(resolve, subscriber.request.scope === 'own' ? ownBatchMs : relayedBatchMs);
			};
		});
		subscriber.notify = undefined;
	}

	function isRelaying(): boolean {
		return [...subscribers].some(({request}) => request.scope !== 'own');
	}

	function applySubscribers(change: () => void): void {
		const wasRelaying = isRelaying();
		change();
		if (isRelaying() !== wasRelaying) {
			host.onRelayingChanged();
		}
	}

	return {
		async * streamWork(request, signal) {
			const subscriber: Subscriber = {
				request, pending: new Map(), pendingCount: 0, notify: undefined,
			};
			for (const work of host.getSnapshot(request.scope)) {
				addPending(subscriber, work);
			}

			applySubscribers(() => {
				subscribers.add(subscriber);
			});
			try {
				while (!signal.aborted && subscriber.pendingCount <= maximumPendingChanges) {
					yield takePending(subscriber);
					// eslint-disable-next-line no-await-in-loop -- batches go out one after the other
					await waitForChange(subscriber);
				}
			} finally {
				applySubscribers(() => {
					subscribers.delete(subscriber);
				});
			}
		},
		publish(work, scopes) {
			for (const subscriber of subscribers) {
				if (scopes.has(subscriber.request.scope)) {
					addPending(subscriber, work);
				}
			}
		},
		isRelaying,
	};
}
