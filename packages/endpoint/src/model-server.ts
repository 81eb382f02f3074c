/**
Client of a model server that implements the OpenAI API with some engine-specific extensions.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {toError} from '@currantcross/core/error-text';
import type {EngineReport} from '@currantcross/core/agent-types';
import type {DesiredState} from '@currantcross/core/order-fencing';
import type {
	Attempt, AttemptId, Milliseconds, PromptWork,
} from '@currantcross/core/types';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import VError from 'verror';
import {z} from 'zod';
import {createResponseDispatcher} from './response-dispatcher.js';

/** Output that an engine streams while it runs a prompt. */
export type EngineOutput
	= | Readonly<{kind: 'tokens'; tokens: readonly string[]}>
		| Readonly<{kind: 'completed'; finishReason: string}>;

export type PromptCall = Readonly<{
	attempt: Attempt;
	work: PromptWork;
	/** Lower values are scheduled first. */
	priority: number;
	signal: AbortSignal;
}>;

export type ModelServerClient = Readonly<{
	/** Yields the engine's output; throws a `VError` named `EngineError` if the engine fails or its stream ends early. */
	runPrompt(call: PromptCall): AsyncIterable<EngineOutput>;
	cancel(attemptId: AttemptId): Promise<void>;
	/** Releases the memory that the engine holds for an attempt. Idempotent. */
	releaseMemory(attemptId: AttemptId): Promise<void>;
	getReport(): Promise<EngineReport>;
	/** Orders the engine to change to the desired state; returns false if it rejected the fencing number. */
	sendOrder(wanted: DesiredState, fencingNumber: number): Promise<boolean>;
}>;

const chunkSchema = z.object({
	choices: z.array(z.object({
		delta: z.object({content: z.string().nullish()}),
		finish_reason: z.string().nullish(),
	})),
});

const reportSchema = z.object({
	totalMemoryTokens: z.number(),
	prefillTokensPerSecond: z.number(),
	held: z.array(z.object({attemptId: z.string(), tokens: z.number()})),
});

const endOfStreamMarker = '[DONE]';
const okStatus = 200;
const conflictStatus = 409;

/** Time without data after which an engine's response is aborted. */
const engineIdleTimeoutMs = 60_000;
/** Length from which on an event of a stream is refused. */
const maximumEventCharacters = 262_144;
/** Length of what is shown of an engine's error. */
const maximumErrorCharacters = 200;
/** Maximum length of any response but a stream; a report of all attempts that hold memory is far shorter. */
const maximumControlBytes = 1_048_576;

function parseChunk(data: string): readonly EngineOutput[] {
	const {choices} = chunkSchema.parse(JSON.parse(data));
	return choices.flatMap(({delta, finish_reason: finishReason}): EngineOutput[] => {
		const tokens: EngineOutput[] = delta.content ? [{kind: 'tokens', tokens: [delta.content]}] : [];
		return finishReason ? [...tokens, {kind: 'completed', finishReason}] : tokens;
	});
}

function getRequestBody({attempt, work, priority}: PromptCall): string {
	const body = parseTrustedJson<Readonly<Record<string, unknown>>>(work.body);
	return JSON.stringify({
		...body,
		model: work.model,
		stream: true,
		max_tokens: work.maximumTokens,
		priority,
		attempt_id: attempt.attemptId,
		resume_tokens: attempt.deliveredTokens,
	});
}

/** Yields the data field of each server-sent event. Throws if an event is too long. */
async function * readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const events: string[] = [];
	let isEventTooLong = false;
	const parser = createParser({
		maxBufferSize: maximumEventCharacters,
		onEvent(event) {
			events.push(event.data);
		},
		onError({type}) {
			isEventTooLong ||= type === 'max-buffer-size-exceeded';
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk, {stream: true}));
		yield * events.splice(0);
		if (isEventTooLong) {
			throw new VError({name: 'EngineError'}, 'the engine sent an event of more than %d characters', maximumEventCharacters);
		}
	}
}

/** Reads the beginning of a body and closes the connection of a longer one. */
async function readBeginning(body: AsyncIterable<Uint8Array>): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		if (text.length >= maximumErrorCharacters) {
			break;
		}
	}

	return text.slice(0, maximumErrorCharacters);
}

/** Creates the client of the model server at a URL. `timeoutMs` applies to all calls except prompts. */
export function createModelServerClient(url: string, timeoutMs: Milliseconds): ModelServerClient {
	const dispatcher = createResponseDispatcher({connections: 256, headersTimeout: engineIdleTimeoutMs, bodyTimeout: engineIdleTimeoutMs});
	const controlDispatcher = createResponseDispatcher({maxResponseSize: maximumControlBytes});

	async function sendPost(path: string, body: unknown): Promise<number> {
		const response = await request(new URL(path, url), {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: controlDispatcher,
			signal: AbortSignal.timeout(timeoutMs),
		});
		await response.body.dump();
		return response.statusCode;
	}

	async function openStream(call: PromptCall) {
		const response = await request(new URL('/v1/chat/completions', url), {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: getRequestBody(call),
			dispatcher,
			signal: call.signal,
		});
		if (response.statusCode !== 200) {
			throw new VError({name: 'EngineError'}, 'the engine answered %d: %s', response.statusCode, await readBeginning(response.body));
		}

		return response.body;
	}

	async function * readOutput(call: PromptCall): AsyncGenerator<EngineOutput> {
		for await (const data of readEvents(await openStream(call))) {
			if (data === endOfStreamMarker) {
				return;
			}

			yield * parseChunk(data);
		}

		throw new VError({name: 'EngineError'}, 'the engine closed its stream before the end marker');
	}

	return {
		async * runPrompt(call) {
			try {
				yield * readOutput(call);
			} catch (error) {
				if (error instanceof VError) {
					throw error;
				}

				throw new VError({name: 'EngineError', cause: toError(error)}, 'the call to the engine failed');
			}
		},
		async cancel(attemptId) {
			await sendPost('/v1/cancel', {attemptId});
		},
		async releaseMemory(attemptId) {
			await sendPost('/v1/memory/release', {attemptId});
		},
		async sendOrder(wanted, fencingNumber) {
			const status = await sendPost('/v1/orders', {...wanted, fencingNumber});
			if (status !== okStatus && status !== conflictStatus) {
				throw new VError({name: 'EngineError'}, 'the engine answered an order with %d', status);
			}

			return status === okStatus;
		},
		async getReport() {
			const response = await request(new URL('/v1/load', url), {dispatcher: controlDispatcher, signal: AbortSignal.timeout(timeoutMs)});
			return reportSchema.parse(await response.body.json());
		},
	};
}
