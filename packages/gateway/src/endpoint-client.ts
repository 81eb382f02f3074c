/**
HTTP client for endpoints. Sends requests over persistent connections and passes the responses to listeners.
*/
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {getErrorText} from '@currantcross/core/error-text';
import type {RawHeaders} from '@currantcross/core/gateway/gateway-types';
import type {SendId} from '@currantcross/core/gateway/gateway-events';
import {createPieceInterceptor} from '@currantcross/endpoint/body-pieces';
import {createHeldConnections} from '@currantcross/endpoint/held-connections';
import {createLateConnector} from '@currantcross/endpoint/late-connector';
import {createLateWrites} from '@currantcross/endpoint/late-writes';
import {createResetDetector} from '@currantcross/endpoint/reset-detector';
import {createHeadInterceptor} from '@currantcross/endpoint/response-heads';
import {type Dispatcher, errors, Pool} from 'undici';
import VError from 'verror';
import {createConnectionUses, type ConnectionUse} from './connection-uses.js';
import type {ControlRequest} from './gateway-hosts.js';
import {createResponseGuard} from './response-guard.js';
import {createResponsePacer} from './response-pacer.js';

/** A send: one transmission of a caller's request to an endpoint. A request that is retried has several sends. */
export type EndpointRequest = Readonly<{
	sendId: SendId;
	/** `IP:PORT` of the endpoint. */
	address: string;
	method: string;
	/** Path and query, as the caller sent them. */
	target: string;
	headers: RawHeaders;
	body: Uint8Array;
}>;

/** Receives the response to a request. */
export type EndpointListener = Readonly<{
	/** Called when a connection is open and the request is about to be written to it. `getUse` tells of that once it is. */
	onStart?(getUse: () => ConnectionUse | undefined): void;
	/** Called before a request is written that was held on its connection after that, since the loop had not read for long. */
	onRelease?(): void;
	onHead(status: number, headers: IncomingHttpHeaders): void;
	/** Called for what was read at once. `isFragmented` if it came in so many small pieces that the response is read slowly. */
	onBytes(bytes: Uint8Array, isFragmented: boolean): void;
	onEnd(): void;
	/** `wasSent` is false only if no part of the request can have reached the endpoint. */
	onFailure(wasSent: boolean, detail: string): void;
}>;

export type ControlResponse = Readonly<{status: number; headers: IncomingHttpHeaders; body: string}>;

export type EndpointClient = Readonly<{
	send(request: EndpointRequest, listener: EndpointListener): void;
	/**
	Sends a control request and returns the response. Rejects on a timeout, a connection error, a body that is too long, or a
	response that belongs to a caller's request.
	*/
	sendControlRequest(address: string, request: ControlRequest): Promise<ControlResponse>;
	/** Stops reading the response to a send, which slows the endpoint. What was read already may still be passed on. */
	pause(sendId: SendId): void;
	/** Reads the response on, a turn of the event loop later. */
	resume(sendId: SendId): void;
	/** Ends a send, whose listener is not called again: aborts it at once, or, to discard its response, only if that doesn't end soon. */
	cancel(sendId: SendId, how: 'abort' | 'discard'): void;
	/** Closes the connections to all other addresses once they are idle. */
	closePoolsExcept(addresses: ReadonlySet<string>): void;
	close(): void;
}>;

/** Connect timeout; several times the latency between data centres. */
const connectTimeoutMs = 400;
/** Timeout of control requests, which endpoints answer immediately or not at all. */
const controlTimeoutMs = 350;
/** How long an idle connection is kept if the endpoint sends no `Keep-Alive` timeout. */
const keepAliveTimeoutMs = 4000;
/** How long before the endpoint's own `Keep-Alive` timeout a connection is no longer reused. */
const keepAliveMarginMs = 1200;

/** Lower statuses are informational (1xx) and are not forwarded. */
const lowestFinalStatus = 200;

/** Error codes that rule out that any part of the request was written. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'EMFILE', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Maximum length of a response body, which the gateway may have to hold until it is complete. */
const maximumResponseBytes = 8_388_608;
/** Timeout of the rest of a discarded response, after which the connection is closed. */
const discardTimeoutMs = 500;
/** Maximum number of informational responses before the final one. */
const maximumInformationalResponses = 10;
/** Maximum length of a control response; a report of all reservations of a server is far shorter. */
const maximumControlBodyBytes = 65_536;

/** Reads a control response's body as text. Throws if it is too long, which closes the connection. */
async function readControlBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > maximumControlBodyBytes) {
			throw new VError('the body of a control response exceeds %d bytes', maximumControlBodyBytes);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** A send whose response has not ended. `controller` is set from when undici starts to write the request until the response ends. */
type OpenSend = {
	controller: Dispatcher.DispatchController | undefined;
	/** Whether undici has begun to write the request. */
	hasStarted: boolean;
	isPaused: boolean;
	/** Whether the listener is not called again. */
	isOver: boolean;
	discardTimer: NodeJS.Timeout | undefined;
};

function cancelOpenSend(openSend: OpenSend): void {
	openSend.controller?.abort(new errors.RequestAbortedError());
}

function getErrorCode(error: Error): string {
	const {code} = error as Readonly<{code?: unknown}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return typeof code === 'string' ? code : error.name;
}

export type EndpointClientHost = Readonly<{
	/** Returns whether a response answers a caller's request, and not a control request on the same connection. */
	isCallerResponse(status: number, headers: IncomingHttpHeaders): boolean;
}>;

/** Creates a client in a process that has the given share of a processor. Connections are opened on demand. */
export function createEndpointClient(host: EndpointClientHost, processorShare = 1): EndpointClient {
	const pools = new Map<string, Dispatcher>();
	const responseGuard = createResponseGuard();
	const connectionUses = createConnectionUses();
	const lateWrites = createLateWrites();
	const heldConnections = createHeldConnections();
	const responsePacer = createResponsePacer({processorShare, getReadBytes: heldConnections.getReadBytes});
	const joinPieces = createPieceInterceptor();
	const checkHeads = createHeadInterceptor();
	const openSends = new Map<SendId, OpenSend>();
	const resetDetector = createResetDetector(createLateConnector({
		timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: 1000, autoSelectFamily: false,
	}), socket => {
		heldConnections.watchConnection(socket);
		responseGuard.watchConnection(socket);
		connectionUses.watchConnection(socket);
		lateWrites.watchConnection(socket);
	});

	function resumeSend(openSend: OpenSend): void {
		openSend.isPaused = false;
		setImmediate(() => {
			if (!openSend.isPaused) {
				openSend.controller?.resume();
			}
		});
	}

	/** Removes a send whose response has ended. Returns whether its listener is to be told. */
	function removeSend(sendId: SendId, openSend: OpenSend): boolean {
		const wasOpen = !openSend.isOver;
		openSends.delete(sendId);
		openSend.controller = undefined;
		openSend.isOver = true;
		clearTimeout(openSend.discardTimer);
		return wasOpen;
	}

	function getPool(address: string): Dispatcher {
		const pool = pools.get(address) ?? new Pool(`http://${address}`, {
			connect: resetDetector.connect,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			pipelining: 1,
			maxResponseSize: maximumResponseBytes,
		}).compose(connectionUses.intercept, resetDetector.intercept, responseGuard.intercept, heldConnections.intercept, responsePacer.intercept, joinPieces, checkHeads);
		pools.set(address, pool);
		return pool;
	}

	function removePool(address: string): void {
		const pool = pools.get(address);
		pools.delete(address);
		void pool?.close();
	}

	function createHandler(sendId: SendId, openSend: OpenSend, listener: EndpointListener): Dispatcher.DispatchHandler {
		const dispatchedAt = performance.now();
		let informationalResponses = 0;
		return {
			onRequestStart(controller) {
				// Not even the client's queue writes a request again, or after it was reported as failed.
				const mayStart = !openSend.isOver && !openSend.hasStarted;
				openSend.hasStarted = true;
				openSend.controller = controller;
				if (!mayStart) {
					cancelOpenSend(openSend);
					return;
				}

				listener.onStart?.(connectionUses.getStarted());
				if (!openSend.isOver) {
					lateWrites.hold(dispatchedAt, () => listener.onRelease?.());
				}
			},
			onResponseStart(controller, status, headers) {
				if (status >= lowestFinalStatus) {
					listener.onHead(status, headers);
					return;
				}

				informationalResponses += 1;
				if (informationalResponses > maximumInformationalResponses) {
					controller.abort(new VError({name: 'TooManyInformationalResponses'}, 'the endpoint sent more than %d informational responses', maximumInformationalResponses));
				}
			},
			onResponseData(controller, bytes) {
				if (!openSend.isOver) {
					listener.onBytes(bytes, responsePacer.isFragmented(controller));
				}
			},
			onResponseEnd() {
				if (removeSend(sendId, openSend)) {
					listener.onEnd();
				}
			},
			onResponseError(_controller, error) {
				if (removeSend(sendId, openSend)) {
					const code = getErrorCode(error);
					listener.onFailure(openSend.hasStarted || !connectErrorCodes.has(code), code);
				}
			},
		};
	}

	return {
		send(request, listener) {
			const {sendId, address, method, target, headers, body} = request;
			const openSend: OpenSend = {
				controller: undefined, hasStarted: false, isPaused: false, isOver: false, discardTimer: undefined,
			};
			openSends.set(sendId, openSend);
			try {
				getPool(address).dispatch({
					method, path: target, headers: [...headers], body: body.length === 0 ? null : body,
				}, createHandler(sendId, openSend, listener));
			} catch (error) {
				if (removeSend(sendId, openSend)) {
					listener.onFailure(openSend.hasStarted, getErrorText(error));
				}
			}
		},
		async sendControlRequest(address, {method, target, headers, body}) {
			const response = await getPool(address).request({
				method, path: target, headers: [...headers], ...(body === '' ? {} : {body}), signal: AbortSignal.timeout(controlTimeoutMs),
			});
			if (host.isCallerResponse(response.statusCode, response.headers)) {
				// Destroying a body that has not ended emits an error, which nothing else handles.
				response.body.on('error', () => undefined);
				response.body.destroy();
				throw new VError('the response belongs to another request');
			}

			return {status: response.statusCode, headers: response.headers, body: await readControlBody(response.body)};
		},
		pause(sendId) {
			const openSend = openSends.get(sendId);
			if (openSend !== undefined) {
				openSend.isPaused = true;
				openSend.controller?.pause();
			}
		},
		resume(sendId) {
			const openSend = openSends.get(sendId);
			if (openSend !== undefined) {
				resumeSend(openSend);
			}
		},
		cancel(sendId, how) {
			const openSend = openSends.get(sendId);
			if (openSend === undefined) {
				return;
			}

			openSends.delete(sendId);
			openSend.isOver = true;
			switch (how) {
				case 'abort': {
					cancelOpenSend(openSend);
					return;
				}

				case 'discard': {
					openSend.discardTimer = setTimeout(cancelOpenSend, discardTimeoutMs, openSend);
					resumeSend(openSend);
				}
			}
		},
		closePoolsExcept(addresses) {
			for (const address of pools.keys()) {
				if (!addresses.has(address)) {
					removePool(address);
				}
			}
		},
		close() {
			for (const pool of pools.values()) {
				void pool.destroy();
			}
		},
	};
}
