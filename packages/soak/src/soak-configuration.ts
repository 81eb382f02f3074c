/**
Configuration of the soak test: routes, keys and bounds.
*/
import {createOperatorConfiguration} from '@currantcross/standins/platform-operator-standin';

/**
Kinds of requests that callers send, each to the route of the same name: `ask` streams the answer to a prompt, `archive`
streams the answer to a prompt that exceeds the memory of one server, `book` runs a non-idempotent action and `look` an
idempotent one.
*/
export type CallKind = 'ask' | 'archive' | 'book' | 'look';

/** Deadlines of requests, in milliseconds. */
export const callDeadlineMs: Readonly<Record<CallKind, number>> = {
	ask: 4000, archive: 6000, book: 1200, look: 1200,
};

/** Number of events in a complete stream. */
export const eventCount = 6;
/** Key that is never revoked. */
export const permanentKey = 'key-steady';

/** Limits that are set on the gateways or that the checks enforce. */
export const soakBounds = {
	/** Time within which a revoked key must stop working, in milliseconds. */
	revocationMs: 3000,
	/** Time after which a draining server must get no more requests, in milliseconds. */
	drainMs: 2000,
	/** Time that a gateway has to exit after SIGTERM, in milliseconds. */
	graceMs: 6000,
	/** Retries allowed in a window: this share of its requests plus `retrySlack`. */
	retryRatio: 0.2,
	retrySlack: 60,
	retryWindowMs: 10_000,
} as const;

/** Value of the `Host` header that all routes match. */
export const soakHost = 'soak.example';
const memoryTokens = 1_000_000;

/** Returns a configuration with these keys. The timeout of the route `ask` varies with the version. */
export function createSoakConfiguration(version: number, keys: readonly string[]): unknown {
	const streamingRoute = {
		kind: 'streaming', service: 'models', maximumEndpoints: 3, objectiveMs: 300, longestPauseMs: 250,
	} as const;
	const businessRoute = {service: 'shop', objectiveMs: 300, longestPauseMs: 0} as const;
	return createOperatorConfiguration({
		version,
		host: soakHost,
		routes: [
			{...streamingRoute, name: 'ask', timeoutMs: callDeadlineMs.ask + (version % 3)},
			{
				...streamingRoute, name: 'archive', timeoutMs: callDeadlineMs.archive, objectiveMs: 3000, longestPauseMs: 1000,
			},
			{
				...businessRoute, name: 'book', kind: 'nonIdempotent', maximumEndpoints: 1, timeoutMs: callDeadlineMs.book,
			},
			{
				...businessRoute, name: 'look', kind: 'idempotent', maximumEndpoints: 2, timeoutMs: callDeadlineMs.look,
			},
		],
		modelService: {name: 'models', memoryTokens},
		businessServiceName: 'shop',
		organisation: 'club',
		keys,
	});
}

/** Segment of a prompt on which model servers crash. */
export const crashSegment = 'c0ffee';

/** The platform's bounds on crash segments and limited servers, in milliseconds and requests. */
export const serverBounds = {
	stableWindowMs: 3000,
	/** Number of crashes after which at most `maximumLateRuns` requests with the segment may reach servers. */
	crashes: 5,
	maximumLateRuns: 3,
	limitWindowMs: 4000,
	limitFactor: 1.5,
	limitSlack: 5,
	/** Time after a server has asked for none from which on more than `maximumRestArrivals` requests of a gateway break the bound. */
	restSlackMs: 500,
	maximumRestArrivals: 2,
} as const;
