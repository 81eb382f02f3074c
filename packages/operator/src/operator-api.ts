/**
The HTTP API towards operators, on a port and with a key of its own. It never answers with a secret.
*/
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {sendFailure, getHandlerFailure} from '@currantcross/caller/failure-response';
import {getSha256} from '@currantcross/caller/hasher';
import {
	sendJson, startHttpServer, tryGetHeader, type HttpHandler, type HttpRequest, type HttpServer,
} from '@currantcross/caller/http-server';
import {createNotRunFailure, type ErrorKind} from '@currantcross/core/errors';
import {parseTicket} from '@currantcross/core/ticket';
import type {ApplyAnswer, OperatorHost} from './operator-types.js';

export type OperatorApiSettings = Readonly<{
	host: string;
	/** 0 takes any free port. */
	port: number;
	operatorKey: string;
}>;

const maximumBodyBytes = 1_000_000;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Starts the API. */
export async function startOperatorApi(settings: OperatorApiSettings, host: OperatorHost): Promise<HttpServer> {
	const expectedKey = Buffer.from(getSha256(`Bearer ${settings.operatorKey}`));

	function isAuthorised({message}: HttpRequest): boolean {
		return timingSafeEqual(Buffer.from(getSha256(tryGetHeader(message, 'authorization') ?? '')), expectedKey);
	}

	function refuse(response: ServerResponse, kind: ErrorKind, detail?: string): void {
		sendFailure(response, createNotRunFailure(kind, detail), host.createRequestId());
	}

	function createProtected(handler: HttpHandler): HttpHandler {
		return async (request, response) => {
			if (!isAuthorised(request)) {
				refuse(response, 'unauthorised');
				return;
			}

			await handler(request, response);
		};
	}

	function answerApplied(response: ServerResponse, answer: ApplyAnswer): void {
		if (answer.kind === 'unsettled') {
			const ran = answer.mayTakeEffect ? 'unknown' : 'no';
			sendFailure(response, {kind: 'platformUnavailable', ran, detail: 'apply the same ticket again'}, host.createRequestId());
			return;
		}

		if (answer.effect.kind === 'refused') {
			refuse(response, 'ticketOutdated', `ticket ${answer.effect.newerNumber} touched ${answer.effect.objectName}`);
			return;
		}

		sendJson(response, 200, answer);
	}

	async function handleApply({url, readText}: HttpRequest, response: ServerResponse): Promise<void> {
		const parsed = parseTicket(parseJson(await readText()));
		if (parsed.kind === 'invalid') {
			const [problem] = parsed.problems;
			refuse(response, 'ticketInvalid', `${problem?.path ?? ''}: ${problem?.message ?? ''}`);
			return;
		}

		answerApplied(response, await host.applyTicket(parsed.ticket, url.searchParams.get('wait') === 'true'));
	}

	function handleShowTicket({parameters}: HttpRequest, response: ServerResponse): void {
		const objects = host.getTicketObjects(Number(parameters.number));
		if (objects.length === 0) {
			refuse(response, 'ticketNotFound', 'it was never accepted, or newer tickets replaced all that it touched');
			return;
		}

		sendJson(response, 200, {objects});
	}

	return startHttpServer({
		host: settings.host,
		port: settings.port,
		maximumBodyBytes,
		routes: [
			{method: 'POST', path: '/operator/v1/tickets', handler: createProtected(handleApply)},
			{method: 'GET', path: '/operator/v1/tickets/:number', handler: createProtected(handleShowTicket)},
			{
				method: 'GET', path: '/operator/v1/routes', handler: createProtected((_request, response) => {
					sendJson(response, 200, {routes: host.getRoutes()});
				}),
			},
			{
				method: 'GET', path: '/operator/v1/servers', handler: createProtected((_request, response) => {
					sendJson(response, 200, {servers: host.getServers()});
				}),
			},
			{
				method: 'GET', path: '/operator/v1/burn', handler: createProtected(async (_request, response) => {
					sendJson(response, 200, await host.getBurnReport());
				}),
			},
		],
		handleUnknownRoute({url}, response) {
			refuse(response, 'routeNotFound', url.pathname);
		},
		handleError(error, response) {
			sendFailure(response, getHandlerFailure(error), host.createRequestId());
		},
	});
}
