/**
Limits of organisations: rates of requests and tokens, and concurrency.

Each entry keeps its own counts; there is no shared counter. The limit of an entry is its share of the configured one,
so the whole is overrun by at most the rounding up of each entry's share.
*/
import {createNotRunFailure, type Failure} from './errors.js';
import type {
	Organisation, OrganisationName, Timestamp, TokenCount,
} from './types.js';

/** How many seconds of its rate an organisation may save up. */
const burstSeconds = 2;

const millisecondsPerSecond = 1000;

type OrganisationUsage = {
	availableRequests: number;
	availableTokens: number;
	refilledAt: Timestamp;
	concurrentRequests: number;
};

export type AdmissionControl = Readonly<{
	/** Counts the request in, or returns why it is refused. */
	admit(name: OrganisationName, organisation: Organisation, tokens: TokenCount, now: Timestamp): Failure | undefined;
	/** Counts an admitted request out. */
	recordEnd(name: OrganisationName): void;
	/** Sets how many entries share the limits. */
	setEntryCount(count: number): void;
}>;

/** Creates the counts of one entry. */
export function createAdmissionControl(): AdmissionControl {
	const usages = new Map<OrganisationName, OrganisationUsage>();
	let entryCount = 1;

	function getRefilledUsage(name: OrganisationName, organisation: Organisation, now: Timestamp): OrganisationUsage {
		const requestRate = organisation.requestsPerSecond / entryCount;
		const tokenRate = organisation.tokensPerSecond / entryCount;
		const usage = usages.get(name) ?? {
			availableRequests: Math.max(1, requestRate * burstSeconds),
			availableTokens: tokenRate * burstSeconds,
			refilledAt: now,
			concurrentRequests: 0,
		};
		const seconds = Math.max(0, now - usage.refilledAt) / millisecondsPerSecond;
		usage.availableRequests = Math.min(Math.max(1, requestRate * burstSeconds), usage.availableRequests + (requestRate * seconds));
		usage.availableTokens = Math.min(tokenRate * burstSeconds, usage.availableTokens + (tokenRate * seconds));
		usage.refilledAt = now;
		usages.set(name, usage);
		return usage;
	}

	function getWaitMs(missing: number, ratePerSecond: number): number {
		return Math.ceil(missing / (ratePerSecond / entryCount) * millisecondsPerSecond);
	}

	return {
		admit(name, organisation, tokens, now) {
			const usage = getRefilledUsage(name, organisation, now);
			if (usage.concurrentRequests >= Math.ceil(organisation.concurrentRequests / entryCount)) {
				return createNotRunFailure('rateLimited', 'too many requests at once');
			}

			if (usage.availableRequests < 1) {
				return createNotRunFailure('rateLimited', 'too many requests a second', getWaitMs(1 - usage.availableRequests, organisation.requestsPerSecond));
			}

			// Tokens go into debt, so that a prompt larger than the burst can pass and is paid for afterwards.
			if (usage.availableTokens <= 0) {
				return createNotRunFailure('rateLimited', 'too many tokens a second', getWaitMs(1 - usage.availableTokens, organisation.tokensPerSecond));
			}

			usage.availableRequests -= 1;
			usage.availableTokens -= tokens;
			usage.concurrentRequests += 1;
			return undefined;
		},
		recordEnd(name) {
			const usage = usages.get(name);
			if (usage !== undefined) {
				usage.concurrentRequests -= 1;
			}
		},
		setEntryCount(count) {
			entryCount = Math.max(1, count);
		},
	};
}
