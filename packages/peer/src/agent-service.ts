/**
The agent's side of the calls from entries: turns calls into events of the agent, and its actions into messages.
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
	formatMessage, formatState, formatStatus, parseAttempt, parsePermit,
} from './message-codec.js';
import {formatOrderOutcome, parseOrder} from './order-codec.js';

/** The agent that stands behind the service. */
export type AgentServiceHost = Readonly<{
	receive(event: AgentEvent): void;
	getStatus(): AgentStatus;
	applyOrder(order: Order): Promise<OrderOutcome>;
}>;

/** The actions that this service performs. */
export type StreamAction = Extract<AgentAction, {kind: 'sendMessage' | 'endStream' | 'replyState'}>;

export type AgentServiceAdapter = Readonly<{
	registerRoutes(router: ConnectRouter): void;
	perform(action: StreamAction): void;
}>;

/** Creates the adapter between an agent and its peers. */
export function createAgentService(host: AgentServiceHost): AgentServiceAdapter {
	const streams = new Map<StreamId, PassThrough>();
	const replies = new Map<string, (state: AttemptState) => void>();

	/** Opens a stream, lets the agent hear of it, and yields what the agent sends on it. */
	async function * runStream(context: HandlerContext, createEvent: (streamId: StreamId) => AgentEvent): AsyncGenerator<WireMessage> {
		const streamId = randomUUID();
		const messages = new PassThrough({objectMode: true});
		streams.set(streamId, messages);
		context.signal.addEventListener('abort', () => {
			messages.destroy();
		});
		try {
			host.receive(createEvent(streamId));
			for await (const message of messages as AsyncIterable<AttemptMessage>) {
				yield formatMessage(message);
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
					const attempt = parseAttempt(request);
					yield * runStream(context, streamId => ({kind: 'submitArrived', streamId, attempt}));
				},
				async * getAttempt(request, context) {
					const {attemptId, nextOffset} = request;
					const permit = parsePermit(request.permit);
					yield * runStream(context, streamId => ({
						kind: 'resumeArrived', streamId, attemptId, permit, nextOffset,
					}));
				},
				async voidAttempt({attemptId, permit: wirePermit}) {
					const permit = parsePermit(wirePermit);
					const replyId = randomUUID();
					const state = await new Promise<AttemptState>(resolve => {
						replies.set(replyId, resolve);
						host.receive({
							kind: 'voidArrived', replyId, attemptId, permit,
						});
					});
					return formatState(state);
				},
				cancelAttempt({attemptId}) {
					host.receive({kind: 'cancelArrived', attemptId});
					return {};
				},
				getStatus: () => formatStatus(host.getStatus()),
				async applyOrder(request) {
					return formatOrderOutcome(await host.applyOrder(parseOrder(request)));
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
					replies.get(action.replyId)?.(action.state);
					replies.delete(action.replyId);
				}
			}
		},
	};
}
