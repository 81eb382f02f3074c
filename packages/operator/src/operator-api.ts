/**
HTTP API for operators, with its own port and key. Its responses never contain secrets.
*/
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {sendFailure, getHandlerFailure} from '@currantcross/caller/failure-response';
import {getSha256} from '@currantcross/caller/hasher';
import {
	sendJson, startHttpServer, tryGetHeader, type HttpHandler, type HttpRequest, type HttpServer, type HttpServerBounds,
} from '@currantcross/caller/http-server';
import {createNotRunFailure, type ErrorKind} from '@currantcross/core/errors';
import {parseTicket} from '@currantcross/core/ticket';
import type {ApplyTicketResult, OperatorHost} from './operator-types.js';

export type OperatorApiSettings = Readonly<{
	host: string;
	/** 0 selects any free port. */
	port: number;
	operatorKey: string;
	bounds: HttpServerBounds;
}>;

const maximumBodyBytes = 1_000_000;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Starts the API server and waits until it listens. */
export async function startOperatorApi(settings: OperatorApiSettings, host: OperatorHost): Promise<HttpServer> {
	// Digests have equal lengths, as `timingSafeEqual` requires.
	const expectedKeyDigest = Buffer.from(getSha256(`Bearer ${settings.operatorKey}`));

	function isAuthorised({message}: HttpRequest): boolean {
		return timingSafeEqual(Buffer.from(getSha256(tryGetHeader(message, 'authorization') ?? '')), expectedKeyDigest);
	}

	function sendRefusal(response: ServerResponse, kind: ErrorKind, detail?: string): void {
		sendFailure(response, createNotRunFailure(kind, detail), host.createRequestId());
	}

	/** Wraps a handler so that it only runs for requests with the operator key. */
	function createAuthorisedHandler(handler: HttpHandler): HttpHandler {
		return async (request, response) => {
			if (!isAuthorised(request)) {
				sendRefusal(response, 'unauthorised');
				return;
			}

			await handler(request, response);
		};
	}

	function sendApplyResult(response: ServerResponse, result: ApplyTicketResult): void {
		if (result.kind === 'unsettled') {
			const ran = result.mayTakeEffect ? 'unknown' : 'no';
			sendFailure(response, {kind: 'platformUnavailable', ran, detail: 'apply the same ticket again'}, host.createRequestId());
			return;
		}

		if (result.effect.kind === 'refused') {
			sendRefusal(response, 'ticketOutdated', `ticket ${result.effect.newerNumber} touched ${result.effect.objectName}`);
			return;
		}

		sendJson(response, 200, result);
	}

	async function handleApplyTicket({url, readText}: HttpRequest, response: ServerResponse): Promise<void> {
		const parsed = parseTicket(parseJson(await readText()));
		if (parsed.kind === 'invalid') {
			const [problem] = parsed.problems;
			sendRefusal(response, 'ticketInvalid', `${problem?.path ?? ''}: ${problem?.message ?? ''}`);
			return;
		}

		sendApplyResult(response, await host.applyTicket(parsed.ticket, url.searchParams.get('wait') === 'true'));
	}

	function handleShowTicket({parameters}: HttpRequest, response: ServerResponse): void {
		const objects = host.getTicketObjects(Number(parameters.number));
		if (objects.length === 0) {
			sendRefusal(response, 'ticketNotFound', 'it was never accepted, or newer tickets replaced all that it touched');
			return;
		}

		sendJson(response, 200, {objects});
	}

	return startHttpServer({
		host: settings.host,
		port: settings.port,
		maximumBodyBytes,
		bounds: settings.bounds,
		routes: [
			{method: 'POST', path: '/operator/v1/tickets', handler: createAuthorisedHandler(handleApplyTicket)},
			{method: 'GET', path: '/operator/v1/tickets/:number', handler: createAuthorisedHandler(handleShowTicket)},
			{
				method: 'GET', path: '/operator/v1/routes', handler: createAuthorisedHandler((_request, response) => {
					sendJson(response, 200, {routes: host.getRoutes()});
				}),
			},
			{
				method: 'GET', path: '/operator/v1/servers', handler: createAuthorisedHandler((_request, response) => {
					sendJson(response, 200, {servers: host.getServers()});
				}),
			},
			{
				method: 'GET', path: '/operator/v1/burn', handler: createAuthorisedHandler(async (_request, response) => {
					sendJson(response, 200, await host.getBurnReport());
				}),
			},
		],
		handleUnknownRoute({url}, response) {
			sendRefusal(response, 'routeNotFound', url.pathname);
		},
		handleError(error, response) {
			sendFailure(response, getHandlerFailure(error), host.createRequestId());
		},
	});
}
