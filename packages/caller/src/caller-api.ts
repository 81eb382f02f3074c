/**
HTTP API for callers: chat completions, calls to business services, the model list, and health checks.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceWork} from '@currantcross/core/types';
import {createNotRunFailure} from '@currantcross/core/errors';
import VError from 'verror';
import {parseChatRequest} from './chat-request.js';
import {createStreamingListener, createBufferingListener} from './chat-response.js';
import {getHandlerFailure, requestIdHeader, sendFailure} from './failure-response.js';
import {getSha256} from './hasher.js';
import {
	sendJson, startHttpServer, tryGetHeader, type HttpRequest, type HttpServer, type HttpServerBounds,
} from './http-server.js';
import type {CallerHost, RequestListener} from './request-listener.js';

export type CallerApiSettings = Readonly<{
	host: string;
	/** 0 selects any free port. */
	port: number;
	maximumBodyBytes: number;
	bounds: HttpServerBounds;
}>;

/** Request header with the caller's deadline, in milliseconds from arrival. */
const deadlineHeader = 'x-currantcross-deadline-ms';
const bearerPattern = /^Bearer (?<key>\S+)$/v;
const positiveIntegerPattern = /^[1-9]\d{0,9}$/v;

function getBearerKeySha256(message: IncomingMessage): string {
	const key = bearerPattern.exec(tryGetHeader(message, 'authorization') ?? '')?.groups?.key;
	return key === undefined ? '' : getSha256(key);
}

function tryGetDeadlineMs(message: IncomingMessage): number | undefined {
	const text = tryGetHeader(message, deadlineHeader);
	if (text === undefined) {
		return undefined;
	}

	if (!positiveIntegerPattern.test(text)) {
		throw new VError({name: 'MalformedRequest'}, '%s: must be a whole number of milliseconds', deadlineHeader);
	}

	return Number(text);
}

/** Calls `cancel` if the caller disconnects before its response is complete. */
function watchDisconnect(response: ServerResponse, cancel: () => void): void {
	response.on('close', () => {
		if (!response.writableFinished) {
			cancel();
		}
	});
}

/** Starts the API server and waits until it listens. */
export async function startCallerApi(settings: CallerApiSettings, host: CallerHost): Promise<HttpServer> {
	async function handleChat({message, readText, getAgeMs}: HttpRequest, response: ServerResponse): Promise<void> {
		const requestId = host.createRequestId();
		const request = parseChatRequest(await readText(), host.getLongHash);
		const cancel = () => {
			host.cancel(requestId);
		};

		watchDisconnect(response, cancel);
		const responseContext = {
			response, requestId, request, cancel,
		};
		const listener = request.isStreamed ? createStreamingListener(responseContext) : createBufferingListener(responseContext);
		host.submit({
			requestId,
			keySha256: getBearerKeySha256(message),
			route: request.route,
			deadlineMs: tryGetDeadlineMs(message),
			ageMs: getAgeMs(),
			work: request.work,
		}, listener);
	}

	function createServiceListener(response: ServerResponse, requestId: string): RequestListener {
		return {
			receiveTokens() {
				// Business services do not stream; only `answer` carries their response.
			},
			complete() {
				response.destroy();
			},
			answer(answer, server, isReplay) {
				response.writeHead(answer.status, {
					'content-type': answer.contentType,
					[requestIdHeader]: requestId,
					'x-currantcross-server': server,
					'x-currantcross-ran': 'yes',
					...(isReplay ? {'idempotent-replayed': 'true'} : {}),
				});
				response.end(answer.body);
			},
			fail(failure) {
				sendFailure(response, failure, requestId);
			},
		};
	}

	async function readServiceWork(request: HttpRequest, route: string): Promise<ServiceWork> {
		const {message, url, readText} = request;
		const method = message.method ?? 'GET';
		const path = `${url.pathname.slice(`/v1/services/${route}`.length) || '/'}${url.search}`;
		const body = await readText();
		return {
			kind: 'service',
			method,
			path,
			contentType: tryGetHeader(message, 'content-type'),
			body,
			bodySha256: getSha256(`${method} ${path}\n${body}`),
			isIdempotent: host.findIdempotentMethods(route)?.includes(method) ?? false,
			idempotencyKey: tryGetHeader(message, 'idempotency-key'),
		};
	}

	async function handleService(request: HttpRequest, response: ServerResponse): Promise<void> {
		const requestId = host.createRequestId();
		const route = request.parameters.route ?? '';
		const work = await readServiceWork(request, route);
		watchDisconnect(response, () => {
			host.cancel(requestId);
		});
		host.submit({
			requestId, keySha256: getBearerKeySha256(request.message), route, deadlineMs: tryGetDeadlineMs(request.message), ageMs: request.getAgeMs(), work,
		}, createServiceListener(response, requestId));
	}

	function handleModels(_request: HttpRequest, response: ServerResponse): void {
		const data = host.getRouteNames().map(id => ({id, object: 'model', owned_by: 'currantcross'}));
		sendJson(response, 200, {object: 'list', data});
	}

	function handleReadiness(_request: HttpRequest, response: ServerResponse): void {
		const isReady = host.isReady() && !host.isDraining();
		sendJson(response, isReady ? 200 : 503, {ready: isReady, draining: host.isDraining()});
	}

	return startHttpServer({
		...settings,
		routes: [
			{method: 'POST', path: '/v1/chat/completions', handler: handleChat},
			{method: 'GET', path: '/v1/models', handler: handleModels},
			{method: 'ALL', path: '/v1/services/:route/*', handler: handleService},
			{
				method: 'GET', path: '/healthz', handler(_request, response) {
					sendJson(response, 200, {healthy: true});
				},
			},
			{method: 'GET', path: '/readyz', handler: handleReadiness},
		],
		handleUnknownRoute({url}, response) {
			sendFailure(response, createNotRunFailure('routeNotFound', url.pathname), host.createRequestId());
		},
		handleError(error, response) {
			sendFailure(response, getHandlerFailure(error), host.createRequestId());
		},
	});
}
