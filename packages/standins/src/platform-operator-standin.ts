/**
Stand-in for the users' operator: writes configurations in their published form.
*/

export type StandinRoute = Readonly<{
	/** Also the only part of the path's prefix. */
	name: string;
	kind: 'streaming' | 'idempotent' | 'nonIdempotent';
	service: string;
	timeoutMs: number;
	objectiveMs: number;
	maximumEndpoints: number;
	longestPauseMs: number;
}>;

export type StandinConfiguration = Readonly<{
	version: number;
	host: string;
	routes: readonly StandinRoute[];
	/** Name of the service with model servers, and how many tokens each of them holds. */
	models: Readonly<{service: string; memoryTokens: number}>;
	/** Name of the other service. */
	shop: string;
	organisation: string;
	keys: readonly string[];
}>;

/** Timing of model servers that read any prompt at once, as the stand-ins do. */
const engine = {
	slots: 11, stride: 34, step_ms: 0.1, per_seq_ms: 0, context_per_k: 0, read_per_s: 10_000_000, pairs_per_m: 0, chunk: 2048,
};

function formatRoute(route: StandinRoute, host: string): unknown {
	return {
		name: route.name,
		host,
		pathPrefix: `/${route.name}/`,
		kind: route.kind === 'nonIdempotent' ? 'non_idempotent' : route.kind,
		service: route.service,
		timeoutMs: route.timeoutMs,
		goalMs: route.objectiveMs,
		attempts: route.maximumEndpoints,
		resumable: route.kind === 'streaming',
		gapAimMs: route.longestPauseMs,
		priority: 1,
		public: false,
		sticky: false,
	};
}

/** Returns the object in which the store keeps a configuration. */
export function createOperatorConfiguration(configuration: StandinConfiguration): unknown {
	const {version, host, routes, models, shop, organisation, keys} = configuration;
	return {
		version,
		routes: routes.map(route => formatRoute(route, host)),
		services: [
			{
				name: models.service, healthPath: '/health', maxConns: 200, engine: {...engine, kvCapacity: models.memoryTokens},
			},
			{name: shop, healthPath: '/health', maxConns: 200},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: organisation, apiKeys: keys, priority: 1}],
	};
}
