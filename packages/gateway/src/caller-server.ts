/**
The HTTP server that callers connect to. It reads whole requests within the limits in force and hands them on.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {createNotRunFailure, type Failure} from '@currantcross/core/errors';
import {listen} from '@currantcross/core/listen';
import type {ServingLimits} from '@currantcross/core/gateway/gateway-types';
import {createCallerExchange, type CallerExchange} from './caller-exchange.js';
import type {CallerHead, Dialect} from './gateway-hosts.js';
import type {SocketAddress} from './settings.js';

export type CallerServerHost = Readonly<{
	dialect: Dialect;
	isDraining(): boolean;
	/** Returns why a request may not pass, from its head alone. */
	checkHead(message: IncomingMessage, head: CallerHead): Failure | undefined;
	/** Takes a whole request, and returns what to call when its caller leaves. */
	handleRequest(exchange: CallerExchange, arrivedAt: number): () => void;
	recordRefusal(head: CallerHead, failure: Failure): void;
}>;

export type CallerServer = Readonly<{
	/** Port on which the server listens. */
	port: number;
	setLimits(limits: ServingLimits): void;
	/** Stops listening and closes all connections. */
	close(): void;
}>;

/** Largest head that is read. The platform's limit for callers lies below. */
const maximumHeaderBytes = 65_536;
/** New connections that wait for the process; the system's own limit lies above. */
const connectionBacklog = 1024;
const defaultMaximumBodyBytes = 8_388_608;
/** Time beyond a caller's idle timeout for which a connection is kept, so that its last request does not cross the close. */
const idleMarginMs = 2000;

type ReadResult
	= | Readonly<{kind: 'complete'; body: Uint8Array}>
		| Readonly<{kind: 'tooLarge'}>
		| Readonly<{kind: 'aborted'}>;

async function readBody(message: IncomingMessage, maximumBytes: number): Promise<ReadResult> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of message as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maximumBytes) {
				return {kind: 'tooLarge'};
			}

			chunks.push(chunk);
		}
	} catch {
		// The caller left; there is nobody to answer.
		return {kind: 'aborted'};
	}

	const [first] = chunks;
	return {kind: 'complete', body: chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks)};
}

/** Starts to listen for callers. */
export async function startCallerServer(address: SocketAddress, host: CallerServerHost): Promise<CallerServer> {
	let maximumBodyBytes = defaultMaximumBodyBytes;

	async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const arrivedAt = performance.now();
		const head = host.dialect.parseCallerHead(message.headers);
		const early = host.checkHead(message, head);
		if (early !== undefined) {
			refuse(message, response, head, early);
			return;
		}

		const result = await readBody(message, maximumBodyBytes);
		switch (result.kind) {
			case 'aborted': {
				return;
			}

			case 'tooLarge': {
				refuse(message, response, head, createNotRunFailure('payloadTooLarge'));
				return;
			}

			case 'complete': {
				start(createCallerExchange({message, head, body: result.body}, response, host), response, arrivedAt);
			}
		}
	}

	function refuse(message: IncomingMessage, response: ServerResponse, head: CallerHead, failure: Failure): void {
		host.recordRefusal(head, failure);
		createCallerExchange({message, head, body: new Uint8Array(0)}, response, host).fail(failure);
	}

	function start(exchange: CallerExchange, response: ServerResponse, arrivedAt: number): void {
		if (response.destroyed || exchange.message.socket.destroyed) {
			return;
		}

		const leave = host.handleRequest(exchange, arrivedAt);
		response.once('close', () => {
			if (!response.writableFinished) {
				leave();
			}
		});
	}

	const server = http.createServer({
		maxHeaderSize: maximumHeaderBytes, requestTimeout: 0, keepAlive: true, noDelay: true,
	}, (message, response) => {
		response.on('error', () => {
			// The caller is gone; `close` follows.
		});
		void handle(message, response);
	});
	const port = await listen(server, {...address, backlog: connectionBacklog});
	return {
		port,
		setLimits(limits) {
			maximumBodyBytes = limits.maximumBodyBytes;
			server.headersTimeout = limits.headerTimeoutMs;
			server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
