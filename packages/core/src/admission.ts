/**
Limits of organisations: rates of requests and tokens, and concurrency.

Each entry keeps its own counts; there is no shared counter. The limit of an entry is its share of the configured one,
so the whole is overrun by at most the rounding up of each entry's share.
*/
import {createNotRun, type Failure} from './errors.js';
import type {
	Organisation, OrganisationName, Timestamp, TokenCount,
} from './types.js';

/** How many seconds of its rate an organisation may save up. */
const burstSeconds = 2;

const millisecondsPerSecond = 1000;

type Usage = {
	requests: number;
	tokens: number;
	refilledAt: Timestamp;
	concurrentRequests: number;
};

export type Admission = Readonly<{
	/** Counts the request in, or returns why it is refused. */
	checkLimits(name: OrganisationName, organisation: Organisation, tokens: TokenCount, now: Timestamp): Failure | undefined;
	/** Counts an admitted request out. */
	recordEnd(name: OrganisationName): void;
	/** Sets how many entries share the limits. */
	setEntryCount(count: number): void;
}>;

/** Creates the counts of one entry. */
export function createAdmission(): Admission {
	const usages = new Map<OrganisationName, Usage>();
	let entryCount = 1;

	function getUsage(name: OrganisationName, organisation: Organisation, now: Timestamp): Usage {
		const requestRate = organisation.requestsPerSecond / entryCount;
		const tokenRate = organisation.tokensPerSecond / entryCount;
		const usage = usages.get(name) ?? {
			requests: Math.max(1, requestRate * burstSeconds),
			tokens: tokenRate * burstSeconds,
			refilledAt: now,
			concurrentRequests: 0,
		};
		const seconds = Math.max(0, now - usage.refilledAt) / millisecondsPerSecond;
		usage.requests = Math.min(Math.max(1, requestRate * burstSeconds), usage.requests + (requestRate * seconds));
		usage.tokens = Math.min(tokenRate * burstSeconds, usage.tokens + (tokenRate * seconds));
		usage.refilledAt = now;
		usages.set(name, usage);
		return usage;
	}

	function getWaitMs(missing: number, ratePerSecond: number): number {
		return Math.ceil(missing / (ratePerSecond / entryCount) * millisecondsPerSecond);
	}

	return {
		checkLimits(name, organisation, tokens, now) {
			const usage = getUsage(name, organisation, now);
			if (usage.concurrentRequests >= Math.ceil(organisation.concurrentRequests / entryCount)) {
				return createNotRun('rateLimited', 'too many requests at once');
			}

			if (usage.requests < 1) {
				return createNotRun('rateLimited', 'too many requests a second', getWaitMs(1 - usage.requests, organisation.requestsPerSecond));
			}

			// Tokens go into debt, so that a prompt larger than the burst can pass and is paid for afterwards.
			if (usage.tokens <= 0) {
				return createNotRun('rateLimited', 'too many tokens a second', getWaitMs(1 - usage.tokens, organisation.tokensPerSecond));
			}

			usage.requests -= 1;
			usage.tokens -= tokens;
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
