/**
What the soak deploys: routes, keys and bounds.
*/
import {createOperatorConfiguration} from '@currantcross/standins/platform-operator-standin';

/** Kinds of requests that callers send. */
export type CallKind = 'ask' | 'archive' | 'book' | 'look';

/** How long callers wait, in milliseconds. */
export const callDeadlineMs: Readonly<Record<CallKind, number>> = {
	ask: 4000, archive: 6000, book: 1200, look: 1200,
};

/** Events of a whole stream. */
export const eventCount = 6;
/** Key that is never taken away. */
export const steadyKey = 'key-steady';

export const soakBounds = {
	/** Time within which a key stops working, in milliseconds. */
	revocationMs: 3000,
	/** Time within which a server that leaves gets no more work. */
	drainMs: 2000,
	/** Time between SIGTERM and SIGKILL. */
	graceMs: 6000,
	retryRatio: 0.2,
	retrySlack: 60,
	retryWindowMs: 10_000,
} as const;

/** Value of the `Host` header of all routes. */
export const soakHost = 'soak.example';
const memoryTokens = 1_000_000;

/** Returns a configuration with these keys; its version also changes a time limit. */
export function createSoakConfiguration(version: number, keys: readonly string[]): unknown {
	const stream = {
		kind: 'streaming', service: 'models', maximumEndpoints: 3, objectiveMs: 300, longestPauseMs: 250,
	} as const;
	const business = {service: 'shop', objectiveMs: 300, longestPauseMs: 0} as const;
	return createOperatorConfiguration({
		version,
		host: soakHost,
		routes: [
			{...stream, name: 'ask', timeoutMs: callDeadlineMs.ask + (version % 3)},
			{
				...stream, name: 'archive', timeoutMs: callDeadlineMs.archive, objectiveMs: 3000, longestPauseMs: 1000,
			},
			{
				...business, name: 'book', kind: 'nonIdempotent', maximumEndpoints: 1, timeoutMs: callDeadlineMs.book,
			},
			{
				...business, name: 'look', kind: 'idempotent', maximumEndpoints: 2, timeoutMs: callDeadlineMs.look,
			},
		],
		models: {service: 'models', memoryTokens},
		shop: 'shop',
		organisation: 'club',
		keys,
	});
}
