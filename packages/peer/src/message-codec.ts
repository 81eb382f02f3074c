/**
Converts attempts, their messages and agent status between the core types and the generated protobuf messages.
*/
import {create} from '@bufbuild/protobuf';
import type {
	AgentStatus, Attempt, AttemptMessage, AttemptResult, AttemptState, Load, Permit, Ran, RefusalReason, ServingState, Work,
} from '@currantcross/core/types';
import VError from 'verror';
import * as wire from './gen/currantcross/v1/peer_pb.js';

const wireServingStates = {
	serving: wire.ServingState.SERVING,
	draining: wire.ServingState.DRAINING,
	gone: wire.ServingState.GONE,
} as const satisfies Readonly<Record<ServingState, wire.ServingState>>;

const wireRanValues = {
	no: wire.Ran.NO, yes: wire.Ran.YES, unknown: wire.Ran.UNKNOWN,
} as const satisfies Readonly<Record<Ran, wire.Ran>>;

const refusalReasons: ReadonlySet<string> = new Set<RefusalReason>([
	'draining', 'incarnationMismatch', 'permitExpired', 'voided', 'overloaded', 'memoryExhausted', 'deadlinePassed',
]);

function isRefusalReason(text: string): text is RefusalReason {
	return refusalReasons.has(text);
}

function createProtocolError(problem: string): Error {
	return new VError({name: 'ProtocolError'}, 'invalid message from a peer: %s', problem);
}

function toUint32(value: number): number {
	return Math.max(0, Math.min(0xFF_FF_FF_FF, Math.round(value)));
}

function toWireStatus(status: AgentStatus): wire.AgentStatus {
	const {load} = status;
	return create(wire.AgentStatusSchema, {
		server: status.server,
		state: wireServingStates[status.state],
		permit: status.permit,
		load: {
			queuedShortTokens: toUint32(load.queuedTokens.short),
			queuedMediumTokens: toUint32(load.queuedTokens.medium),
			queuedLongTokens: toUint32(load.queuedTokens.long),
			queuedRequests: toUint32(load.queuedRequests),
			activeRequests: toUint32(load.activeRequests),
			freeMemoryTokens: toUint32(load.freeMemoryTokens),
			prefillTokensPerSecond: toUint32(load.prefillTokensPerSecond),
		},
	});
}

function fromWireServingState(state: wire.ServingState): ServingState {
	switch (state) {
		case wire.ServingState.SERVING: {
			return 'serving';
		}

		case wire.ServingState.DRAINING: {
			return 'draining';
		}

		case wire.ServingState.GONE: {
			return 'gone';
		}

		case wire.ServingState.UNSPECIFIED: {
			throw createProtocolError('the serving state is unspecified');
		}
	}
}

function fromWireRan(ran: wire.Ran): Ran {
	switch (ran) {
		case wire.Ran.NO: {
			return 'no';
		}

		case wire.Ran.YES: {
			return 'yes';
		}

		// A peer that does not report whether the attempt ran leaves it unknown.
		case wire.Ran.UNSPECIFIED:
		case wire.Ran.UNKNOWN: {
			return 'unknown';
		}
	}
}

function fromWireLoad(load: wire.Load | undefined): Load {
	return {
		queuedTokens: {
			short: load?.queuedShortTokens ?? 0, medium: load?.queuedMediumTokens ?? 0, long: load?.queuedLongTokens ?? 0,
		},
		queuedRequests: load?.queuedRequests ?? 0,
		activeRequests: load?.activeRequests ?? 0,
		freeMemoryTokens: load?.freeMemoryTokens ?? 0,
		prefillTokensPerSecond: Math.max(1, load?.prefillTokensPerSecond ?? 1),
	};
}

/**
Converts the permit of a message.

@throws VError named `ProtocolError` when it is missing.
*/
export function fromWirePermit(permit: wire.Permit | undefined): Permit {
	if (permit === undefined) {
		throw createProtocolError('the permit is missing');
	}

	return {incarnation: permit.incarnation, stampedAt: permit.stampedAt};
}

/**
Converts the status of a message.

@throws VError named `ProtocolError` when it is missing or incomplete.
*/
export function fromWireStatus(status: wire.AgentStatus | undefined): AgentStatus {
	if (status === undefined) {
		throw createProtocolError('the status is missing');
	}

	return {
		server: status.server,
		state: fromWireServingState(status.state),
		permit: fromWirePermit(status.permit),
		load: fromWireLoad(status.load),
	};
}

/** Creates the response to a status request. */
export function toWireStatusResponse(status: AgentStatus): wire.GetStatusResponse {
	return create(wire.GetStatusResponseSchema, {status: toWireStatus(status)});
}

function toWireWork(work: Work): wire.SubmitAttemptRequest['work'] {
	switch (work.kind) {
		case 'prompt': {
			return {case: 'prompt', value: create(wire.PromptWorkSchema, work)};
		}

		case 'service': {
			const {contentType, idempotencyKey, ...rest} = work;
			return {
				case: 'service',
				value: create(wire.ServiceWorkSchema, {
					...rest,
					...(contentType === undefined ? {} : {contentType}),
					...(idempotencyKey === undefined ? {} : {idempotencyKey}),
				}),
			};
		}
	}
}

function fromWireWork(work: wire.SubmitAttemptRequest['work']): Work {
	switch (work.case) {
		case 'prompt': {
			const {
				model, promptTokens, maximumTokens, prefixKey, prefixTokens, body,
			} = work.value;
			return {
				kind: 'prompt', model, promptTokens, maximumTokens, prefixKey, prefixTokens, body,
			};
		}

		case 'service': {
			const {
				method, path, contentType, body, bodySha256, isIdempotent, idempotencyKey,
			} = work.value;
			return {
				kind: 'service', method, path, contentType, body, bodySha256, isIdempotent, idempotencyKey,
			};
		}

		case undefined: {
			throw createProtocolError('the attempt has no work');
		}
	}
}

/** Creates the request that submits an attempt. */
export function toWireAttempt(attempt: Attempt): wire.SubmitAttemptRequest {
	return create(wire.SubmitAttemptRequestSchema, {
		attemptId: attempt.attemptId,
		organisation: attempt.organisation,
		work: toWireWork(attempt.work),
		permit: attempt.permit,
		remainingMs: attempt.remainingMs,
		deliveredTokens: [...attempt.deliveredTokens],
	});
}

/**
Converts the attempt of a submit request.

@throws VError named `ProtocolError` when its work or permit is missing.
*/
export function fromWireAttempt(request: wire.SubmitAttemptRequest): Attempt {
	return {
		attemptId: request.attemptId,
		organisation: request.organisation,
		work: fromWireWork(request.work),
		permit: fromWirePermit(request.permit),
		remainingMs: request.remainingMs,
		deliveredTokens: request.deliveredTokens,
	};
}

function toWireResult(result: AttemptResult): wire.AttemptResult {
	return create(wire.AttemptResultSchema, {result: toWireResultCase(result)});
}

function toWireResultCase(result: AttemptResult): wire.AttemptResult['result'] {
	switch (result.kind) {
		case 'completed': {
			const {tokenCount, finishReason} = result;
			return {case: 'completed', value: create(wire.CompletedSchema, {tokenCount, finishReason})};
		}

		case 'answered': {
			return {case: 'answered', value: create(wire.ServiceAnswerSchema, result.answer)};
		}

		case 'refused': {
			const {reason, retryAfterMs} = result;
			return {case: 'refused', value: create(wire.RefusedSchema, {reason, retryAfterMs})};
		}

		case 'failed': {
			return {case: 'failed', value: create(wire.FailedSchema, {ran: wireRanValues[result.ran], detail: result.detail})};
		}

		case 'cancelled': {
			return {case: 'cancelled', value: create(wire.CancelledSchema, {ran: wireRanValues[result.ran]})};
		}
	}
}

function fromWireResult(wireResult: wire.AttemptResult | undefined): AttemptResult {
	const result = wireResult?.result;
	switch (result?.case) {
		case 'completed': {
			return {kind: 'completed', tokenCount: result.value.tokenCount, finishReason: result.value.finishReason};
		}

		case 'answered': {
			const {status, contentType, body} = result.value;
			return {kind: 'answered', answer: {status, contentType, body}};
		}

		case 'refused': {
			const {reason, retryAfterMs} = result.value;
			if (!isRefusalReason(reason)) {
				throw createProtocolError(`the refusal reason "${reason}" is unknown`);
			}

			return {kind: 'refused', reason, retryAfterMs};
		}

		case 'failed': {
			return {kind: 'failed', ran: fromWireRan(result.value.ran), detail: result.value.detail};
		}

		case 'cancelled': {
			return {kind: 'cancelled', ran: fromWireRan(result.value.ran)};
		}

		case undefined: {
			throw createProtocolError('the attempt result is missing');
		}
	}
}

/** Converts one message of an attempt's stream to its wire form. */
export function toWireMessage(message: AttemptMessage): wire.AttemptMessage {
	return create(wire.AttemptMessageSchema, {message: toWireMessageCase(message)});
}

function toWireMessageCase(message: AttemptMessage): wire.AttemptMessage['message'] {
	switch (message.kind) {
		case 'accepted': {
			return {case: 'accepted', value: toWireStatus(message.status)};
		}

		case 'tokens': {
			return {case: 'tokens', value: create(wire.TokensSchema, {offset: message.offset, tokens: [...message.tokens]})};
		}

		case 'heartbeat': {
			return {case: 'heartbeat', value: toWireStatus(message.status)};
		}

		case 'ended': {
			return {
				case: 'ended',
				value: create(wire.EndedSchema, {result: toWireResult(message.result), status: toWireStatus(message.status)}),
			};
		}
	}
}

/**
Converts one message of an attempt's stream from its wire form.

@throws VError named `ProtocolError` when a required field is missing or a value is unknown.
*/
export function fromWireMessage({message}: wire.AttemptMessage): AttemptMessage {
	switch (message.case) {
		case 'accepted': {
			return {kind: 'accepted', status: fromWireStatus(message.value)};
		}

		case 'tokens': {
			return {kind: 'tokens', offset: message.value.offset, tokens: message.value.tokens};
		}

		case 'heartbeat': {
			return {kind: 'heartbeat', status: fromWireStatus(message.value)};
		}

		case 'ended': {
			return {kind: 'ended', result: fromWireResult(message.value.result), status: fromWireStatus(message.value.status)};
		}

		case undefined: {
			throw createProtocolError('the message is empty');
		}
	}
}

/** Converts the state of an attempt at an agent to its wire form. */
export function toWireAttemptState(state: AttemptState): wire.VoidAttemptResponse {
	switch (state.kind) {
		case 'unknown': {
			return create(wire.VoidAttemptResponseSchema, {state: wire.VoidAttemptResponse_State.UNKNOWN});
		}

		case 'running': {
			return create(wire.VoidAttemptResponseSchema, {state: wire.VoidAttemptResponse_State.RUNNING, nextOffset: state.nextOffset});
		}

		case 'ended': {
			return create(wire.VoidAttemptResponseSchema, {state: wire.VoidAttemptResponse_State.ENDED, result: toWireResult(state.result)});
		}

		case 'voided': {
			return create(wire.VoidAttemptResponseSchema, {state: wire.VoidAttemptResponse_State.VOIDED});
		}
	}
}

/**
Converts the state of an attempt from its wire form. An unspecified state is treated as unknown.

@throws VError named `ProtocolError` when an ended attempt has no valid result.
*/
export function fromWireAttemptState(response: wire.VoidAttemptResponse): AttemptState {
	switch (response.state) {
		case wire.VoidAttemptResponse_State.RUNNING: {
			return {kind: 'running', nextOffset: response.nextOffset};
		}

		case wire.VoidAttemptResponse_State.ENDED: {
			return {kind: 'ended', result: fromWireResult(response.result)};
		}

		case wire.VoidAttemptResponse_State.VOIDED: {
			return {kind: 'voided'};
		}

		case wire.VoidAttemptResponse_State.UNKNOWN:
		case wire.VoidAttemptResponse_State.UNSPECIFIED: {
			return {kind: 'unknown'};
		}
	}
}
