/**
Streams changes of open work, in batches, to the subscribed gateways.
*/
import type {ExchangeScope} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {PeerChange} from '@currantcross/core/gateway/peer-changes';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {
	GatewayWork, WorkBatch, WorkQueries, WorkStreamRequest,
} from '@currantcross/peer/gateway-peers';

export type WorkPublisherHost = Readonly<{
	/** Returns the snapshot that a new stream of the scope starts with. */
	getSnapshot(scope: ExchangeScope): readonly GatewayWork[];
	/** Called when `isRelaying` changes. */
	onRelayingChanged(): void;
	/** Called when the queries of a subscriber have broken off; it opens another stream. */
	reportBrokenQueries(subscriber: GatewayName, error: unknown): void;
}>;

export type WorkPublisher = Readonly<{
	/**
	Streams a snapshot and then batches of changes. Ends when the signal aborts or the subscriber falls too far behind. With
	`queries`, changes of open work wait for the next query, but not for long.
	*/
	streamWork(request: WorkStreamRequest, queries: WorkQueries | undefined, signal: AbortSignal): AsyncGenerator<WorkBatch>;
	/** Queues changes for the subscribers of these scopes. */
	publish(work: GatewayWork, scopes: ReadonlySet<ExchangeScope>): void;
	/** Returns whether any subscriber requests the work of gateways other than this one. */
	isRelaying(): boolean;
}>;

/** How long changes are collected into one batch; a longer delay would lead to placements based on stale load. */
const ownBatchMs: Milliseconds = 12;
/** Batch time of streams that relay other gateways' work, which has already been delayed by one hop. */
const relayedBatchMs: Milliseconds = 10;
/** Longest time for which changes of open work wait for a query; bounds the size of a batch and the age of what a peer knows that sends none. */
const queriedBatchMs: Milliseconds = 250;
/** Time without changes after which an empty batch is sent as a heartbeat. */
const heartbeatMs: Milliseconds = 500;
/** Maximum number of changes queued for a slow subscriber; beyond it the stream ends and must be restarted with a snapshot. */
const maximumPendingChanges = 20_000;

type Subscriber = {
	readonly request: WorkStreamRequest;
	readonly hasQueries: boolean;
	pending: Map<GatewayName, PeerChange[]>;
	pendingCount: number;
	/** When the next batch is due. */
	dueAt: Timestamp;
	lastQuery: number;
	/** Called when the next batch is due earlier than before. */
	notify: (() => void) | undefined;
};

/** Returns whether a change matters to the placement of the next request and to nothing else. */
function isWorkChange({kind}: PeerChange): boolean {
	switch (kind) {
		case 'reset':
		case 'started':
		case 'writing':
		case 'ended':
		case 'paceObserved': {
			return true;
		}

		case 'serverCrashed':
		case 'segmentCleared':
		case 'segmentQuarantined':
		case 'segmentTried':
		case 'limitChanged':
		case 'endpointUnreachable':
		case 'endpointLeaving':
		case 'endpointCold':
		case 'configurationInForce': {
			return false;
		}
	}
}

/** Creates a publisher without subscribers. */
export function createWorkPublisher(host: WorkPublisherHost): WorkPublisher {
	const subscribers = new Set<Subscriber>();

	function getBatchMs({request, hasQueries}: Subscriber, changes: readonly PeerChange[]): Milliseconds {
		if (hasQueries && changes.every(change => isWorkChange(change))) {
			return queriedBatchMs;
		}

		return request.scope === 'own' ? ownBatchMs : relayedBatchMs;
	}

	/** Lets the next batch be sent after `delayMs` at the latest. */
	function scheduleBatch(subscriber: Subscriber, delayMs: Milliseconds): void {
		const dueAt = performance.now() + delayMs;
		if (dueAt < subscriber.dueAt) {
			subscriber.dueAt = dueAt;
			subscriber.notify?.();
		}
	}

	function addPending(subscriber: Subscriber, {gateway, changes}: GatewayWork): void {
		if (gateway === subscriber.request.gateway) {
			return;
		}

		const pending = subscriber.pending.get(gateway) ?? [];
		pending.push(...changes);
		subscriber.pending.set(gateway, pending);
		subscriber.pendingCount += changes.length;
		scheduleBatch(subscriber, getBatchMs(subscriber, changes));
	}

	function takeBatch(subscriber: Subscriber): WorkBatch {
		const works = [...subscriber.pending].map(([gateway, changes]) => ({gateway, changes}));
		subscriber.pending = new Map();
		subscriber.pendingCount = 0;
		subscriber.dueAt = performance.now() + heartbeatMs;
		return {works, answeredQuery: subscriber.lastQuery};
	}

	/** Waits until a batch or a heartbeat is due. */
	async function waitForBatch(subscriber: Subscriber): Promise<void> {
		await new Promise<void>(resolve => {
			const startTimer = (): NodeJS.Timeout => setTimeout(resolve, Math.max(0, subscriber.dueAt - performance.now()));
			let timer = startTimer();
			subscriber.notify = () => {
				clearTimeout(timer);
				timer = startTimer();
			};
		});
		subscriber.notify = undefined;
	}

	/** Lets a batch be sent at each query of the subscriber. */
	async function answerQueries(subscriber: Subscriber, queries: WorkQueries): Promise<void> {
		try {
			for await (const query of queries) {
				subscriber.lastQuery = query;
				scheduleBatch(subscriber, 0);
			}
		} catch (error) {
			host.reportBrokenQueries(subscriber.request.gateway, error);
		}
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
		async * streamWork(request, queries, signal) {
			const subscriber: Subscriber = {
				request, hasQueries: queries !== undefined, pending: new Map(), pendingCount: 0, dueAt: 0, lastQuery: 0, notify: undefined,
			};
			if (queries !== undefined) {
				void answerQueries(subscriber, queries);
			}

			for (const work of host.getSnapshot(request.scope)) {
				addPending(subscriber, work);
			}

			applySubscriberChange(() => {
				subscribers.add(subscriber);
			});
			try {
				while (!signal.aborted && subscriber.pendingCount <= maximumPendingChanges) {
					yield takeBatch(subscriber);
					// eslint-disable-next-line no-await-in-loop -- batches are sent in order
					await waitForBatch(subscriber);
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
