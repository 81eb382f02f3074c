/**
The configuration in force, how old the knowledge of it is, and what both say of a request.

A key that was taken away must stop working within a bounded time also at a gateway that does not hear of it. So keys
are only accepted while the configuration was verified lately; afterwards requests are refused as not run.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {ServedRoute, ServingConfiguration} from './gateway-types.js';
import {createRouteTable, type RouteTable} from './route-table.js';

export type ConfigurationStateSettings = Readonly<{
	/** Longest age of the last verification at which keys are accepted; `undefined` accepts them at any age. */
	maximumKeyAgeMs: Milliseconds | undefined;
	/** Longest age at which a missing route or key is taken as the truth and not as old knowledge. */
	maximumAbsenceAgeMs: Milliseconds;
}>;

/** A route that a request may take, and the organisation that it comes from. */
export type RouteGrant = Readonly<{kind: 'granted'; route: ServedRoute; organisation: string | undefined}>;
export type RouteRefusal = Readonly<{kind: 'refused'; failure: Failure}>;

export type ConfigurationState = Readonly<{
	tryGet(): ServingConfiguration | undefined;
	/** Takes in a configuration unless it is older than the one in force. Returns whether it is new. */
	recordVerified(configuration: ServingConfiguration | undefined, verifiedAt: Timestamp): boolean;
	/** Forgets when the configuration was verified. */
	expire(): void;
	getAgeMs(now: Timestamp): Milliseconds;
	checkRoute(host: string, path: string, credential: string | undefined, now: Timestamp): RouteGrant | RouteRefusal;
	/** Checks again whether a request with the key may be sent, or returns why not. */
	checkCredential(route: ServedRoute, credential: string | undefined, now: Timestamp): Failure | undefined;
}>;

/** When a caller should come back that was refused for want of fresh knowledge. */
const staleRetryMs: Milliseconds = 500;

function refuse(failure: Failure): RouteRefusal {
	return {kind: 'refused', failure};
}

/** Creates a state without a configuration. */
export function createConfigurationState(settings: ConfigurationStateSettings): ConfigurationState {
	let current: ServingConfiguration | undefined;
	let routes: RouteTable | undefined;
	let verifiedAt = Number.NEGATIVE_INFINITY;

	function getAbsenceFailure(kind: 'unauthorised' | 'routeNotFound', now: Timestamp): Failure {
		return now - verifiedAt <= settings.maximumAbsenceAgeMs
			? createNotRunFailure(kind)
			: createNotRunFailure('platformUnavailable', 'the configuration may be out of date', staleRetryMs);
	}

	function findOrganisation(credential: string | undefined): string | undefined {
		return credential === undefined ? undefined : current?.organisationsByKey?.get(credential);
	}

	function checkCredential(route: ServedRoute, credential: string | undefined, now: Timestamp): Failure | undefined {
		if (route.isPublic || current?.organisationsByKey === undefined) {
			return undefined;
		}

		if (settings.maximumKeyAgeMs !== undefined && now - verifiedAt > settings.maximumKeyAgeMs) {
			return createNotRunFailure('platformUnavailable', 'keys can not be verified', staleRetryMs);
		}

		return findOrganisation(credential) === undefined ? getAbsenceFailure('unauthorised', now) : undefined;
	}

	return {
		tryGet: () => current,
		recordVerified(configuration, at) {
			verifiedAt = Math.max(verifiedAt, at);
			if (configuration === undefined || (current !== undefined && configuration.version <= current.version)) {
				return false;
			}

			current = configuration;
			routes = createRouteTable(configuration);
			return true;
		},
		expire() {
			verifiedAt = Number.NEGATIVE_INFINITY;
		},
		getAgeMs: now => now - verifiedAt,
		checkRoute(host, path, credential, now) {
			if (routes === undefined) {
				return refuse(createNotRunFailure('notReady', undefined, staleRetryMs));
			}

			const route = routes.findRoute(host, path);
			if (route === undefined) {
				return refuse(getAbsenceFailure('routeNotFound', now));
			}

			const failure = checkCredential(route, credential, now);
			return failure === undefined ? {kind: 'granted', route, organisation: findOrganisation(credential)} : refuse(failure);
		},
		checkCredential,
	};
}
