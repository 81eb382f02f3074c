/**
The configuration in force, the time of its last verification, and the checks of requests against both.

A revoked key must stop working within a bounded time even at a gateway that doesn't receive the revocation. Keys are
therefore accepted only if the configuration was verified recently; otherwise requests are refused as not run.
*/
import {createNotRunFailure, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {ServedRoute, ServingConfiguration} from './gateway-types.js';
import {createRouteTable, type RouteTable} from './route-table.js';

export type ConfigurationStateSettings = Readonly<{
	/** Maximum age of the last verification at which keys are accepted; `undefined` means no limit. */
	maximumKeyAgeMs: Milliseconds | undefined;
	/** Maximum age of the last verification at which a missing route or key is reported as unknown; later, the configuration may be outdated. */
	maximumAbsenceAgeMs: Milliseconds;
}>;

/** The route of an accepted request, and the organisation of its key. */
export type RouteGrant = Readonly<{kind: 'granted'; route: ServedRoute; organisation: string | undefined}>;
export type RouteRefusal = Readonly<{kind: 'refused'; failure: Failure}>;

export type ConfigurationState = Readonly<{
	tryGet(): ServingConfiguration | undefined;
	/** Records a verification and applies the configuration if it is newer. Returns whether it was applied. */
	recordVerified(configuration: ServingConfiguration | undefined, verifiedAt: Timestamp): boolean;
	/** Discards the time of the last verification, so that keys are refused until the next one. */
	expire(): void;
	getAgeMs(now: Timestamp): Milliseconds;
	checkRoute(host: string, path: string, credential: string | undefined, now: Timestamp): RouteGrant | RouteRefusal;
	/** Checks whether a request with the key may be sent, and returns the failure if not. */
	checkCredential(route: ServedRoute, credential: string | undefined, now: Timestamp): Failure | undefined;
}>;

/** Retry delay for callers that are refused because the configuration is missing or stale. */
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
