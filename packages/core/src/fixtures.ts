/**
Sample configurations, servers and requests for tests, benchmarks and embedders.
*/
import {createConfiguration, type Configuration} from './configuration.js';
import type {ArrivedRequest} from './entry-types.js';
import type {HostListing} from './membership.js';
import type {
	AgentStatus, Load, PromptWork, Server, ServiceWork, Ticket,
} from './types.js';

const idleLoad: Load = {
	queuedTokens: {short: 0, medium: 0, long: 0},
	queuedRequests: 0,
	activeRequests: 0,
	freeMemoryTokens: 400_000,
	prefillTokensPerSecond: 10_000,
};

/** Placeholder for the SHA-256 of the organisation's key. */
export const fixtureKeySha256 = 'a'.repeat(64);

/** A ticket with the prompt route `rules`, the service route `shop`, their pools and one organisation. */
export const fixtureTicket: Ticket = {
	number: 1,
	objects: [
		{kind: 'pool', name: 'models', state: {kind: 'model', engineMemoryTokens: 400_000}},
		{kind: 'pool', name: 'shops', state: {kind: 'business', engineMemoryTokens: 0}},
		{
			kind: 'route', name: 'rules', state: {
				kind: 'prompt',
				pool: 'models',
				model: 'base',
				defaultDeadlineMs: 10_000,
				maximumDeadlineMs: 60_000,
				maximumPromptTokens: 390_000,
				objective: {firstTokenMs: 390, share: 0.95},
			},
		},
		{
			kind: 'route', name: 'shop', state: {
				kind: 'service',
				pool: 'shops',
				defaultDeadlineMs: 5000,
				maximumDeadlineMs: 30_000,
				idempotentMethods: ['GET'],
				objective: {firstTokenMs: 390, share: 0.95},
			},
		},
		{
			kind: 'organisation', name: 'club', state: {
				keySha256: fixtureKeySha256, requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, concurrentRequests: 100_000,
			},
		},
	],
};

/** Creates a configuration to which the fixture ticket has been applied. */
export function createFixtureConfiguration(): Configuration {
	const configuration = createConfiguration();
	configuration.applyTicket(fixtureTicket, 1);
	return configuration;
}

/** Creates a server of a pool in data centre `a`. */
export function createFixtureServer(name: string, pool: 'models' | 'shops'): Server {
	return {
		name, pool, kind: pool === 'models' ? 'model' : 'business', dataCentre: 'a', agentUrl: `http://${name}`,
	};
}

/** Creates a host list with the given servers, none of them leaving. */
export function createFixtureListings(servers: readonly Server[]): readonly HostListing[] {
	return servers.map(server => ({server, isLeaving: false}));
}

/** Creates the status of an idle agent. */
export function createFixtureStatus(server: string, incarnation = 'i1', stampedAt = 0): AgentStatus {
	return {
		server, state: 'serving', permit: {incarnation, stampedAt}, load: idleLoad,
	};
}

/** Creates a prompt of the given length. */
export function createFixturePrompt(promptTokens: number): PromptWork {
	return {
		kind: 'prompt', model: 'base', promptTokens, maximumTokens: 100, prefixKey: 'p', prefixTokens: 100, body: '{}',
	};
}

/** Creates a service call: an idempotent GET if there is no idempotency key, and otherwise a non-idempotent POST. */
export function createFixtureCall(idempotencyKey: string | undefined, body = 'slot 1'): ServiceWork {
	return {
		kind: 'service',
		method: idempotencyKey === undefined ? 'GET' : 'POST',
		path: '/slots',
		contentType: undefined,
		body,
		bodySha256: `sha256 of ${body}`,
		isIdempotent: idempotencyKey === undefined,
		idempotencyKey,
	};
}

/** Creates a request of the fixture organisation. */
export function createFixtureRequest(requestId: string, work: PromptWork | ServiceWork, deadlineMs?: number): ArrivedRequest {
	return {
		requestId, keySha256: fixtureKeySha256, route: work.kind === 'prompt' ? 'rules' : 'shop', deadlineMs, ageMs: 0, work,
	};
}
