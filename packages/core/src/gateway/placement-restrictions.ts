/**
Decides which endpoints a request may reach at all: none in a data centre that the operator has evacuated, and only those in the home
regions of its route and of its organisation.

It answers the load of a data centre that is emptied while traffic goes on, hosts restart and the store fails: each gateway decides by
the newest list of evacuations that it has, the list of a reader that lies behind changes nothing, and a restore of the store ends no
evacuation before the operator has had the time to write it again.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {GatewayRequest, ListedEndpoint, ServedOrganisation} from './gateway-types.js';

export type PlacementRestrictionSettings = Readonly<{
	/** Time within which evacuations must be in force; `undefined` if the operator evacuates no data centre. */
	evacuationMs: Milliseconds | undefined;
	/** Region of each data centre. */
	regions: ReadonlyMap<string, string>;
}>;

/** The data centres whose endpoints are to get no requests, as the store showed them at `readAt`, and who has read that. */
export type EvacuationList = Readonly<{dataCentres: ReadonlySet<string>; readAt: Timestamp; source: 'store' | 'reader'}>;

/** The data centres whose evacuation has just begun or ended. */
export type EvacuationChanges = Readonly<{begun: readonly string[]; ended: readonly string[]}>;

/** The regions in which an endpoint must be: in each of the lists that isn't empty. */
type Homes = ReadonlyArray<readonly string[]>;

export type PlacementRestrictions = Readonly<{
	/** Applies a list, unless it is older than the one that is known. */
	applyEvacuations(list: EvacuationList, now: Timestamp): EvacuationChanges;
	/** Records that the store has gone back to an earlier state. */
	recordRestore(now: Timestamp): void;
	/** Returns whether it is known which data centres are evacuated, so that requests can be sent. */
	isKnown(): boolean;
	/** Returns whether a request may be sent to an endpoint. */
	isPermitted(request: GatewayRequest, organisation: ServedOrganisation | undefined, endpoint: ListedEndpoint): boolean;
	/** Returns the endpoints that a request may be sent to. */
	getPermitted(request: GatewayRequest, organisation: ServedOrganisation | undefined, endpoints: readonly ListedEndpoint[]): readonly ListedEndpoint[];
	/** Returns the failure of a request that may be sent to none of the service's endpoints, or `undefined` if there is no endpoint or it may be sent to one. */
	findRefusal(request: GatewayRequest, organisation: ServedOrganisation | undefined, endpoints: readonly ListedEndpoint[]): Failure | undefined;
}>;

/** Time after a restore until lists show again what the operator has written since the copy, within 2 s, and what readers pass on is from then. */
const rewriteMs: Milliseconds = 3500;
/** Retry delay of callers, at least, and the range over which their returns are spread. */
const minimumRetryMs: Milliseconds = 1000;
const retrySpreadMs: Milliseconds = 1000;
/** Its multiples, modulo 1, are spread evenly. */
const goldenRatio = 0.618_033_988_75;

const noChanges: EvacuationChanges = {begun: [], ended: []};

/** Returns a retry delay that spreads the returns of requests which are refused together. */
function getSpreadRetryMs({key}: GatewayRequest): Milliseconds {
	return Math.round(minimumRetryMs + (retrySpreadMs * ((key * goldenRatio) % 1)));
}

/** Creates restrictions without a list of evacuations. */
export function createPlacementRestrictions({evacuationMs, regions}: PlacementRestrictionSettings): PlacementRestrictions {
	let evacuated: ReadonlySet<string> = new Set();
	let lastReadAt = Number.NEGATIVE_INFINITY;
	/** Evacuations end only by lists that were read later. */
	let endsAfter = Number.NEGATIVE_INFINITY;
	let hasRecentList = false;

	function isHome(homes: Homes, {dataCentre}: ListedEndpoint): boolean {
		const region = regions.get(dataCentre);
		return region !== undefined && homes.every(home => home.includes(region));
	}

	function getHomes({route}: GatewayRequest, organisation: ServedOrganisation | undefined): Homes {
		return [route.permittedRegions, organisation?.permittedRegions ?? []].filter(home => home.length > 0);
	}

	function isOpen({dataCentre}: ListedEndpoint): boolean {
		return !evacuated.has(dataCentre);
	}

	function isPermitted(request: GatewayRequest, organisation: ServedOrganisation | undefined, endpoint: ListedEndpoint): boolean {
		const homes = getHomes(request, organisation);
		return isOpen(endpoint) && (homes.length === 0 || isHome(homes, endpoint));
	}

	return {
		applyEvacuations({dataCentres, readAt}, now) {
			if (evacuationMs === undefined || readAt < lastReadAt) {
				return noChanges;
			}

			lastReadAt = readAt;
			hasRecentList ||= now - readAt <= evacuationMs;
			const begun = [...dataCentres].filter(dataCentre => !evacuated.has(dataCentre));
			const ended = readAt < endsAfter ? [] : [...evacuated].filter(dataCentre => !dataCentres.has(dataCentre));
			if (begun.length > 0 || ended.length > 0) {
				evacuated = new Set([...evacuated, ...begun].filter(dataCentre => !ended.includes(dataCentre)));
			}

			return {begun, ended};
		},
		recordRestore(now) {
			endsAfter = now + rewriteMs;
		},
		isKnown: () => evacuationMs === undefined || hasRecentList,
		isPermitted,
		getPermitted(request, organisation, endpoints) {
			const homes = getHomes(request, organisation);
			const open = evacuated.size === 0 ? endpoints : endpoints.filter(endpoint => isOpen(endpoint));
			return homes.length === 0 ? open : open.filter(endpoint => isHome(homes, endpoint));
		},
		findRefusal(request, organisation, endpoints) {
			const homes = getHomes(request, organisation);
			const atHome = homes.length === 0 ? endpoints : endpoints.filter(endpoint => isHome(homes, endpoint));
			if (endpoints.length === 0 || atHome.some(endpoint => isOpen(endpoint))) {
				return undefined;
			}

			const detail = atHome.length === 0
				? `no server is in ${homes.map(home => home.join(' or ')).join(', and in ')}`
				: `evacuated: ${[...new Set(atHome.map(({dataCentre}) => dataCentre))].join(', ')}`;
			return createNotRunFailure('noServerPermitted', detail, getSpreadRetryMs(request));
		},
	};
}
