/**
HTTP/2 server for RPC calls from peers.
*/
import http2, {type Http2SecureServer, type Http2Server} from 'node:http2';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {listen} from '@currantcross/core/listen';
import {readTlsOptions, type TlsFiles} from './connections.js';
import {createServerKeyInterceptor} from './shared-key.js';

export type PeerServerSettings = Readonly<{
	host: string;
	/** 0 selects any free port. */
	port: number;
	sharedKey: string;
	tls: TlsFiles | undefined;
}>;

export type PeerServer = Readonly<{
	/** Port that the server listens on. */
	port: number;
	/** Stops listening and destroys all open sessions. */
	close(): Promise<void>;
}>;

function createServer(settings: PeerServerSettings, registerRoutes: (router: ConnectRouter) => void): Http2Server | Http2SecureServer {
	const handler = connectNodeAdapter({
		routes: registerRoutes,
		interceptors: [createServerKeyInterceptor(settings.sharedKey)],
		grpc: false,
		grpcWeb: false,
	});
	if (settings.tls === undefined) {
		return http2.createServer(handler);
	}

	return http2.createSecureServer({...readTlsOptions(settings.tls), requestCert: true, rejectUnauthorized: true}, handler);
}

/** Starts a server with the services that `registerRoutes` adds, and waits until it listens. */
export async function startPeerServer(settings: PeerServerSettings, registerRoutes: (router: ConnectRouter) => void): Promise<PeerServer> {
	const server = createServer(settings, registerRoutes);
	const sessions = new Set<http2.ServerHttp2Session>();
	server.on('session', (session: http2.ServerHttp2Session) => {
		sessions.add(session);
		session.on('close', () => {
			sessions.delete(session);
		});
		session.on('error', () => {
			session.destroy();
		});
	});
	const port = await listen(server, {host: settings.host, port: settings.port});
	return {
		port,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				for (const session of sessions) {
					session.destroy();
				}
			});
		},
	};
}
