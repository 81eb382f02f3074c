/**
Streams what this gateway knows of the platform to gateways that follow it: everything at first, then what changes, and several times
a second how recent it is.
*/
import type {ListedEndpoint} from '@currantcross/core/gateway/gateway-types';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {QuarantineRecord} from '@currantcross/core/gateway/segment-quarantine';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {EndpointChanges, PlatformState} from '@currantcross/peer/platform-peers';
import type {GatewayRegistration, Revision} from './gateway-hosts.js';

/** What this gateway knows of the platform, from the store or from its reader. Each reading of a list makes a new object. */
export type KnownState = Readonly<{
	/** When all of it was current; infinitely long ago if that isn't known. */
	verifiedAt: Timestamp;
	revision: Revision | undefined;
	configuration: Readonly<{source: string; writtenAtRevision: number | undefined}> | undefined;
	endpoints: Readonly<{items: readonly ListedEndpoint[]}> | undefined;
	/** Number of times that the list of endpoints could not be read. */
	endpointFailures: number;
	quarantines: Readonly<{items: readonly QuarantineRecord[]}> | undefined;
	gateways: Readonly<{items: readonly GatewayRegistration[]}> | undefined;
}>;

export type StatePublisherHost = Readonly<{
	/** Returns what is known, after a check whether this process was suspended. */
	getKnownState(): KnownState;
	/** Calls the function at each change but that of the time alone. Returns the function that ends this. */
	observeChanges(handleChange: () => void): () => void;
}>;

/** Interval at which states are sent while nothing changes. */
const stateIntervalMs: Milliseconds = 200;

/** What a stream has told so far. */
type Cursor = {
	configuration: KnownState['configuration'];
	endpoints: KnownState['endpoints'];
	endpointFailures: number;
	quarantines: KnownState['quarantines'];
	gateways: KnownState['gateways'];
	/** The endpoints that were told, by id. An entry that has not changed is the same object in each list. */
	readonly toldEndpoints: Map<string, ListedEndpoint>;
};

/** Returns the changes since what was told, and records them as told. */
function takeEndpointChanges(told: Map<string, ListedEndpoint>, endpoints: readonly ListedEndpoint[]): EndpointChanges {
	const changed = endpoints.filter(endpoint => told.get(endpoint.id) !== endpoint);
	for (const endpoint of changed) {
		told.set(endpoint.id, endpoint);
	}

	const ids = new Set(endpoints.map(({id}) => id));
	const removed = [...told.keys()].filter(id => !ids.has(id));
	for (const id of removed) {
		told.delete(id);
	}

	return {changed, removed};
}

/** Returns the state that follows what a stream has told, and records it as told. */
function takeState(cursor: Cursor, known: KnownState, revision: Revision, openedAt: Timestamp): PlatformState {
	const state: PlatformState = {
		verifiedAfterMs: known.verifiedAt - openedAt,
		revision,
		configuration: known.configuration === cursor.configuration ? undefined : known.configuration,
		endpoints: known.endpoints === undefined || known.endpoints === cursor.endpoints ? undefined : takeEndpointChanges(cursor.toldEndpoints, known.endpoints.items),
		hasEndpointFailure: known.endpointFailures !== cursor.endpointFailures,
		quarantines: known.quarantines === cursor.quarantines ? undefined : known.quarantines?.items,
		gateways: known.gateways === cursor.gateways ? undefined : known.gateways?.items,
	};
	cursor.configuration = known.configuration;
	cursor.endpoints = known.endpoints;
	cursor.endpointFailures = known.endpointFailures;
	cursor.quarantines = known.quarantines;
	cursor.gateways = known.gateways;
	return state;
}

/** Creates the function that streams states until a signal aborts. */
export function createStateStream(host: StatePublisherHost): (gateway: GatewayName, signal: AbortSignal) => AsyncGenerator<PlatformState> {
	async function * streamState(_: GatewayName, signal: AbortSignal): AsyncGenerator<PlatformState> {
		const openedAt = performance.now();
		const cursor: Cursor = {
			configuration: undefined, endpoints: undefined, endpointFailures: host.getKnownState().endpointFailures, quarantines: undefined, gateways: undefined, toldEndpoints: new Map(),
		};
		while (!signal.aborted) {
			const known = host.getKnownState();
			if (known.revision !== undefined && Number.isFinite(known.verifiedAt)) {
				yield takeState(cursor, known, known.revision, openedAt);
			}

			// eslint-disable-next-line no-await-in-loop -- one state after the other
			await waitForChange(host, signal);
		}
	}

	return streamState;
}

/** Waits until something changes, or the next state is due. */
async function waitForChange(host: StatePublisherHost, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const end = (): void => {
			clearTimeout(timer);
			stopObserving();
			signal.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, stateIntervalMs);
		const stopObserving = host.observeChanges(end);
		signal.addEventListener('abort', end);
	});
}
