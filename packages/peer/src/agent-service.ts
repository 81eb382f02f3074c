/**
RPC service of an agent: translates calls from entries into agent events, and agent actions into responses.
*/
import {randomUUID} from 'node:crypto';
import {PassThrough} from 'node:stream';
import type {ConnectRouter, HandlerContext} from '@connectrpc/connect';
import type {AgentAction, AgentEvent} from '@currantcross/core/agent-types';
import type {StreamId} from '@currantcross/core/entry-types';
import type {Order, OrderOutcome} from '@currantcross/core/order-fencing';
import type {AgentStatus, AttemptMessage, AttemptState} from '@currantcross/core/types';
import {AgentService, type AttemptMessage as WireMessage} from './gen/currantcross/v1/peer_pb.js';
import {
	toWireMessage, toWireAttemptState, toWireStatusResponse, fromWireAttempt, fromWirePermit,
} from './message-codec.js';
import {toWireOrderOutcome, fromWireOrder} from './order-codec.js';

/** The operations of an agent that the service needs. */
export type AgentServiceHost = Readonly<{
	receive(event: AgentEvent): void;
	getStatus(): AgentStatus;
	applyOrder(order: Order): Promise<OrderOutcome>;
}>;

/** Agent actions that the service performs. */
export type AgentServiceAction = Extract<AgentAction, {kind: 'sendMessage' | 'endStream' | 'replyState'}>;

export type AgentServiceAdapter = Readonly<{
	registerRoutes(router: ConnectRouter): void;
	/** Performs an action. An action for a closed stream has no effect. */
	perform(action: AgentServiceAction): void;
}>;

/** Creates the adapter between an agent and the RPC server. */
export function createAgentService(host: AgentServiceHost): AgentServiceAdapter {
	const streams = new Map<StreamId, PassThrough>();
	const pendingReplies = new Map<string, (state: AttemptState) => void>();

	/** Opens a stream, passes its event to the agent, and yields the messages that the agent sends on the stream. */
	async function * streamAttempt(context: HandlerContext, createEvent: (streamId: StreamId) => AgentEvent): AsyncGenerator<WireMessage> {
		const streamId = randomUUID();
		const messages = new PassThrough({objectMode: true});
		streams.set(streamId, messages);
		context.signal.addEventListener('abort', () => {
			messages.destroy();
		});
		try {
			host.receive(createEvent(streamId));
			for await (const message of messages as AsyncIterable<AttemptMessage>) {
				yield toWireMessage(message);
			}
		} catch (error) {
			if (!context.signal.aborted) {
				throw error;
			}
		} finally {
			streams.delete(streamId);
			host.receive({kind: 'streamClosed', streamId});
		}
	}

	return {
		registerRoutes(router) {
			router.service(AgentService, {
				async * submitAttempt(request, context) {
					const attempt = fromWireAttempt(request);
					yield * streamAttempt(context, streamId => ({kind: 'submitArrived', streamId, attempt}));
				},
				async * getAttempt(request, context) {
					const {attemptId, nextOffset} = request;
					const permit = fromWirePermit(request.permit);
					yield * streamAttempt(context, streamId => ({
						kind: 'resumeArrived', streamId, attemptId, permit, nextOffset,
					}));
				},
				async voidAttempt({attemptId, permit: wirePermit}) {
					const permit = fromWirePermit(wirePermit);
					const replyId = randomUUID();
					const state = await new Promise<AttemptState>(resolve => {
						pendingReplies.set(replyId, resolve);
						host.receive({
							kind: 'voidArrived', replyId, attemptId, permit,
						});
					});
					return toWireAttemptState(state);
				},
				cancelAttempt({attemptId}) {
					host.receive({kind: 'cancelArrived', attemptId});
					return {};
				},
				getStatus: () => toWireStatusResponse(host.getStatus()),
				async applyOrder(request) {
					return toWireOrderOutcome(await host.applyOrder(fromWireOrder(request)));
				},
			});
		},
		perform(action) {
			switch (action.kind) {
				case 'sendMessage': {
					streams.get(action.streamId)?.write(action.message);
					return;
				}

				case 'endStream': {
					streams.get(action.streamId)?.end();
					return;
				}

				case 'replyState': {
					pendingReplies.get(action.replyId)?.(action.state);
					pendingReplies.delete(action.replyId);
				}
			}
		},
	};
}
