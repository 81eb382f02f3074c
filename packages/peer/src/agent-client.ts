/**
RPC client with which an entry calls agents.
*/
import {createClient} from '@connectrpc/connect';
import type {Order, OrderOutcome} from '@currantcross/core/order-fencing';
import type {StreamMode} from '@currantcross/core/entry-types';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, AttemptState, Milliseconds, Permit,
} from '@currantcross/core/types';
import type {Connections} from './connections.js';
import {AgentService} from './gen/currantcross/v1/peer_pb.js';
import {
	toWireAttempt, fromWireMessage, fromWireAttemptState, fromWireStatus,
} from './message-codec.js';
import {toWireOrder, fromWireOrderOutcome} from './order-codec.js';
import {isKeyRefusal} from './shared-key.js';

/** Parameters of a stream to open for an attempt. */
export type StreamRequest = Readonly<{
	agentUrl: string;
	attempt: Attempt;
	mode: StreamMode;
	needsFreshConnection: boolean;
	signal: AbortSignal;
}>;

export type AgentClient = Readonly<{
	/** Opens a stream and yields its messages until it ends; throws when the connection breaks. */
	openStream(request: StreamRequest): AsyncIterable<AttemptMessage>;
	cancelAttempt(agentUrl: string, attemptId: AttemptId): Promise<void>;
	voidAttempt(agentUrl: string, attemptId: AttemptId, permit: Permit): Promise<AttemptState>;
	getStatus(agentUrl: string): Promise<AgentStatus>;
	/** Sends an order; throws when the agent does not respond. */
	applyOrder(agentUrl: string, order: Order): Promise<OrderOutcome>;
}>;

/** Timeout of an order, which may take long because the engine may have to load a model. */
const orderTimeoutMs = 30_000;

function tryGetErrorCode(error: unknown): string | undefined {
	if (typeof error !== 'object' || error === null) {
		return undefined;
	}

	if ('code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return 'cause' in error ? tryGetErrorCode(error.cause) : undefined;
}

/**
Returns whether the error proves that no call reached the agent, because either the connection or the shared key was
refused.
*/
export function isUnsentError(error: unknown): boolean {
	return isKeyRefusal(error) || tryGetErrorCode(error) === 'ECONNREFUSED';
}

/** Creates a client whose unary calls, other than orders, time out after `timeoutMs`. */
export function createAgentClient(connections: Connections, timeoutMs: Milliseconds): AgentClient {
	function getClient(agentUrl: string, needsFreshConnection = false) {
		return createClient(AgentService, connections.getTransport(agentUrl, needsFreshConnection));
	}

	function openWireStream(request: StreamRequest) {
		const {attempt, mode, signal} = request;
		const client = getClient(request.agentUrl, request.needsFreshConnection);
		switch (mode.kind) {
			case 'submit': {
				return client.submitAttempt(toWireAttempt(attempt), {signal});
			}

			case 'resume': {
				const {attemptId, permit} = attempt;
				return client.getAttempt({attemptId, permit, nextOffset: mode.nextOffset}, {signal});
			}
		}
	}

	return {
		async * openStream(request) {
			for await (const message of openWireStream(request)) {
				yield fromWireMessage(message);
			}
		},
		async cancelAttempt(agentUrl, attemptId) {
			await getClient(agentUrl).cancelAttempt({attemptId}, {timeoutMs});
		},
		async voidAttempt(agentUrl, attemptId, permit) {
			return fromWireAttemptState(await getClient(agentUrl).voidAttempt({attemptId, permit}, {timeoutMs}));
		},
		async applyOrder(agentUrl, order) {
			return fromWireOrderOutcome(await getClient(agentUrl).applyOrder(toWireOrder(order), {timeoutMs: orderTimeoutMs}));
		},
		async getStatus(agentUrl) {
			try {
				const response = await getClient(agentUrl).getStatus({}, {timeoutMs});
				return fromWireStatus(response.status);
			} catch (error) {
				// The connection itself may be dead without having reported an error, so the next call uses a new one.
				connections.getTransport(agentUrl, true);
				throw error;
			}
		},
	};
}
