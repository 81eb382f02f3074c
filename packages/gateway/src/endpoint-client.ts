/**
HTTP client of the endpoints: sends requests over kept connections and reports what comes back.
*/
import type {IncomingHttpHeaders} from 'node:http';
import process from 'node:process';
import type {RawHeaders} from '@currantcross/core/gateway/gateway-types';
import type {SendId} from '@currantcross/core/gateway/relay-types';
import {
	buildConnector, type Dispatcher, errors, Pool,
} from 'undici';
import type {EndpointOrder} from './gateway-hosts.js';

/** A request as it goes to an endpoint. */
export type EndpointSend = Readonly<{
	sendId: SendId;
	/** `IP:PORT`. */
	address: string;
	method: string;
	/** Path and query, as the caller sent them. */
	target: string;
	headers: RawHeaders;
	body: Uint8Array;
}>;

export type EndpointListener = Readonly<{
	onHead(status: number, headers: IncomingHttpHeaders): void;
	onBytes(bytes: Uint8Array): void;
	onEnd(): void;
	/** `wasSent` is false only if nothing can have reached the endpoint. */
	onFailure(wasSent: boolean, detail: string): void;
}>;

export type EndpointClient = Readonly<{
	send(send: EndpointSend, listener: EndpointListener): void;
	/** Gives an order and returns the status of its answer. Rejects when there is none in time. */
	order(address: string, order: EndpointOrder): Promise<number>;
	/** Breaks off a send; its listener hears nothing more. */
	cancel(sendId: SendId): void;
	/** Closes the connections to addresses that are not listed any more, once they are idle. */
	keepAddresses(addresses: ReadonlySet<string>): void;
	close(): void;
}>;

/** Longest wait for a new connection; several times the delay between data centres. */
const connectTimeoutMs = 400;
/** Longest wait for the answer to an order; endpoints answer at once or not at all. */
const orderTimeoutMs = 350;
/** How long an idle connection is kept where the endpoint does not say how long it keeps it. */
const idleTimeoutMs = 4000;
/** Time before the endpoint's own idle timeout at which a connection is no longer used. */
const idleMarginMs = 1200;

const firstFinalStatus = 200;

/** Errors before a request was written. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'EMFILE', 'UND_ERR_CONNECT_TIMEOUT',
]);

type OpenSend = {controller: Dispatcher.DispatchController | undefined; isCancelled: boolean};

function getCode(error: Error): string {
	const {code} = error as Readonly<{code?: unknown}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return typeof code === 'string' ? code : error.name;
}

/** Creates a client without connections. */
export function createEndpointClient(): EndpointClient {
	const pools = new Map<string, Pool>();
	const openSends = new Map<SendId, OpenSend>();
	const connect = buildConnector({
		timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: 1000, autoSelectFamily: false,
	});
	let isHandlingReset = false;

	/**
	Connects, and marks the moment in which a reset is handled: undici then ends an answer without length as if it were
	complete.
	*/
	function openConnection(options: buildConnector.Options, callback: buildConnector.Callback): void {
		connect(options, (...[error, socket]) => {
			if (error !== null) {
				callback(error, socket);
				return;
			}

			socket.on('error', () => {
				isHandlingReset = true;
				process.nextTick(() => {
					isHandlingReset = false;
				});
			});
			callback(error, socket);
		});
	}

	function getPool(address: string): Pool {
		const pool = pools.get(address) ?? new Pool(`http://${address}`, {
			connect: openConnection,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			pipelining: 1,
		});
		pools.set(address, pool);
		return pool;
	}

	function removePool(address: string): void {
		const pool = pools.get(address);
		pools.delete(address);
		void pool?.close();
	}

	function createHandler(sendId: SendId, listener: EndpointListener): Dispatcher.DispatchHandler {
		const open: OpenSend = {controller: undefined, isCancelled: false};
		openSends.set(sendId, open);
		let hasStarted = false;
		return {
			onRequestStart(controller) {
				hasStarted = true;
				open.controller = controller;
				if (open.isCancelled) {
					controller.abort(new errors.RequestAbortedError());
				}
			},
			onResponseStart(_controller, status, headers) {
				if (status >= firstFinalStatus) {
					listener.onHead(status, headers);
				}
			},
			onResponseData(_controller, bytes) {
				listener.onBytes(bytes);
			},
			onResponseEnd() {
				openSends.delete(sendId);
				if (isHandlingReset) {
					listener.onFailure(true, 'ECONNRESET');
				} else {
					listener.onEnd();
				}
			},
			onResponseError(_controller, error) {
				openSends.delete(sendId);
				if (!open.isCancelled) {
					const code = getCode(error);
					listener.onFailure(hasStarted || !connectErrorCodes.has(code), code);
				}
			},
		};
	}

	return {
		send(send, listener) {
			const {sendId, address, method, target, headers, body} = send;
			getPool(address).dispatch({
				method, path: target, headers: [...headers], body: body.length === 0 ? null : body,
			}, createHandler(sendId, listener));
		},
		async order(address, {method, target, headers, body}) {
			const response = await getPool(address).request({
				method, path: target, headers: [...headers], ...(body === '' ? {} : {body}), signal: AbortSignal.timeout(orderTimeoutMs),
			});
			await response.body.dump();
			return response.statusCode;
		},
		cancel(sendId) {
			const open = openSends.get(sendId);
			if (open !== undefined) {
				openSends.delete(sendId);
				open.isCancelled = true;
				open.controller?.abort(new errors.RequestAbortedError());
			}
		},
		keepAddresses(addresses) {
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
