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

/** A list of endpoints, and what has changed since the one read before, so that it is found once and not for each stream. */
export type KnownEndpoints = Readonly<{items: readonly ListedEndpoint[]; previousItems: readonly ListedEndpoint[] | undefined; changes: EndpointChanges}>;

/** What this gateway knows of the platform, from the store or from its reader. Each reading of a list makes a new object. */
export type KnownState = Readonly<{
	/** When all of it was current; infinitely long ago if that isn't known. */
	verifiedAt: Timestamp;
	revision: Revision | undefined;
	configuration: Readonly<{source: string; writtenAtRevision: number | undefined}> | undefined;
	endpoints: KnownEndpoints | undefined;
	/** Number of times that the list of endpoints could not be read. */
	endpointFailures: number;
	quarantines: Readonly<{items: readonly QuarantineRecord[]}> | undefined;
	/** Data centres whose endpoints are to get no requests. */
	evacuations: Readonly<{items: readonly string[]; readAt: Timestamp}> | undefined;
	gateways: Readonly<{items: readonly GatewayRegistration[]}> | undefined;
}>;

export type StatePublisherHost = Readonly<{
	/** Returns what is known, after a check whether this process was suspended. */
	getKnownState(): KnownState;
	/** Calls the function at each change, also of the time alone. Returns the function that ends this. */
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
	evacuations: KnownState['evacuations'];
	gateways: KnownState['gateways'];
};

function isSameEntry(left: ListedEndpoint, right: ListedEndpoint): boolean {
	return left.service === right.service && left.address === right.address && left.dataCentre === right.dataCentre && left.slots === right.slots
		&& left.state === right.state && left.startedAt === right.startedAt && left.coldRemainingMs === right.coldRemainingMs;
}

/** Returns the entries of a list that are new or other than in an earlier one, and the ids that it lacks. */
function getChanges(earlier: readonly ListedEndpoint[], items: readonly ListedEndpoint[]): EndpointChanges {
	const earlierById = new Map(earlier.map(endpoint => [endpoint.id, endpoint]));
	const changed = items.filter(endpoint => {
		const last = earlierById.get(endpoint.id);
		return last === undefined || !isSameEntry(last, endpoint);
	});
	const ids = new Set(items.map(({id}) => id));
	return {changed, removed: earlier.map(({id}) => id).filter(id => !ids.has(id))};
}

/** Creates the known endpoints from a list and the one read before. */
export function createKnownEndpoints(items: readonly ListedEndpoint[], previousItems: readonly ListedEndpoint[] | undefined): KnownEndpoints {
	return {items, previousItems, changes: getChanges(previousItems ?? [], items)};
}

/** Returns the changes since what was told; those since the list read before are known. */
function getUntoldChanges(told: readonly ListedEndpoint[] | undefined, {items, previousItems, changes}: KnownEndpoints): EndpointChanges {
	return told === previousItems ? changes : getChanges(told ?? [], items);
}

/** Returns the state that follows what a stream has told, and records it as told. */
function takeState(cursor: Cursor, known: KnownState, revision: Revision, openedAt: Timestamp): PlatformState {
	const state: PlatformState = {
		verifiedAfterMs: known.verifiedAt - openedAt,
		revision,
		configuration: known.configuration === cursor.configuration ? undefined : known.configuration,
		endpoints: known.endpoints === undefined || known.endpoints === cursor.endpoints ? undefined : getUntoldChanges(cursor.endpoints?.items, known.endpoints),
		hasEndpointFailure: known.endpointFailures !== cursor.endpointFailures,
		quarantines: known.quarantines === cursor.quarantines ? undefined : known.quarantines?.items,
		evacuations: known.evacuations === cursor.evacuations ? undefined : known.evacuations?.items,
		gateways: known.gateways === cursor.gateways ? undefined : known.gateways?.items,
	};
	cursor.configuration = known.configuration;
	cursor.endpoints = known.endpoints;
	cursor.endpointFailures = known.endpointFailures;
	cursor.quarantines = known.quarantines;
	cursor.evacuations = known.evacuations;
	cursor.gateways = known.gateways;
	return state;
}

/** Creates the function that streams states until a signal aborts. */
export function createStateStream(host: StatePublisherHost): (gateway: GatewayName, signal: AbortSignal) => AsyncGenerator<PlatformState> {
	async function * streamState(_: GatewayName, signal: AbortSignal): AsyncGenerator<PlatformState> {
		const openedAt = performance.now();
		const cursor: Cursor = {
			configuration: undefined, endpoints: undefined, endpointFailures: host.getKnownState().endpointFailures, quarantines: undefined, evacuations: undefined, gateways: undefined,
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
