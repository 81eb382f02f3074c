/**
The entry's side of the calls to agents.
*/
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import type {Order, OrderOutcome} from '@currantcross/core/order-fencing';
import type {StreamMode} from '@currantcross/core/entry-types';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, AttemptState, Milliseconds, Permit,
} from '@currantcross/core/types';
import type {Connections} from './connections.js';
import {AgentService} from './gen/currantcross/v1/peer_pb.js';
import {
	formatAttempt, parseMessage, parseState, parseStatus,
} from './message-codec.js';
import {formatOrder, parseOrderOutcome} from './order-codec.js';

/** A stream of one attempt that is to be opened. */
export type StreamRequest = Readonly<{
	agentUrl: string;
	attempt: Attempt;
	mode: StreamMode;
	needsFreshConnection: boolean;
	signal: AbortSignal;
}>;

export type AgentClient = Readonly<{
	/** Yields the messages of a stream until it ends; throws when it breaks. */
	openStream(request: StreamRequest): AsyncIterable<AttemptMessage>;
	cancelAttempt(agentUrl: string, attemptId: AttemptId): Promise<void>;
	voidAttempt(agentUrl: string, attemptId: AttemptId, permit: Permit): Promise<AttemptState>;
	getStatus(agentUrl: string): Promise<AgentStatus>;
	/** Sends an order; throws when the agent does not answer. */
	applyOrder(agentUrl: string, order: Order): Promise<OrderOutcome>;
}>;

/** Loading a model takes its time. */
const orderTimeoutMs = 30_000;

function getErrorCode(error: unknown): string | undefined {
	if (typeof error !== 'object' || error === null) {
		return undefined;
	}

	if ('code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return 'cause' in error ? getErrorCode(error.cause) : undefined;
}

/** Returns whether the error proves that nothing reached the agent: the connection was refused or the key was. */
export function isNeverSent(error: unknown): boolean {
	if (error instanceof ConnectError && error.code === Code.Unauthenticated) {
		return true;
	}

	return getErrorCode(error) === 'ECONNREFUSED';
}

/** Creates a client whose unary calls time out after `timeoutMs`. */
export function createAgentClient(connections: Connections, timeoutMs: Milliseconds): AgentClient {
	function getClient(agentUrl: string, needsFreshConnection = false) {
		return createClient(AgentService, connections.getTransport(agentUrl, needsFreshConnection));
	}

	function openWireStream(request: StreamRequest) {
		const {attempt, mode, signal} = request;
		const client = getClient(request.agentUrl, request.needsFreshConnection);
		switch (mode.kind) {
			case 'submit': {
				return client.submitAttempt(formatAttempt(attempt), {signal});
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
				yield parseMessage(message);
			}
		},
		async cancelAttempt(agentUrl, attemptId) {
			await getClient(agentUrl).cancelAttempt({attemptId}, {timeoutMs});
		},
		async voidAttempt(agentUrl, attemptId, permit) {
			return parseState(await getClient(agentUrl).voidAttempt({attemptId, permit}, {timeoutMs}));
		},
		async applyOrder(agentUrl, order) {
			return parseOrderOutcome(await getClient(agentUrl).applyOrder(formatOrder(order), {timeoutMs: orderTimeoutMs}));
		},
		async getStatus(agentUrl) {
			try {
				const response = await getClient(agentUrl).getStatus({}, {timeoutMs});
				return parseStatus(response.status);
			} catch (error) {
				// The connection may be the silent part; the next call gets a new one.
				connections.getTransport(agentUrl, true);
				throw error;
			}
		},
	};
}
