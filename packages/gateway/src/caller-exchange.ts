/**
One HTTP/1.1 request from a caller and the response to it.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {getErrorDefinition, getErrorBody, type Failure} from '@currantcross/core/errors';
import type {RawHeaders} from '@currantcross/core/gateway/gateway-types';
import type {CallerHead, WireFormat} from './gateway-hosts.js';

/** A request whose body has been read completely. */
export type ReceivedRequest = Readonly<{message: IncomingMessage; head: CallerHead; body: Uint8Array}>;

/** The head of a response. A body without a length is sent in chunks; to an HTTP/1.0 caller it ends with the connection. */
export type ResponseHead = Readonly<{status: number; headers: RawHeaders}>;

/** A received request and the operations that answer it. */
export type CallerExchange = ReceivedRequest & Readonly<{
	/** Returns whether the caller's close has been read. The exchange is told of it some turns of the event loop later. */
	hasCallerLeft(): boolean;
	/** Returns how much of the response waits for the caller to read, or 0 if "drain" would not be reported. */
	getUnreadBytes(): number;
	/** Sets the function to call when the caller has read all that was written. */
	setDrainHandler(onDrain: () => void): void;
	/** Sets whether the endpoint's response is not read for now. Meanwhile a caller may read nothing for the idle timeout at most. */
	setPaused(isPaused: boolean): void;
	/** Sets how much of a response has been received from the endpoint that is not written yet. */
	setReceivedBytes(bytes: number): void;
	startResponse(head: ResponseHead): void;
	write(bytes: Uint8Array): void;
	end(): void;
	/** Destroys the connection, so that the caller does not take a partial response for a complete one: by a reset if closing it would end the response. */
	breakConnection(): void;
	/** Sends an error response, or destroys the connection where a response has started. */
	fail(failure: Failure): void;
}>;

/** Hop-by-hop headers, which a proxy does not forward. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Returns the header names that a `Connection` header lists as hop-by-hop. */
function getConnectionOptions(value: string | undefined): ReadonlySet<string> {
	return new Set((value ?? '').toLowerCase().split(',').map(name => name.trim()));
}

/** Returns the headers without the hop-by-hop ones and those in `excluded`, which holds names in lower case. */
export function getForwardedHeaders(rawHeaders: RawHeaders, connection: string | undefined, excluded: ReadonlySet<string>): RawHeaders {
	const connectionOptions = getConnectionOptions(connection);
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const key = name.toLowerCase();
		if (!hopByHopHeaders.has(key) && !connectionOptions.has(key) && !excluded.has(key)) {
			forwarded.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return forwarded;
}

export type CallerExchangeHost = Readonly<{
	wireFormat: WireFormat;
	/** While it returns true, all responses carry `Connection: close`. */
	isDraining(): boolean;
	/** Returns whether a caller's connection is closed once its requests are answered. */
	isClosing(socket: Socket): boolean;
	/** Returns the time for which a caller may read nothing of a complete response before its connection is closed. */
	getIdleTimeoutMs(): number;
	/** Called after each part with the bytes of the response that are held, 0 for as few as every caller may leave unread, and the function that breaks it off. */
	onQueued(breakConnection: () => void, bytes: number): void;
}>;

/** Memory that a part of a response takes while it waits, besides its bytes. */
const queuedPartBytes = 512;
/** Part of a response that has been read from its endpoint's connection, at most, when the gateway stops reading: a buffer and one read. */
const readAheadBytes = 81_920;

/** Creates the exchange for a received request. */
export function createCallerExchange(
	request: ReceivedRequest,
	response: ServerResponse,
	host: CallerExchangeHost,
): CallerExchange {
	const {message, head} = request;
	/** Parts that were written while others waited already. */
	let queuedParts = 0;
	let receivedBytes = 0;
	let onDrain = (): void => undefined;
	let breaksOnTimeout = false;

	function getQueuedBytes(): number {
		return response.writableLength + (queuedParts * queuedPartBytes);
	}

	function reportQueued(): void {
		const heldBytes = response.destroyed || message.socket.destroyed ? 0 : receivedBytes + getQueuedBytes();
		host.onQueued(breakConnection, heldBytes > response.writableHighWaterMark ? heldBytes : 0);
	}

	response.on('drain', () => {
		queuedParts = 0;
		reportQueued();
		onDrain();
	});

	/** Breaks the connection if nothing of what waits is read for the idle timeout. */
	function setIdleTimeout(socket: Socket): void {
		if (!breaksOnTimeout) {
			breaksOnTimeout = true;
			response.once('timeout', breakConnection);
		}

		socket.setTimeout(host.getIdleTimeoutMs());
	}

	function writeHead(status: number, headers: RawHeaders): void {
		if (host.isDraining() || host.isClosing(message.socket)) {
			response.setHeader('connection', 'close');
		}

		for (let index = 0; index + 1 < headers.length; index += 2) {
			response.appendHeader(headers[index] ?? '', headers[index + 1] ?? '');
		}

		response.writeHead(status);
	}

	function breakConnection(): void {
		if (response.chunkedEncoding || response.hasHeader('content-length')) {
			message.socket.destroy();
		} else {
			// A stream to an HTTP/1.0 caller ends with its connection.
			message.socket.resetAndDestroy();
		}
	}

	return {
		...request,
		hasCallerLeft: () => response.destroyed || message.socket.destroyed || message.socket.readableEnded,
		getUnreadBytes: () => response.writableNeedDrain ? getQueuedBytes() : 0,
		setDrainHandler(handler) {
			onDrain = handler;
		},
		setPaused(isPaused) {
			const {socket} = response;
			receivedBytes = isPaused ? readAheadBytes : 0;
			reportQueued();
			// A response that waits behind another one of its connection has no socket yet.
			if (socket instanceof Socket) {
				if (isPaused) {
					setIdleTimeout(socket);
				} else {
					socket.setTimeout(0);
				}
			}
		},
		setReceivedBytes(bytes) {
			receivedBytes = bytes;
			reportQueued();
		},
		startResponse({status, headers}) {
			receivedBytes = 0;
			writeHead(status, headers);
			response.flushHeaders();
		},
		write(bytes) {
			queuedParts = response.writableLength === 0 ? 0 : queuedParts + 1;
			response.write(bytes);
			reportQueued();
		},
		end() {
			response.end();
			reportQueued();
			if (!response.writableFinished) {
				setIdleTimeout(message.socket);
				// Runs before the server sets its own timeout for idle connections.
				response.prependOnceListener('finish', () => {
					message.socket.setTimeout(0);
				});
			}
		},
		breakConnection,
		fail(failure) {
			if (response.headersSent || response.destroyed) {
				breakConnection();
				return;
			}

			const errorBody = Buffer.from(`${JSON.stringify(getErrorBody(failure, head.requestId))}\n`);
			writeHead(getErrorDefinition(failure.kind).status, [
				'Content-Type', 'application/json', 'Content-Length', String(errorBody.length), ...host.wireFormat.formatFailureHead(failure, head.requestId),
			]);
			response.end(errorBody);
		},
	};
}
