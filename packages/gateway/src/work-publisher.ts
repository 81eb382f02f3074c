/**
Streams changes of open work, in batches, to the subscribed gateways.
*/
import type {ExchangeScope} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {PeerChange} from '@currantcross/core/gateway/peer-changes';
import type {Milliseconds} from '@currantcross/core/types';
import type {GatewayWork, WorkStreamRequest} from '@currantcross/peer/gateway-peers';

export type WorkPublisherHost = Readonly<{
	/** Returns the snapshot that a new stream of the scope starts with. */
	getSnapshot(scope: ExchangeScope): readonly GatewayWork[];
	/** Called when `isRelaying` changes. */
	onRelayingChanged(): void;
}>;

export type WorkPublisher = Readonly<{
	/** Streams a snapshot and then batches of changes. Ends when the signal aborts or the subscriber falls too far behind. */
	streamWork(request: WorkStreamRequest, signal: AbortSignal): AsyncGenerator<readonly GatewayWork[]>;
	/** Queues changes for the subscribers of these scopes. */
	publish(work: GatewayWork, scopes: ReadonlySet<ExchangeScope>): void;
	/** Returns whether any subscriber requests the work of gateways other than this one. */
	isRelaying(): boolean;
}>;

/** How long changes are collected into one batch; a longer delay would lead to placements based on stale load. */
const ownBatchMs: Milliseconds = 12;
/** Batch time of streams that relay other gateways' work, which has already been delayed by one hop. */
const relayedBatchMs: Milliseconds = 10;
/** Time without changes after which an empty batch is sent as a heartbeat. */
const heartbeatMs: Milliseconds = 500;
/** Maximum number of changes queued for a slow subscriber; beyond it the stream ends and must be restarted with a snapshot. */
const maximumPendingChanges = 20_000;

type Subscriber = {
	readonly request: WorkStreamRequest;
	pending: Map<GatewayName, PeerChange[]>;
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
		const batch = [...subscriber.pending].map(([gateway, changes]) => ({gateway, changes}));
		subscriber.pending = new Map();
		subscriber.pendingCount = 0;
		return batch;
	}

	/** Waits until a batch of changes has been collected or a heartbeat is due. */
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

	/** Adds or removes a subscriber and reports a change of `isRelaying`. */
	function applySubscriberChange(change: () => void): void {
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

			applySubscriberChange(() => {
				subscribers.add(subscriber);
			});
			try {
				while (!signal.aborted && subscriber.pendingCount <= maximumPendingChanges) {
					yield takePending(subscriber);
					// eslint-disable-next-line no-await-in-loop -- batches are sent in order
					await waitForChange(subscriber);
				}
			} finally {
				applySubscriberChange(() => {
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
