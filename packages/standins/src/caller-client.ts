/**
Minimal HTTP client for the demo and the process tests: streams chat completions and calls services.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {createParser} from 'eventsource-parser';
import type {ErrorBody} from '@currantcross/core/errors';
import {request, type Dispatcher} from 'undici';

/** Result of a chat completion as its caller sees it. */
export type ChatOutcome = Readonly<{
	status: number;
	text: string;
	/** Whether the end marker `[DONE]` was received. */
	isComplete: boolean;
	error: ErrorBody['error'] | undefined;
	server: string | undefined;
	tries: number | undefined;
	firstTokenMs: number | undefined;
	totalMs: number;
}>;

export type ChatCall = Readonly<{
	callerUrl: string;
	key: string;
	route: string;
	prompt: string;
	maximumTokens: number;
	deadlineMs?: number | undefined;
	onText?: ((text: string) => void) | undefined;
}>;

export type ServiceCall = Readonly<{
	callerUrl: string;
	key: string;
	route: string;
	method: Dispatcher.HttpMethod;
	path: string;
	body?: string | undefined;
	idempotencyKey?: string | undefined;
	deadlineMs?: number | undefined;
}>;

export type ServiceOutcome = Readonly<{
	status: number;
	body: string;
	error: ErrorBody['error'] | undefined;
	server: string | undefined;
	isReplay: boolean;
	totalMs: number;
}>;

type ChunkData = Partial<ErrorBody> & Readonly<{
	choices?: ReadonlyArray<Readonly<{delta: Readonly<{content?: string}>}>>;
	currantcross?: Readonly<{server: string; tries: number}>;
}>;

function getHeaders(key: string, deadlineMs: number | undefined): Record<string, string> {
	return {
		authorization: `Bearer ${key}`,
		'content-type': 'application/json',
		...(deadlineMs === undefined ? {} : {'x-currantcross-deadline-ms': String(deadlineMs)}),
	};
}

function parseError(text: string): ErrorBody['error'] | undefined {
	try {
		const body = parseTrustedJson<Partial<ErrorBody>>(text);
		return body.error;
	} catch {
		return undefined;
	}
}

/** Streams one chat completion to its end; rejects only if no response head was received. */
export async function streamChat(call: ChatCall): Promise<ChatOutcome> {
	const startedAt = performance.now();
	const response = await request(`${call.callerUrl}/v1/chat/completions`, {
		method: 'POST',
		headers: getHeaders(call.key, call.deadlineMs),
		body: JSON.stringify({
			model: call.route, messages: [{role: 'user', content: call.prompt}], max_tokens: call.maximumTokens, stream: true,
		}),
	});
	let text = '';
	let isComplete = false;
	let error: ErrorBody['error'] | undefined;
	let extension: ChunkData['currantcross'];
	let firstTokenMs: number | undefined;

	function handleEventData(data: string): void {
		if (data === '[DONE]') {
			isComplete = true;
			return;
		}

		const chunk = parseTrustedJson<ChunkData>(data);
		error ??= chunk.error;
		extension ??= chunk.currantcross;
		const content = chunk.choices?.[0]?.delta.content ?? '';
		if (content !== '') {
			firstTokenMs ??= performance.now() - startedAt;
			text += content;
			call.onText?.(content);
		}
	}

	const parser = createParser({
		onEvent(event) {
			handleEventData(event.data);
		},
	});
	if (response.statusCode === 200) {
		try {
			const decoder = new TextDecoder();
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				parser.feed(decoder.decode(chunk, {stream: true}));
			}
		} catch {
			// The connection broke; without the end marker, `isComplete` stays false.
		}
	} else {
		error = parseError(await response.body.text());
	}

	return {
		status: response.statusCode,
		text,
		isComplete,
		error,
		server: extension?.server,
		tries: extension?.tries,
		firstTokenMs,
		totalMs: performance.now() - startedAt,
	};
}

/** Sends one request to a service, without retries. */
export async function callService(call: ServiceCall): Promise<ServiceOutcome> {
	const startedAt = performance.now();
	const response = await request(`${call.callerUrl}/v1/services/${call.route}${call.path}`, {
		method: call.method,
		headers: {
			...getHeaders(call.key, call.deadlineMs),
			...(call.idempotencyKey === undefined ? {} : {'idempotency-key': call.idempotencyKey}),
		},
		...(call.body === undefined ? {} : {body: call.body}),
	});
	const body = await response.body.text();
	const server = response.headers['x-currantcross-server'];
	return {
		status: response.statusCode,
		body,
		error: parseError(body),
		server: typeof server === 'string' ? server : undefined,
		isReplay: response.headers['idempotent-replayed'] === 'true',
		totalMs: performance.now() - startedAt,
	};
}
