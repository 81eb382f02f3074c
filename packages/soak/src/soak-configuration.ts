/**
What the soak deploys: routes, keys and servers in the platform's form.
*/

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

/** Timing of the stand-ins, which read any prompt at once. */
const engine = {
	slots: 11, kvCapacity: 1_000_000, stride: 34, step_ms: 0.1, per_seq_ms: 0, context_per_k: 0, read_per_s: 10_000_000, pairs_per_m: 0, chunk: 2048,
};

const common = {
	host: 'soak.example', priority: 1, public: false, sticky: false, goalMs: 300,
};

/** Returns a configuration with these keys; its version also changes a time limit. */
export function createSoakConfiguration(version: number, keys: readonly string[]): unknown {
	const stream = {
		...common, kind: 'streaming', attempts: 3, resumable: true, service: 'models',
	};
	return {
		version,
		routes: [
			{
				...stream, name: 'ask', pathPrefix: '/ask/', timeoutMs: callDeadlineMs.ask + (version % 3), gapAimMs: 250,
			},
			{
				...stream, name: 'archive', pathPrefix: '/archive/', timeoutMs: callDeadlineMs.archive, gapAimMs: 1000, goalMs: 3000,
			},
			{
				...common, name: 'book', pathPrefix: '/book/', kind: 'non_idempotent', attempts: 1, service: 'shop', timeoutMs: callDeadlineMs.book,
			},
			{
				...common, name: 'look', pathPrefix: '/look/', kind: 'idempotent', attempts: 2, service: 'shop', timeoutMs: callDeadlineMs.look,
			},
		],
		services: [
			{
				name: 'models', healthPath: '/health', maxConns: 200, engine,
			},
			{name: 'shop', healthPath: '/health', maxConns: 200},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'club', apiKeys: keys, priority: 1}],
	};
}
