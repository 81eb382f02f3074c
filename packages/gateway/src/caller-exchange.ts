/**
One request of a caller and the answer to it, as HTTP/1.1 carries them.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {getErrorDefinition, getErrorBody, type Failure} from '@currantcross/core/errors';
import type {RawHeaders} from '@currantcross/core/gateway/gateway-types';
import type {CallerHead, Dialect} from './gateway-hosts.js';

/** A whole request. */
export type ReceivedRequest = Readonly<{message: IncomingMessage; head: CallerHead; body: Uint8Array}>;

/** The head of an answer. One without delimiters is passed on as it is, since only its sender knows where it ends. */
export type AnswerStart = Readonly<{status: number; headers: RawHeaders; isUndelimited: boolean}>;

export type CallerExchange = ReceivedRequest & Readonly<{
	startAnswer(start: AnswerStart): void;
	write(bytes: Uint8Array): void;
	end(): void;
	/** Breaks the connection, so that the answer does not look complete. */
	breakOff(): void;
	fail(failure: Failure): void;
}>;

/** Headers that concern one connection only. */
const connectionHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

function getNamedByConnection(value: string | undefined): ReadonlySet<string> {
	return new Set((value ?? '').toLowerCase().split(',').map(name => name.trim()));
}

/** Returns the headers without those of one connection and those in `owned`. */
export function getForwardedHeaders(rawHeaders: RawHeaders, connection: string | undefined, owned: ReadonlySet<string>): RawHeaders {
	const named = getNamedByConnection(connection);
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const key = name.toLowerCase();
		if (!connectionHeaders.has(key) && !named.has(key) && !owned.has(key)) {
			forwarded.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return forwarded;
}

/** Creates the exchange of a request whose body has arrived. `isDraining` asks callers to leave the connection. */
export function createCallerExchange(
	request: ReceivedRequest,
	response: ServerResponse,
	host: Readonly<{dialect: Dialect; isDraining(): boolean}>,
): CallerExchange {
	const {message, head} = request;

	function writeHead(status: number, headers: RawHeaders): void {
		if (host.isDraining()) {
			response.setHeader('connection', 'close');
		}

		for (let index = 0; index + 1 < headers.length; index += 2) {
			response.appendHeader(headers[index] ?? '', headers[index + 1] ?? '');
		}

		response.writeHead(status);
	}

	return {
		...request,
		startAnswer({status, headers, isUndelimited}) {
			if (isUndelimited) {
				response.setHeader('connection', 'close');
				response.removeHeader('transfer-encoding');
			}

			writeHead(status, headers);
			response.flushHeaders();
		},
		write(bytes) {
			response.write(bytes);
		},
		end() {
			response.end();
		},
		breakOff() {
			message.socket.destroy();
		},
		fail(failure) {
			if (response.headersSent || response.destroyed) {
				message.socket.destroy();
				return;
			}

			const text = Buffer.from(`${JSON.stringify(getErrorBody(failure, head.requestId))}\n`);
			writeHead(getErrorDefinition(failure.kind).status, [
				'Content-Type', 'application/json', 'Content-Length', String(text.length), ...host.dialect.formatFailureHead(failure, head.requestId),
			]);
			response.end(text);
		},
	};
}
