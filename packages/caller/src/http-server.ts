/**
Minimal HTTP server with a router, size-limited request bodies, and JSON responses.

With bounds it answers the load of callers that nobody controls: bodies, heads and unread responses give way, those that have held most for
longest first, before they exceed the memory and the descriptors of the process.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {createCallerMemory, getRequestBytes, type CallerMemory} from '@currantcross/core/gateway/caller-memory';
import {listen} from '@currantcross/core/listen';
import {startLoopMonitor, waitForRecentReads} from '@currantcross/core/loop-monitor';
import type {Milliseconds} from '@currantcross/core/types';
import createRouter from 'find-my-way';
import VError from 'verror';
import {createAcceptProber} from './accept-prober.js';
import {createBodyReader, type BodyReader} from './body-reader.js';
import {createCallerConnections, type CallerBound, type GiveWay} from './caller-connections.js';
import {discardTimeoutMs, drainUnreadBody} from './unread-body.js';

export type HttpRequest = Readonly<{
	message: IncomingMessage;
	/** Request URL; only its path and query are meaningful. */
	url: URL;
	/** Path parameters of the matched route. */
	parameters: Readonly<Record<string, string | undefined>>;
	/**
	Reads the whole body.

	@throws VError named `PayloadTooLarge` if it exceeds the server's limit, `CallersBounded` if it had to give way to other callers, `CallerGone`
	if the caller has left by what the loop has read, which includes a close right behind the body.
	*/
	readText(): Promise<string>;
	/** Returns the longest time for which the request can have waited since it arrived. */
	getAgeMs(): Milliseconds;
}>;

export type HttpHandler = (request: HttpRequest, response: ServerResponse) => Promise<void> | void;

/** Method of a route; `ALL` matches every method. */
export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE' | 'ALL';

export type HttpRoute = Readonly<{method: HttpMethod; path: string; handler: HttpHandler}>;

/** What callers may make a server hold. */
export type HttpServerBounds = Readonly<{
	/** Servers of one process share it. */
	memory: CallerMemory<GiveWay>;
	maximumConnections: number;
	/** Records that a request was refused, or a connection closed, because of a bound. */
	recordBound(bound: CallerBound): void;
	/** Records that a probe of how long connections wait to be accepted has failed, with the code of its error. */
	recordProbeFailure(code: string): void;
}>;

export type HttpServerSettings = Readonly<{
	host: string;
	/** 0 selects any free port. */
	port: number;
	maximumBodyBytes: number;
	/** Without bounds only the requests of one connection that wait are limited. */
	bounds?: HttpServerBounds;
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

/** Length of the longest head; a longer one is refused. */
const maximumHeadBytes = 16_384;
/** Interval at which responses that are not read are counted; in it no more arrives than servers send. */
const responseCheckIntervalMs = 250;
/** Memory that a byte of a body takes as text, which may need two bytes a character. */
const textFactor = 2;
const badRequestStatus = 400;
const expectationFailedStatus = 417;

/** Reads an oversized body on and discards it, since unread data would break the next request, to its end or the limit for that. */
async function drainOversizedBody(message: IncomingMessage, maximumBytes: number): Promise<void> {
	// Its last events are emitted before the size is known here if they come from one read.
	if (message.readableEnded || message.destroyed) {
		return;
	}

	let size = maximumBytes;
	await new Promise<void>(resolve => {
		// The body reader releases what it discards.
		message.prependListener('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maximumBytes * discardLimitFactor) {
				resolve();
			}
		});
		message.once('end', resolve);
		message.once('close', resolve);
	});
}

/** Lets the loop read once more, such as the close behind a request. */
async function readOnce(): Promise<void> {
	await new Promise<void>(resolve => {
		waitForRecentReads(resolve);
	});
}

function hasCallerLeft({socket}: IncomingMessage, response: ServerResponse): boolean {
	return response.destroyed || socket.destroyed || socket.readableEnded;
}

type ReadingContext = Readonly<{
	maximumBodyBytes: number;
	bodyReader: BodyReader;
	memory: CallerMemory<GiveWay>;
	recordBound(bound: CallerBound): void;
	setHeldBytes(holder: GiveWay, bytes: number): void;
}>;

/** Reads a request's body while what it holds can be given up, and counts it as kept from its end until the response is closed. */
async function readBody(message: IncomingMessage, response: ServerResponse, context: ReadingContext): Promise<string> {
	const {maximumBodyBytes, memory} = context;
	const requestBytes = getRequestBytes(message.rawHeaders);
	const unfinishedBytes = requestBytes + (message.headers['transfer-encoding'] === undefined ? 0 : maximumHeadBytes);
	let hasGivenWay = false;
	const reading = context.bodyReader.read(message, maximumBodyBytes, bytes => {
		context.setHeldBytes(giveWay, unfinishedBytes + (textFactor * bytes));
	});
	const giveWay: GiveWay = bound => {
		context.recordBound(bound);
		hasGivenWay = true;
		reading.discard();
		// Behind another response a refusal would wait, and hold the head.
		if (bound === 'connections' || (response.socket ?? undefined) === undefined) {
			message.socket.destroy();
		}
	};

	context.setHeldBytes(giveWay, unfinishedBytes);
	const result = await reading.result;
	memory.remove(giveWay);
	switch (result.kind) {
		case 'aborted': {
			throw new VError({name: hasGivenWay ? 'CallersBounded' : 'CallerGone'}, 'the body is not complete');
		}

		case 'tooLarge': {
			await drainOversizedBody(message, maximumBodyBytes);
			throw new VError({name: 'PayloadTooLarge'}, 'the body is larger than %d bytes', maximumBodyBytes);
		}

		case 'complete': {
			const keptBytes = requestBytes + (textFactor * result.body.length);
			memory.addKept(keptBytes);
			response.once('close', () => {
				memory.addKept(-keptBytes);
			});
			await readOnce();
			if (hasCallerLeft(message, response)) {
				throw new VError({name: 'CallerGone'}, 'the caller left after the body');
			}

			return Buffer.from(result.body.buffer, result.body.byteOffset, result.body.length).toString('utf8');
		}
	}
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
	const {memory, maximumConnections, recordBound, recordProbeFailure} = settings.bounds ?? {
		memory: createCallerMemory<GiveWay>(), maximumConnections: Number.POSITIVE_INFINITY, recordBound: () => undefined, recordProbeFailure: () => undefined,
	};
	const prober = createAcceptProber({recordFailure: recordProbeFailure});
	const loopMonitor = startLoopMonitor({
		onTick: () => undefined,
		onAcceptsBehind() {
			prober.probe({host: settings.host, port});
		},
	});
	const bodyReader = createBodyReader();
	const connections = createCallerConnections({
		maximumConnections, processorShare: 1, maximumHeadBytes, memory, recordBound, getUnreadMs: loopMonitor.getUnreadMs, getUnacceptedMs: loopMonitor.getUnacceptedMs,
	});
	/** Functions that break off responses which are not read. */
	const responseHolders = new Map<ServerResponse, GiveWay>();
	let isClosing = false;
	let closeTimer: NodeJS.Timeout | undefined;
	const router = createRouter({
		defaultRoute(message, response) {
			handleRequest(settings.handleUnknownRoute, message, response, {});
		},
		maxParamLength: 1024,
	});

	function handleRequest(handler: HttpHandler, message: IncomingMessage, response: ServerResponse, parameters: HttpRequest['parameters']): void {
		const readAt = performance.now();
		const {totalMs} = connections.getDelays(message.socket);
		const request: HttpRequest = {
			message,
			url: new URL(message.url ?? '/', 'http://localhost'),
			parameters,
			readText: async () => readBody(message, response, {
				maximumBodyBytes: settings.maximumBodyBytes, bodyReader, memory, recordBound, setHeldBytes,
			}),
			getAgeMs: () => totalMs + performance.now() - readAt,
		};
		void runHandler(handler, request, response);
	}

	/** Sets what a holder holds, and lets those give way that have to. */
	function setHeldBytes(holder: GiveWay, bytes: number): void {
		for (const giveWay of memory.setHeld(holder, bytes, performance.now())) {
			giveWay('memory');
		}
	}

	const responseTimer = setInterval(() => {
		for (const [response, giveWay] of responseHolders) {
			if (response.writableLength > response.writableHighWaterMark) {
				setHeldBytes(giveWay, textFactor * response.writableLength);
			} else {
				memory.remove(giveWay);
			}
		}
	}, responseCheckIntervalMs);

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
		const {socket} = message;
		const breakConnection: GiveWay = bound => {
			recordBound(bound);
			socket.destroy();
		};

		responseHolders.set(response, breakConnection);
		response.once('close', () => {
			responseHolders.delete(response);
			memory.remove(breakConnection);
			connections.removeRequest(socket);
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

	/** Handles the head of a request. With a status that request is refused which HTTP itself does not allow. */
	function handleHead(message: IncomingMessage, response: ServerResponse, status?: number): void {
		if (!connections.tryAddRequest(message)) {
			return;
		}

		addRequest(message, response);
		drainUnreadBody(message, response);
		if (status === undefined) {
			router.lookup(message, response);
			return;
		}

		message.resume();
		response.writeHead(status, {connection: 'close'});
		response.end();
	}

	// What the HTTP server would answer itself, requests without a host and with other expectations, counts among a connection's requests.
	const server = http.createServer({maxHeaderSize: maximumHeadBytes, requireHostHeader: false}, (message, response) => {
		handleHead(message, response, message.headers.host === undefined && message.httpVersion === '1.1' ? badRequestStatus : undefined);
	});
	server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
		handleHead(message, response, expectationFailedStatus);
	});
	server.on('clientError', connections.handleClientError);
	server.on('connection', socket => {
		loopMonitor.recordAccept();
		const probedAt = prober.tryTakeProbe(socket);
		if (probedAt === undefined) {
			connections.add(socket);
		} else {
			loopMonitor.recordAcceptedUntil(probedAt);
		}
	});
	server.keepAliveTimeout = 5000;
	const port = await listen(server, {host: settings.host, port: settings.port});
	return {
		port,
		async close() {
			isClosing = true;
			loopMonitor.close();
			prober.close();
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
			clearInterval(responseTimer);
			connections.close();
		},
	};
}
