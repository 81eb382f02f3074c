/**
Enforces the limits of organisations on request rate, token rate and concurrency.

There is no shared counter: each entry counts its own requests and enforces its share of the configured limit. The
shares are rounded up, so the entries together may exceed the configured limit by the sum of these roundings.
*/
import {createNotRunFailure, type Failure} from './errors.js';
import type {
	Organisation, OrganisationName, Timestamp, TokenCount,
} from './types.js';

/** Capacity of the token buckets, in seconds of the configured rate. */
const burstSeconds = 2;

const millisecondsPerSecond = 1000;

type OrganisationUsage = {
	availableRequests: number;
	availableTokens: number;
	refilledAt: Timestamp;
	concurrentRequests: number;
};

export type AdmissionControl = Readonly<{
	/** Admits the request and counts it, or returns the failure with which it is refused. */
	admit(name: OrganisationName, organisation: Organisation, tokens: TokenCount, now: Timestamp): Failure | undefined;
	/** Records that an admitted request has ended, so that it no longer counts as concurrent. */
	recordEnd(name: OrganisationName): void;
	/** Sets the number of entries that share the limits. */
	setEntryCount(count: number): void;
}>;

/** Creates the admission control of one entry. */
export function createAdmissionControl(): AdmissionControl {
	const usageByOrganisation = new Map<OrganisationName, OrganisationUsage>();
	let entryCount = 1;

	function getRefilledUsage(name: OrganisationName, organisation: Organisation, now: Timestamp): OrganisationUsage {
		const requestRate = organisation.requestsPerSecond / entryCount;
		const tokenRate = organisation.tokensPerSecond / entryCount;
		const usage = usageByOrganisation.get(name) ?? {
			availableRequests: Math.max(1, requestRate * burstSeconds),
			availableTokens: tokenRate * burstSeconds,
			refilledAt: now,
			concurrentRequests: 0,
		};
		const seconds = Math.max(0, now - usage.refilledAt) / millisecondsPerSecond;
		usage.availableRequests = Math.min(Math.max(1, requestRate * burstSeconds), usage.availableRequests + (requestRate * seconds));
		usage.availableTokens = Math.min(tokenRate * burstSeconds, usage.availableTokens + (tokenRate * seconds));
		usage.refilledAt = now;
		usageByOrganisation.set(name, usage);
		return usage;
	}

	function getRefillDelayMs(missingAmount: number, ratePerSecond: number): number {
		return Math.ceil(missingAmount / (ratePerSecond / entryCount) * millisecondsPerSecond);
	}

	return {
		admit(name, organisation, tokens, now) {
			const usage = getRefilledUsage(name, organisation, now);
			if (usage.concurrentRequests >= Math.ceil(organisation.concurrentRequests / entryCount)) {
				return createNotRunFailure('rateLimited', 'too many requests at once');
			}

			if (usage.availableRequests < 1) {
				return createNotRunFailure('rateLimited', 'too many requests a second', getRefillDelayMs(1 - usage.availableRequests, organisation.requestsPerSecond));
			}

			// The balance may become negative, so that a prompt larger than the burst is admitted. Later requests wait for the refill.
			if (usage.availableTokens <= 0) {
				return createNotRunFailure('rateLimited', 'too many tokens a second', getRefillDelayMs(1 - usage.availableTokens, organisation.tokensPerSecond));
			}

			usage.availableRequests -= 1;
			usage.availableTokens -= tokens;
			usage.concurrentRequests += 1;
			return undefined;
		},
		recordEnd(name) {
			const usage = usageByOrganisation.get(name);
			if (usage !== undefined) {
				usage.concurrentRequests -= 1;
			}
		},
		setEntryCount(count) {
			entryCount = Math.max(1, count);
		},
	};
}
