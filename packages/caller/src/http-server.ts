/**
Minimal HTTP server with a router, size-limited request bodies, and JSON responses.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {listen} from '@currantcross/core/listen';
import createRouter from 'find-my-way';
import VError from 'verror';
import {discardTimeoutMs, drainUnreadBody} from './unread-body.js';

export type HttpRequest = Readonly<{
	message: IncomingMessage;
	/** Request URL; only its path and query are meaningful. */
	url: URL;
	/** Path parameters of the matched route. */
	parameters: Readonly<Record<string, string | undefined>>;
	/** Reads the whole body; throws a `VError` named `PayloadTooLarge` if it exceeds the server's limit. */
	readText(): Promise<string>;
}>;

export type HttpHandler = (request: HttpRequest, response: ServerResponse) => Promise<void> | void;

/** Method of a route; `ALL` matches every method. */
export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE' | 'ALL';

export type HttpRoute = Readonly<{method: HttpMethod; path: string; handler: HttpHandler}>;

export type HttpServerSettings = Readonly<{
	host: string;
	/** 0 selects any free port. */
	port: number;
	maximumBodyBytes: number;
	routes: readonly HttpRoute[];
	/** Handles a request that matches no route. */
	handleUnknownRoute: HttpHandler;
	/** Sends the response after a handler threw, if the handler had not sent any headers. */
	handleError(error: unknown, response: ServerResponse): void;
}>;

export type HttpServer = Readonly<{
	/** Port that the server listens on. */
	port: number;
	/** Stops listening, closes idle connections, and waits for open requests. A request whose body doesn't arrive soon is cut off. */
	close(): Promise<void>;
}>;

/** Multiple of the size limit up to which an oversized body is read and discarded instead of cut off. */
const discardLimitFactor = 4;

const allMethods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'] as const;

/**
Reads a request body. An oversized body is read to its end and discarded, because unread data would break the next request
on the connection. Reading stops at `discardLimitFactor` times the limit.

@throws VError named `PayloadTooLarge` if the body exceeds the limit.
*/
async function readBody(message: IncomingMessage, maximumBytes: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size <= maximumBytes) {
			chunks.push(chunk);
		} else if (size > maximumBytes * discardLimitFactor) {
			break;
		}
	}

	if (size > maximumBytes) {
		throw new VError({name: 'PayloadTooLarge'}, 'the body is larger than %d bytes', maximumBytes);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Sends a complete JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(`${JSON.stringify(body)}\n`);
}

/** Returns the value of a request header, or the first of several. `name` must be in lower case. */
export function tryGetHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Starts a server and waits until it listens. */
export async function startHttpServer(settings: HttpServerSettings): Promise<HttpServer> {
	const openRequests = new Set<IncomingMessage>();
	let isClosing = false;
	let closeTimer: NodeJS.Timeout | undefined;
	const router = createRouter({
		defaultRoute(message, response) {
			handleRequest(settings.handleUnknownRoute, message, response, {});
		},
		maxParamLength: 1024,
	});

	function handleRequest(handler: HttpHandler, message: IncomingMessage, response: ServerResponse, parameters: HttpRequest['parameters']): void {
		const request: HttpRequest = {
			message,
			url: new URL(message.url ?? '/', 'http://localhost'),
			parameters,
			readText: async () => readBody(message, settings.maximumBodyBytes),
		};
		void runHandler(handler, request, response);
	}

	/** Runs a handler. If it fails after the headers were sent, destroys the response instead of ending it. */
	async function runHandler(handler: HttpHandler, request: HttpRequest, response: ServerResponse): Promise<void> {
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
			handleRequest(handler, message, response, parameters);
		});
	}

	/** Adds an open request, so that `close` can wait for the last one. */
	function addRequest(message: IncomingMessage, response: ServerResponse): void {
		openRequests.add(message);
		clearTimeout(closeTimer);
		response.once('close', () => {
			openRequests.delete(message);
			closeUnusedConnections();
		});
	}

	/** While the server closes, closes all connections if no request has been open for a while. */
	function closeUnusedConnections(): void {
		clearTimeout(closeTimer);
		if (isClosing && openRequests.size === 0) {
			closeTimer = setTimeout(() => {
				server.closeAllConnections();
			}, discardTimeoutMs);
		}
	}

	function cancelUnfinishedBodies(): void {
		for (const message of openRequests) {
			if (!message.complete) {
				message.socket.destroy();
			}
		}
	}

	const server = http.createServer((message, response) => {
		addRequest(message, response);
		drainUnreadBody(message, response);
		router.lookup(message, response);
	});
	server.keepAliveTimeout = 5000;
	const port = await listen(server, {host: settings.host, port: settings.port});
	return {
		port,
		async close() {
			isClosing = true;
			const bodyTimer = setTimeout(cancelUnfinishedBodies, discardTimeoutMs);
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
				closeUnusedConnections();
			});
			clearTimeout(bodyTimer);
			clearTimeout(closeTimer);
		},
	};
}
