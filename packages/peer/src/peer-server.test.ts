/**
Peers must authenticate each other by mutual TLS and the shared key. A client must recognise a call that never reached the
agent, since it can then send the attempt to another server without running it twice.
*/
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createFixtureStatus} from '@currantcross/core/fixtures';
import {generate} from 'selfsigned';
import {
	afterAll, afterEach, beforeAll, describe, expect, test,
} from 'vitest';
import {createAgentClient, isUnsentError} from './agent-client.js';
import {createAgentService} from './agent-service.js';
import {
	createConnections, defaultConnectionSettings, type Connections, type TlsFiles,
} from './connections.js';
import {startPeerServer, type PeerServer} from './peer-server.js';

const sharedKey = 'the shared key';
const timeoutMs = 5000;

let directory: string;
let tls: TlsFiles;
let untrustedTls: TlsFiles;
let server: PeerServer | undefined;
const openConnections: Connections[] = [];

/** Creates a self-signed certificate for loopback addresses and writes it and its key to files. */
async function createTlsFiles(name: string): Promise<TlsFiles> {
	const pems = await generate([{name: 'commonName', value: 'localhost'}], {
		extensions: [
			{name: 'basicConstraints', cA: true},
			{name: 'subjectAltName', altNames: [{type: 2, value: 'localhost'}, {type: 7, ip: '127.0.0.1'}]},
		],
	});
	const files = {
		certificateFile: path.join(directory, `${name}.crt`), keyFile: path.join(directory, `${name}.key`), authorityFile: path.join(directory, `${name}.crt`),
	};
	writeFileSync(files.certificateFile, pems.cert);
	writeFileSync(files.keyFile, pems.private);
	return files;
}

async function startAgentServer(serverTls: TlsFiles | undefined): Promise<number> {
	const service = createAgentService({
		receive() {
			throw new Error('unexpected agent event');
		},
		getStatus: () => createFixtureStatus('m1'),
		applyOrder: async () => ({kind: 'applied'}),
	});
	server = await startPeerServer({
		host: '127.0.0.1', port: 0, sharedKey, tls: serverTls,
	}, router => {
		service.registerRoutes(router);
	});
	return server.port;
}

async function getAgentStatus(url: string, key: string, clientTls: TlsFiles | undefined) {
	const connections = createConnections({...defaultConnectionSettings, sharedKey: key, tls: clientTls});
	openConnections.push(connections);
	return createAgentClient(connections, timeoutMs).getStatus(url);
}

beforeAll(async () => {
	directory = mkdtempSync(path.join(tmpdir(), 'currantcross-tls-'));
	tls = await createTlsFiles('peer');
	untrustedTls = await createTlsFiles('stranger');
});

afterAll(() => {
	rmSync(directory, {recursive: true});
});

afterEach(async () => {
	for (const connections of openConnections.splice(0)) {
		connections.close();
	}

	await server?.close();
});

describe('a call to a peer server', () => {
	test('succeeds over TLS with a trusted certificate and the shared key', async () => {
		const port = await startAgentServer(tls);
		const status = await getAgentStatus(`https://127.0.0.1:${port}`, sharedKey, tls);
		expect(status).toMatchObject({server: 'm1', state: 'serving'});
	});

	test('is rejected when client and server trust different certificate authorities', async () => {
		const port = await startAgentServer(tls);
		await expect(getAgentStatus(`https://127.0.0.1:${port}`, sharedKey, untrustedTls)).rejects.toThrow();
	});

	test('is rejected when the client does not use TLS and the server requires it', async () => {
		const port = await startAgentServer(tls);
		await expect(getAgentStatus(`http://127.0.0.1:${port}`, sharedKey, undefined)).rejects.toThrow();
	});

	test('fails with an error that proves it never reached the agent when the shared key is wrong', async () => {
		const port = await startAgentServer(undefined);
		const error: unknown = await getAgentStatus(`http://127.0.0.1:${port}`, 'another key', undefined).catch((error_: unknown) => error_);
		expect(isUnsentError(error)).toBe(true);
	});

	test('fails with an error that proves it never reached the agent when the server does not listen', async () => {
		const port = await startAgentServer(undefined);
		await server?.close();
		const error: unknown = await getAgentStatus(`http://127.0.0.1:${port}`, sharedKey, undefined).catch((error_: unknown) => error_);
		expect(isUnsentError(error)).toBe(true);
	});
});
