/**
Stand-in for a model server: an OpenAI-compatible API with server-sent events, timed by the engine model.

Tests can inject faults, such as streams that break off or stall, and choose whether orders are checked for their fencing
numbers.
*/
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {sendJson, type HttpRequest} from '@currantcross/caller/http-server';
import {getAnswerTokens, getTokenCount} from './answer-text.js';
import {createEngineModel, type EngineModelSettings} from './engine-model.js';
import {startStandinServer} from './standin-server.js';

/** Faults injected into streams; each field of a control request replaces the current value. */
export type ModelServerFaults = Readonly<{
	/** Closes the connection of each stream after this many tokens; 0 disables the fault. */
	diesAfterTokens: number;
	/** Keeps streams open but sends no further tokens. */
	isSilent: boolean;
	/** Keeps the memory of sequences whose connection closes, until it is released explicitly. */
	leaksMemory: boolean;
}>;

export type ModelServerSettings = Readonly<{
	host: string;
	port: number;
	model: EngineModelSettings;
	/** Factor applied to all durations; 0.1 runs ten times as fast. */
	timeScale: number;
	/** Minimum age of a load report before it is served. */
	reportLagMs: number;
	/** Whether orders with a lower fencing number than the last one are refused. */
	checksFencing: boolean;
}>;

export type ModelServerStandin = Readonly<{
	port: number;
	setFaults(faults: Partial<ModelServerFaults>): void;
	/** Returns the total memory that sequences hold, in tokens. */
	getHeldTokens(): number;
	close(): Promise<void>;
}>;

/** Body of a chat completion request, with the extensions that agents send. */
type CompletionBody = Readonly<{
	messages: ReadonlyArray<Readonly<{role: string; content: string}>>;
	max_tokens?: number;
	priority?: number;
	attempt_id?: string;
	resume_tokens?: readonly string[];
}>;

type OpenStream = Readonly<{
	response: ServerResponse;
	tokens: readonly string[];
}>;

type LoadReport = Readonly<{takenAt: number; body: unknown}>;

/** Order to load a model or version, or to change the role; it contains the complete desired state. */
type Order = Readonly<{model: string; version: string; role: string; fencingNumber?: number}>;

const maximumBodyBytes = 16_000_000;
/** Length of the part of a prompt that the prefix cache covers. */
const prefixCharacters = 2048;

/** Starts the stand-in. */
export async function startModelServerStandin(settings: ModelServerSettings): Promise<ModelServerStandin> {
	const engine = createEngineModel(settings.model);
	const streams = new Map<string, OpenStream>();
	const reports: LoadReport[] = [];
	let faults: ModelServerFaults = {diesAfterTokens: 0, isSilent: false, leaksMemory: false};
	let stepTimer: NodeJS.Timeout | undefined;
	let requestCount = 0;
	let currentOrder: Order = {model: 'base', version: '1', role: 'serve'};

	function releaseSequence(attemptId: string): void {
		streams.delete(attemptId);
		if (!faults.leaksMemory) {
			engine.release(attemptId);
		}
	}

	function sendToken(attemptId: string, tokenIndex: number, isLast: boolean): void {
		const stream = streams.get(attemptId);
		if (stream === undefined || faults.isSilent) {
			return;
		}

		if (faults.diesAfterTokens > 0 && tokenIndex >= faults.diesAfterTokens) {
			stream.response.destroy();
			releaseSequence(attemptId);
			return;
		}

		sendChunk(stream.response, stream.tokens[tokenIndex] ?? '', isLast ? 'stop' : undefined);
		if (isLast) {
			stream.response.end('data: [DONE]\n\n');
			streams.delete(attemptId);
		}
	}

	function sendChunk(response: ServerResponse, content: string, finishReason: string | undefined): void {
		const chunk = {object: 'chat.completion.chunk', choices: [{index: 0, delta: {content}, finish_reason: finishReason}]};
		response.write(`data: ${JSON.stringify(chunk)}\n\n`);
	}

	function scheduleNextStep(): void {
		const step = engine.runStep();
		if (step === undefined) {
			stepTimer = undefined;
			return;
		}

		stepTimer = setTimeout(() => {
			for (const {attemptId, tokenIndex, isLast} of step.generated) {
				sendToken(attemptId, tokenIndex, isLast);
			}

			scheduleNextStep();
		}, step.durationMs * settings.timeScale);
	}

	async function handleCompletion(request: HttpRequest, response: ServerResponse): Promise<void> {
		const body = parseTrustedJson<CompletionBody>(await request.readText());
		const prompt = body.messages.map(message => message.content).join('\n');
		const tokens = getAnswerTokens(prompt, body.max_tokens ?? 16);
		requestCount += 1;
		const attemptId = body.attempt_id ?? `direct-${requestCount}`;
		const prefix = prompt.slice(0, prefixCharacters);
		const isAccepted = engine.submit({
			attemptId,
			promptTokens: getTokenCount(prompt),
			prefixKey: createHash('sha256').update(prefix).digest('hex'),
			prefixTokens: getTokenCount(prefix),
			resumedTokens: body.resume_tokens?.length ?? 0,
			answerTokens: tokens.length,
			priority: body.priority ?? 0,
		});
		if (!isAccepted) {
			sendJson(response, 400, {error: {message: 'the prompt exceeds the memory'}});
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		streams.set(attemptId, {response, tokens});
		response.on('close', () => {
			releaseSequence(attemptId);
		});
		if (stepTimer === undefined) {
			scheduleNextStep();
		}
	}

	async function handleRelease(request: HttpRequest, response: ServerResponse): Promise<void> {
		const {attemptId} = parseTrustedJson<Readonly<{attemptId: string}>>(await request.readText());
		streams.get(attemptId)?.response.destroy();
		streams.delete(attemptId);
		engine.release(attemptId);
		sendJson(response, 200, {});
	}

	/** Records a load report and responds with the newest one that is at least `reportLagMs` old, or else the oldest. */
	function handleLoad(_request: HttpRequest, response: ServerResponse): void {
		const now = Date.now();
		reports.push({
			takenAt: now, body: {
				totalMemoryTokens: settings.model.memoryTokens,
				prefillTokensPerSecond: engine.getPrefillTokensPerSecond() / settings.timeScale,
				held: engine.getHeldMemory(),
			},
		});
		while ((reports[1]?.takenAt ?? Number.POSITIVE_INFINITY) <= now - settings.reportLagMs) {
			reports.shift();
		}

		sendJson(response, 200, reports[0]?.body);
	}

	async function handleOrder(request: HttpRequest, response: ServerResponse): Promise<void> {
		const newOrder = parseTrustedJson<Order>(await request.readText());
		if (settings.checksFencing && (newOrder.fencingNumber ?? 0) < (currentOrder.fencingNumber ?? 0)) {
			sendJson(response, 409, currentOrder);
			return;
		}

		currentOrder = newOrder;
		sendJson(response, 200, currentOrder);
	}

	const server = await startStandinServer({
		host: settings.host,
		port: settings.port,
		maximumBodyBytes,
		routes: [
			{method: 'POST', path: '/v1/chat/completions', handler: handleCompletion},
			{method: 'POST', path: '/v1/cancel', handler: handleRelease},
			{method: 'POST', path: '/v1/memory/release', handler: handleRelease},
			{method: 'GET', path: '/v1/load', handler: handleLoad},
			{method: 'POST', path: '/v1/orders', handler: handleOrder},
			{
				method: 'GET', path: '/v1/orders', handler(_request, response) {
					sendJson(response, 200, currentOrder);
				},
			},
			{
				method: 'GET',
				path: '/held',
				handler(_request, response) {
					sendJson(response, 200, engine.getHeldMemory());
				},
			},
			{
				method: 'POST', path: '/control', async handler(request, response) {
					const change = parseTrustedJson<Partial<ModelServerFaults>>(await request.readText());
					faults = {...faults, ...change};
					sendJson(response, 200, faults);
				},
			},
		],
	});

	return {
		port: server.port,
		setFaults(change) {
			faults = {...faults, ...change};
		},
		getHeldTokens() {
			let tokens = 0;
			for (const item of engine.getHeldMemory()) {
				tokens += item.tokens;
			}

			return tokens;
		},
		async close() {
			clearTimeout(stepTimer);
			for (const {response} of streams.values()) {
				response.destroy();
			}

			await server.close();
		},
	};
}
