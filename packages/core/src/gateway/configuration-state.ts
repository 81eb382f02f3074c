/**
The configuration in force, the time of its last verification, and the checks of requests against both.

A revoked key must stop working within a bounded time even at a gateway that doesn't receive the revocation. Keys are
therefore accepted only if the configuration was verified recently; otherwise requests are refused as not run.

The platform's store may be restored from a copy and then show an older configuration than it has confirmed. What it shows is a
verification only if it is as new as every configuration that this gateway or a peer knows, and if the operator has had the time to
write a lost one again.
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

/** The answer to a read or a watch that was begun at `verifiedAt`. */
export type ConfigurationAnswer = Readonly<{
	/** `undefined` means unchanged. */
	configuration: ServingConfiguration | undefined;
	/** Revision of the store at which the configuration was written. */
	writtenAtRevision?: number | undefined;
	verifiedAt: Timestamp;
}>;

export type ConfigurationState = Readonly<{
	tryGet(): ServingConfiguration | undefined;
	/** Applies the configuration if it is newer, and records the answer as a verification unless the store may be outdated. Returns whether it was applied. */
	recordAnswer(answer: ConfigurationAnswer, now: Timestamp): boolean;
	/** Records that the store has gone back to an earlier state. */
	recordRestore(now: Timestamp): void;
	/** Learns that a peer has a version in force. Returns whether it is newer than what was known. */
	learnVersion(version: number, now: Timestamp): boolean;
	/** Returns whether the configuration is known to be older than one that the operator has confirmed, and the store doesn't have that one. */
	isOutdated(now: Timestamp): boolean;
	/** Records that the store's last restore is long ago, whatever was recorded since the process started. */
	recordSettled(now: Timestamp): void;
	/** Returns whether keys can be checked: none has to be verified, or a configuration was. */
	canCheckKeys(): boolean;
	/** Discards the time of the last verification, so that keys are refused until the next one. */
	expire(): void;
	getAgeMs(now: Timestamp): Milliseconds;
	checkRoute(host: string, path: string, credential: string | undefined, now: Timestamp): RouteGrant | RouteRefusal;
	/** Checks whether a request with the key may be sent, and returns the failure if not. */
	checkCredential(route: ServedRoute, credential: string | undefined, now: Timestamp): Failure | undefined;
	/** Returns whether a request that arrived on the route may be repeated, by that route and by the one that its path selects now, if any. */
	mayRepeat(route: ServedRoute, path: string): boolean;
}>;

/** Time after a restore until the operator has written a configuration again that the restore has lost. */
export const rewriteMs: Milliseconds = 2000;
/** Time for which a version of a peer is remembered; bounds how long an outdated gateway refuses requests. */
const peerVersionMs: Milliseconds = 30_000;

/** Retry delay for callers that are refused because the configuration is missing or stale. */
const staleRetryMs: Milliseconds = 500;

function refuse(failure: Failure): RouteRefusal {
	return {kind: 'refused', failure};
}

function isRepeatable({kind, isResumable}: ServedRoute): boolean {
	return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}

/** Creates a state without a configuration. */
export function createConfigurationState(settings: ConfigurationStateSettings): ConfigurationState {
	let current: ServingConfiguration | undefined;
	let routes: RouteTable | undefined;
	let verifiedAt = Number.NEGATIVE_INFINITY;
	let hasBeenVerified = false;
	let writtenAtRevision: number | undefined;
	/** Version that the store showed last, `undefined` if it was restored since. */
	let storeVersion: number | undefined;
	/** Until then, the store may lack a configuration that it has confirmed. */
	let rewrittenBy = Number.NEGATIVE_INFINITY;
	let lastAnswerAt = Number.NEGATIVE_INFINITY;
	let peerVersion = {version: Number.NEGATIVE_INFINITY, learntAt: Number.NEGATIVE_INFINITY};

	/** Returns the newest version that was known at a time. */
	function getKnownVersion(at: Timestamp, now: Timestamp): number {
		const isPeerVersionKnown = peerVersion.learntAt <= at && now - peerVersion.learntAt <= peerVersionMs;
		return Math.max(current?.version ?? Number.NEGATIVE_INFINITY, isPeerVersionKnown ? peerVersion.version : Number.NEGATIVE_INFINITY);
	}

	/** Applies the configuration that the store shows. Returns whether it is newer than the one in force. */
	function applyShown(shown: ServingConfiguration, shownRevision: number | undefined): boolean {
		storeVersion = shown.version;
		const version = current?.version ?? Number.NEGATIVE_INFINITY;
		const isNewer = shown.version > version;
		// The operator writes only the newest configuration.
		const isRewritten = current !== undefined && (isNewer || (shown.version === version && shownRevision !== writtenAtRevision));
		if (isRewritten) {
			rewrittenBy = Number.NEGATIVE_INFINITY;
		}

		if (shown.version >= version) {
			writtenAtRevision = shownRevision;
		}

		if (isNewer) {
			current = shown;
			routes = createRouteTable(shown);
		}

		return isNewer;
	}

	function isOutdated(now: Timestamp): boolean {
		return current !== undefined && current.version < getKnownVersion(lastAnswerAt, now);
	}

	/** Takes what the store showed in answer to a call at `at` for verified, unless it is known to be outdated. */
	function recordVerification(at: Timestamp, now: Timestamp): void {
		const isStoreOutdated = storeVersion !== undefined && storeVersion < getKnownVersion(at, now);
		if (!isStoreOutdated && now >= rewrittenBy) {
			verifiedAt = Math.max(verifiedAt, at);
			hasBeenVerified = true;
		}
	}

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
		recordAnswer({configuration: shown, writtenAtRevision: shownRevision, verifiedAt: at}, now) {
			lastAnswerAt = Math.max(lastAnswerAt, at);
			const isApplied = shown !== undefined && applyShown(shown, shownRevision);
			recordVerification(at, now);
			return isApplied;
		},
		recordRestore(now) {
			storeVersion = undefined;
			rewrittenBy = now + rewriteMs;
		},
		learnVersion(version, now) {
			if (version <= getKnownVersion(now, now)) {
				return false;
			}

			peerVersion = {version, learntAt: now};
			return true;
		},
		isOutdated,
		recordSettled(now) {
			rewrittenBy = Number.NEGATIVE_INFINITY;
			if (storeVersion !== undefined) {
				recordVerification(lastAnswerAt, now);
			}
		},
		canCheckKeys: () => settings.maximumKeyAgeMs === undefined || hasBeenVerified,
		expire() {
			verifiedAt = Number.NEGATIVE_INFINITY;
		},
		getAgeMs: now => now - verifiedAt,
		checkRoute(host, path, credential, now) {
			if (routes === undefined) {
				return refuse(createNotRunFailure('notReady', undefined, staleRetryMs));
			}

			if (isOutdated(now)) {
				return refuse(createNotRunFailure('platformUnavailable', 'the configuration is out of date', staleRetryMs));
			}

			const route = routes.findRoute(host, path);
			if (route === undefined) {
				return refuse(getAbsenceFailure('routeNotFound', now));
			}

			const failure = checkCredential(route, credential, now);
			return failure === undefined ? {kind: 'granted', route, organisation: findOrganisation(credential)} : refuse(failure);
		},
		checkCredential,
		mayRepeat(route, path) {
			const present = routes?.findRoute(route.host, path);
			return isRepeatable(route) && (present === undefined || isRepeatable(present));
		},
	};
}
