/**
Stand-in for the platform's operator: creates configurations in the platform's published format.
*/

/** Fields of a route that tests vary. */
export type StandinRoute = Readonly<{
	/** Also the only segment of the path prefix. */
	name: string;
	kind: 'streaming' | 'idempotent' | 'nonIdempotent';
	service: string;
	timeoutMs: number;
	/** Latency objective; `goalMs` in the configuration. */
	objectiveMs: number;
	/** Maximum number of endpoints that a request is sent to; `attempts` in the configuration. */
	maximumEndpoints: number;
	/** Objective for the pause between two events of a stream; `gapAimMs` in the configuration. */
	longestPauseMs: number;
}>;

/** Configuration with one model service, one business service and one organisation. */
export type StandinConfiguration = Readonly<{
	version: number;
	host: string;
	routes: readonly StandinRoute[];
	/** Service of the model servers, and the memory of each of them. */
	modelService: Readonly<{name: string; memoryTokens: number}>;
	/** Service of the business servers. */
	businessServiceName: string;
	organisation: string;
	keys: readonly string[];
}>;

/** Timing of a model server whose prefill takes almost no time, like that of the stand-ins. */
const engineTiming = {
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

/** Returns the object that the metadata store holds for a configuration. */
export function createOperatorConfiguration(configuration: StandinConfiguration): unknown {
	const {version, host, routes, modelService, businessServiceName, organisation, keys} = configuration;
	return {
		version,
		routes: routes.map(route => formatRoute(route, host)),
		services: [
			{
				name: modelService.name, healthPath: '/health', maxConns: 200, engine: {...engineTiming, kvCapacity: modelService.memoryTokens},
			},
			{name: businessServiceName, healthPath: '/health', maxConns: 200},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: organisation, apiKeys: keys, priority: 1}],
	};
}
