/**
Stand-in of a model server: the OpenAI form with server-sent events over the timing rules of the engine model.

Tests can make it die mid-stream, go silent or stall, and choose whether it checks fencing numbers on orders.
*/
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {sendJson, type HttpRequest} from '@currantcross/caller/http-server';
import {getAnswerTokens, getTokenCount} from './answer-text.js';
import {createEngineModel, type EngineModelSettings} from './engine-model.js';
import {startStandinServer} from './standin-server.js';

/** What the stand-in does to its streams; each field of a control request replaces the one here. */
export type ModelServerFaults = Readonly<{
	/** Cuts each stream after so many tokens; 0 cuts none. */
	diesAfterTokens: number;
	/** Keeps streams open and sends nothing more. */
	isSilent: boolean;
	/** Keeps memory of sequences that were cut or cancelled. */
	leaksMemory: boolean;
}>;

export type ModelServerSettings = Readonly<{
	host: string;
	port: number;
	model: EngineModelSettings;
	/** Factor on all times; 0.1 runs ten times as fast. */
	timeScale: number;
	/** How late the load report is. */
	reportLagMs: number;
	/** Whether orders with an old fencing number are refused. */
	checksFencing: boolean;
}>;

export type ModelServerStandin = Readonly<{
	port: number;
	setFaults(faults: Partial<ModelServerFaults>): void;
	getHeldTokens(): number;
	close(): Promise<void>;
}>;

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

type Report = Readonly<{takenAt: number; body: unknown}>;

/** An order to load a model or version, or to change role; it states the whole wanted state. */
type Order = Readonly<{model: string; version: string; role: string; fencingNumber?: number}>;

const maximumBodyBytes = 16_000_000;
const prefixCharacters = 2048;

/** Starts the stand-in. */
export async function startModelServerStandin(settings: ModelServerSettings): Promise<ModelServerStandin> {
	const engine = createEngineModel(settings.model);
	const streams = new Map<string, OpenStream>();
	const reports: Report[] = [];
	let faults: ModelServerFaults = {diesAfterTokens: 0, isSilent: false, leaksMemory: false};
	let stepTimer: NodeJS.Timeout | undefined;
	let requestCount = 0;
	let order: Order = {model: 'base', version: '1', role: 'serve'};

	function release(attemptId: string): void {
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
			release(attemptId);
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

	function runSteps(): void {
		const step = engine.runStep();
		if (step === undefined) {
			stepTimer = undefined;
			return;
		}

		stepTimer = setTimeout(() => {
			for (const {attemptId, tokenIndex, isLast} of step.generated) {
				sendToken(attemptId, tokenIndex, isLast);
			}

			runSteps();
		}, step.durationMs * settings.timeScale);
	}

	async function handleCompletion(request: HttpRequest, response: ServerResponse): Promise<void> {
		const body = parseTrustedJson<CompletionBody>(await request.readText());
		const prompt = body.messages.map(message => message.content).join('\n');
		const tokens = getAnswerTokens(prompt, body.max_tokens ?? 16);
		requestCount += 1;
		const attemptId = body.attempt_id ?? `direct-${requestCount}`;
		const prefix = prompt.slice(0, prefixCharacters);
		const isTaken = engine.submit({
			attemptId,
			promptTokens: getTokenCount(prompt),
			prefixKey: createHash('sha256').update(prefix).digest('hex'),
			prefixTokens: getTokenCount(prefix),
			resumedTokens: body.resume_tokens?.length ?? 0,
			answerTokens: tokens.length,
			priority: body.priority ?? 0,
		});
		if (!isTaken) {
			sendJson(response, 400, {error: {message: 'the prompt exceeds the memory'}});
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		streams.set(attemptId, {response, tokens});
		response.on('close', () => {
			release(attemptId);
		});
		if (stepTimer === undefined) {
			runSteps();
		}
	}

	async function handleRelease(request: HttpRequest, response: ServerResponse): Promise<void> {
		const {attemptId} = parseTrustedJson<Readonly<{attemptId: string}>>(await request.readText());
		streams.get(attemptId)?.response.destroy();
		streams.delete(attemptId);
		engine.release(attemptId);
		sendJson(response, 200, {});
	}

	/** Takes a report now and answers with the newest that is old enough to be known. */
	function handleLoad(_request: HttpRequest, response: ServerResponse): void {
		const now = Date.now();
		reports.push({
			takenAt: now, body: {
				totalMemoryTokens: settings.model.memoryTokens,
				prefillTokensPerSecond: engine.getPrefillTokensPerSecond() / settings.timeScale,
				held: engine.getHeld(),
			},
		});
		while ((reports[1]?.takenAt ?? Number.POSITIVE_INFINITY) <= now - settings.reportLagMs) {
			reports.shift();
		}

		sendJson(response, 200, reports[0]?.body);
	}

	async function handleOrder(request: HttpRequest, response: ServerResponse): Promise<void> {
		const next = parseTrustedJson<Order>(await request.readText());
		if (settings.checksFencing && (next.fencingNumber ?? 0) < (order.fencingNumber ?? 0)) {
			sendJson(response, 409, order);
			return;
		}

		order = next;
		sendJson(response, 200, order);
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
					sendJson(response, 200, order);
				},
			},
			{
				method: 'GET',
				path: '/held',
				handler(_request, response) {
					sendJson(response, 200, engine.getHeld());
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
			for (const item of engine.getHeld()) {
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
