/**
HTTP/2 connections to peers.

A connection may go silent for good while new ones work. Whoever suspects one asks for a fresh connection; the old one
gets no new streams and is left to its idle timeout.
*/
import {readFileSync} from 'node:fs';
import type {Transport} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {Milliseconds} from '@currantcross/core/types';
import {createKeySender} from './shared-key.js';

/** Paths of PEM files. With them, the process speaks TLS to its peers and checks them against the authority. */
export type TlsFiles = Readonly<{
	certificateFile: string;
	keyFile: string;
	authorityFile: string;
}>;

export type ConnectionSettings = Readonly<{
	sharedKey: string;
	tls: TlsFiles | undefined;
	idleTimeoutMs: Milliseconds;
	pingIntervalMs: Milliseconds;
}>;

export const defaultConnectionSettings = {
	idleTimeoutMs: 60_000,
	pingIntervalMs: 20_000,
} as const;

export type Connections = Readonly<{
	/** Returns the transport to a peer, over a new connection when the old one is suspect. */
	getTransport(baseUrl: string, needsFreshConnection: boolean): Transport;
	close(): void;
}>;

type Connection = Readonly<{manager: Http2SessionManager; transport: Transport}>;

/** Contents of the PEM files, as node:tls takes them. */
export type TlsOptions = Readonly<{cert: string; key: string; ca: string}>;

/** Reads the PEM files. */
export function readTlsOptions(files: TlsFiles): TlsOptions {
	return {
		cert: readFileSync(files.certificateFile, 'utf8'),
		key: readFileSync(files.keyFile, 'utf8'),
		ca: readFileSync(files.authorityFile, 'utf8'),
	};
}

/** Creates an empty set of connections. */
export function createConnections(settings: ConnectionSettings): Connections {
	const connections = new Map<string, Connection>();
	const retired = new Set<Http2SessionManager>();
	const tlsOptions = settings.tls === undefined ? undefined : readTlsOptions(settings.tls);

	function createConnection(baseUrl: string): Connection {
		const manager = new Http2SessionManager(
			baseUrl,
			{idleConnectionTimeoutMs: settings.idleTimeoutMs, pingIntervalMs: settings.pingIntervalMs},
			tlsOptions,
		);
		const transport = createConnectTransport({
			httpVersion: '2',
			baseUrl,
			sessionManager: manager,
			interceptors: [createKeySender(settings.sharedKey)],
			useBinaryFormat: true,
		});
		return {manager, transport};
	}

	function releaseConnection(connection: Connection): void {
		retired.add(connection.manager);
		setTimeout(() => {
			retired.delete(connection.manager);
			connection.manager.abort();
		}, settings.idleTimeoutMs).unref();
	}

	return {
		getTransport(baseUrl, needsFreshConnection) {
			const current = connections.get(baseUrl);
			if (current !== undefined && !needsFreshConnection) {
				return current.transport;
			}

			if (current !== undefined) {
				releaseConnection(current);
			}

			const connection = createConnection(baseUrl);
			connections.set(baseUrl, connection);
			return connection.transport;
		},
		close() {
			for (const {manager} of connections.values()) {
				manager.abort();
			}

			for (const manager of retired) {
				manager.abort();
			}
		},
	};
}
