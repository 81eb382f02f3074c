/**
Writes chat completions in the format of the OpenAI API, either streamed as server-sent events or as one JSON response.

A stream that fails ends with the failure as its last event and without the `[DONE]` marker, so that clients can't mistake
a truncated completion for a complete one.
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

/** Maximum number of bytes buffered for a slow caller; beyond it, the request is cancelled. */
const maximumBufferedBytes = 4_000_000;

export type ChatResponseContext = Readonly<{
	response: ServerResponse;
	requestId: RequestId;
	request: ChatRequest;
	/** Cancels the request; called when the caller reads its response too slowly. */
	cancel(): void;
}>;

function getUsage(request: ChatRequest, tokenCount: number) {
	const {promptTokens} = request.work;
	return {prompt_tokens: promptTokens, completion_tokens: tokenCount, total_tokens: promptTokens + tokenCount};
}

function getCreatedSeconds(): number {
	return Math.floor(Date.now() / millisecondsPerSecond);
}

/** Returns the fields that extend the OpenAI format: the server that completed the request, and the number of tries. */
function getExtensionFields({server, tries}: CompletionSummary) {
	return {server, tries};
}

/** Creates the listener that streams a completion as server-sent events. */
export function createStreamingListener({response, requestId, request, cancel}: ChatResponseContext): RequestListener {
	const created = getCreatedSeconds();
	let hasSentHead = false;

	function sendEvent(data: unknown): void {
		response.write(`data: ${JSON.stringify(data)}\n\n`);
		if (response.writableLength > maximumBufferedBytes) {
			cancel();
			response.destroy();
		}
	}

	function sendChunk(choices: readonly unknown[], extraFields: Readonly<Record<string, unknown>> = {}): void {
		sendEvent({
			id: requestId, object: 'chat.completion.chunk', created, model: request.route, choices, ...extraFields,
		});
	}

	/** Sends the headers and the first chunk, unless they were sent before. */
	function sendHead(): void {
		if (hasSentHead) {
			return;
		}

		hasSentHead = true;
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
			sendChunk([{index: 0, delta: {}, finish_reason: summary.finishReason}], {currantcross: getExtensionFields(summary)});
			if (request.includesUsage) {
				sendChunk([], {usage: getUsage(request, summary.tokenCount)});
			}

			response.end('data: [DONE]\n\n');
		},
		answer() {
			response.destroy();
		},
		fail(failure: Failure) {
			if (!hasSentHead) {
				sendFailure(response, failure, requestId);
				return;
			}

			response.end(`data: ${JSON.stringify(getErrorBody(failure, requestId))}\n\n`);
		},
	};
}

/** Creates the listener that buffers a completion and sends it as one JSON response. */
export function createBufferingListener({response, requestId, request}: ChatResponseContext): RequestListener {
	const receivedTokens: string[] = [];
	return {
		receiveTokens(tokens) {
			receivedTokens.push(...tokens);
		},
		complete(summary) {
			const message = {role: 'assistant', content: receivedTokens.join('')};
			sendJson(response, 200, {
				id: requestId,
				object: 'chat.completion',
				created: getCreatedSeconds(),
				model: request.route,
				choices: [{index: 0, message, finish_reason: summary.finishReason}],
				usage: getUsage(request, summary.tokenCount),
				currantcross: getExtensionFields(summary),
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
