/**
HTTP/2 connections to peers.

An established connection can stop responding permanently while new connections to the same peer work. A client that
suspects this requests a new connection. The old one then takes no new streams and is closed after the idle timeout.
*/
import {readFileSync} from 'node:fs';
import type {Transport} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {Milliseconds} from '@currantcross/core/types';
import {createClientKeyInterceptor} from './shared-key.js';

/** Paths of the PEM files for mutual TLS. Peers are verified against the certificate authority. */
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
	/** Returns the transport to a peer. `needsFreshConnection` replaces a connection that may no longer respond. */
	getTransport(baseUrl: string, needsFreshConnection: boolean): Transport;
	close(): void;
}>;

type Connection = Readonly<{manager: Http2SessionManager; transport: Transport}>;

/** Contents of the PEM files, under the option names of node:tls. */
export type TlsOptions = Readonly<{cert: string; key: string; ca: string}>;

/** Reads the PEM files. */
export function readTlsOptions(files: TlsFiles): TlsOptions {
	return {
		cert: readFileSync(files.certificateFile, 'utf8'),
		key: readFileSync(files.keyFile, 'utf8'),
		ca: readFileSync(files.authorityFile, 'utf8'),
	};
}

/** Creates the connections to peers. The connection to a peer is created when its transport is first requested. */
export function createConnections(settings: ConnectionSettings): Connections {
	const connections = new Map<string, Connection>();
	const drainingManagers = new Set<Http2SessionManager>();
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
			interceptors: [createClientKeyInterceptor(settings.sharedKey)],
			useBinaryFormat: true,
		});
		return {manager, transport};
	}

	/** Keeps a replaced connection for its open streams until the idle timeout has passed, then aborts it. */
	function drainConnection(connection: Connection): void {
		drainingManagers.add(connection.manager);
		setTimeout(() => {
			drainingManagers.delete(connection.manager);
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
				drainConnection(current);
			}

			const connection = createConnection(baseUrl);
			connections.set(baseUrl, connection);
			return connection.transport;
		},
		close() {
			for (const {manager} of connections.values()) {
				manager.abort();
			}

			for (const manager of drainingManagers) {
				manager.abort();
			}
		},
	};
}
