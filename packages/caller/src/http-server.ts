/**
The little that the HTTP servers of the system share: a router, bodies with a limit, and JSON answers.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {listen} from '@currantcross/core/listen';
import createRouter from 'find-my-way';
import VError from 'verror';

export type HttpRequest = Readonly<{
	message: IncomingMessage;
	/** Path with its query. */
	url: URL;
	parameters: Readonly<Record<string, string | undefined>>;
	/** Reads the whole body; throws a `VError` named `PayloadTooLarge` past the server's limit. */
	readText(): Promise<string>;
}>;

export type HttpHandler = (request: HttpRequest, response: ServerResponse) => Promise<void> | void;

/** Methods that a route may stand for; `ALL` stands for each of them. */
export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE' | 'ALL';

export type HttpRoute = Readonly<{method: HttpMethod; path: string; handler: HttpHandler}>;

export type HttpServerSettings = Readonly<{
	host: string;
	/** 0 takes any free port. */
	port: number;
	maximumBodyBytes: number;
	routes: readonly HttpRoute[];
	/** Answers a request that matches no route. */
	handleUnknownRoute: HttpHandler;
	/** Answers a request whose handler threw before its answer began. */
	handleError(error: unknown, response: ServerResponse): void;
}>;

export type HttpServer = Readonly<{
	/** Port on which the server listens. */
	port: number;
	/** Stops listening and waits for open requests; idle connections are closed. */
	close(): Promise<void>;
}>;

/** How many times over the limit a body is still read to its end. */
const cutOffFactor = 4;

const allMethods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'] as const;

/**
Reads a body to its end, also one that is too large: leaving the rest unread would spoil the connection for the next
request. A body many times over the limit is cut off.
*/
async function readBody(message: IncomingMessage, maximumBytes: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size <= maximumBytes) {
			chunks.push(chunk);
		} else if (size > maximumBytes * cutOffFactor) {
			break;
		}
	}

	if (size > maximumBytes) {
		throw new VError({name: 'PayloadTooLarge'}, 'the body is larger than %d bytes', maximumBytes);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(`${JSON.stringify(body)}\n`);
}

/** Returns a header's only value. */
export function tryGetHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Starts a server and waits until it listens. */
export async function startHttpServer(settings: HttpServerSettings): Promise<HttpServer> {
	const router = createRouter({
		defaultRoute(message, response) {
			handle(settings.handleUnknownRoute, message, response, {});
		},
		maxParamLength: 1024,
	});

	function handle(handler: HttpHandler, message: IncomingMessage, response: ServerResponse, parameters: HttpRequest['parameters']): void {
		const request: HttpRequest = {
			message,
			url: new URL(message.url ?? '/', 'http://localhost'),
			parameters,
			readText: async () => readBody(message, settings.maximumBodyBytes),
		};
		void handleSafely(handler, request, response);
	}

	async function handleSafely(handler: HttpHandler, request: HttpRequest, response: ServerResponse): Promise<void> {
		try {
			await handler(request, response);
		} catch (error) {
			if (response.headersSent) {
				response.destroy();
				return;
			}

			settings.handleError(error, response);
		}
	}

	for (const {method, path, handler} of settings.routes) {
		const methods = method === 'ALL' ? [...allMethods] : [method];
		router.on(methods, path, (message, response, parameters) => {
			handle(handler, message, response, parameters);
		});
	}

	const server = http.createServer((message, response) => {
		router.lookup(message, response);
	});
	server.keepAliveTimeout = 5000;
	const port = await listen(server, {host: settings.host, port: settings.port});
	return {
		port,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}
