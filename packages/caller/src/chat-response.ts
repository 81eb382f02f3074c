/**
Writes a chat completion in the OpenAI form, streamed as server-sent events or whole.

A stream that breaks off has the failure as its last event and no end marker, so that a cut answer never looks whole.
*/
import type {ServerResponse} from 'node:http';
import type {CompletionSummary} from '@currantcross/core/entry-types';
import {getErrorBody, type Failure} from '@currantcross/core/errors';
import type {RequestId} from '@currantcross/core/types';
import type {ChatRequest} from './chat-request.js';
import {requestIdHeader, sendFailure} from './failure-response.js';
import {sendJson} from './http-server.js';
import type {RequestListener} from './request-listener.js';

const millisecondsPerSecond = 1000;

/** Bytes that may wait for a slow caller before its request is cancelled. */
const maximumBufferedBytes = 4_000_000;

export type ChatResponseHost = Readonly<{
	response: ServerResponse;
	requestId: RequestId;
	request: ChatRequest;
	/** Cancels the request of a caller that does not read its answer. */
	cancel(): void;
}>;

function getUsage(request: ChatRequest, tokenCount: number) {
	const {promptTokens} = request.work;
	return {prompt_tokens: promptTokens, completion_tokens: tokenCount, total_tokens: promptTokens + tokenCount};
}

function getCreatedSeconds(): number {
	return Math.floor(Date.now() / millisecondsPerSecond);
}

/** What the system adds to the usual form: who answered, after how many tries. */
function getExtension({server, tries}: CompletionSummary) {
	return {server, tries};
}

/** Creates the listener that streams an answer. */
export function createStreamedResponse({response, requestId, request, cancel}: ChatResponseHost): RequestListener {
	const created = getCreatedSeconds();
	let hasBegun = false;

	function sendEvent(data: unknown): void {
		response.write(`data: ${JSON.stringify(data)}\n\n`);
		if (response.writableLength > maximumBufferedBytes) {
			cancel();
			response.destroy();
		}
	}

	function sendChunk(choices: readonly unknown[], rest: Readonly<Record<string, unknown>> = {}): void {
		sendEvent({
			id: requestId, object: 'chat.completion.chunk', created, model: request.route, choices, ...rest,
		});
	}

	function sendHead(): void {
		if (hasBegun) {
			return;
		}

		hasBegun = true;
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'cache-control': 'no-cache', [requestIdHeader]: requestId,
		});
		sendChunk([{index: 0, delta: {role: 'assistant', content: ''}, finish_reason: null}]);
	}

	return {
		receiveTokens(tokens) {
			sendHead();
			sendChunk([{index: 0, delta: {content: tokens.join('')}, finish_reason: null}]);
		},
		complete(summary) {
			sendHead();
			sendChunk([{index: 0, delta: {}, finish_reason: summary.finishReason}], {currantcross: getExtension(summary)});
			if (request.includesUsage) {
				sendChunk([], {usage: getUsage(request, summary.tokenCount)});
			}

			response.end('data: [DONE]\n\n');
		},
		answer() {
			response.destroy();
		},
		fail(failure: Failure) {
			if (!hasBegun) {
				sendFailure(response, failure, requestId);
				return;
			}

			response.end(`data: ${JSON.stringify(getErrorBody(failure, requestId))}\n\n`);
		},
	};
}

/** Creates the listener that answers once the answer is whole. */
export function createWholeResponse({response, requestId, request}: ChatResponseHost): RequestListener {
	const received: string[] = [];
	return {
		receiveTokens(tokens) {
			received.push(...tokens);
		},
		complete(summary) {
			const message = {role: 'assistant', content: received.join('')};
			sendJson(response, 200, {
				id: requestId,
				object: 'chat.completion',
				created: getCreatedSeconds(),
				model: request.route,
				choices: [{index: 0, message, finish_reason: summary.finishReason}],
				usage: getUsage(request, summary.tokenCount),
				currantcross: getExtension(summary),
			}, {[requestIdHeader]: requestId});
		},
		answer() {
			response.destroy();
		},
		fail(failure) {
			sendFailure(response, failure, requestId);
		},
	};
}
