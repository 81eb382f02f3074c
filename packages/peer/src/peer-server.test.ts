/**
Peers over TLS, and peers that are refused.
*/
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createFixtureStatus} from '@currantcross/core/fixtures';
import {generate} from 'selfsigned';
import {
	afterAll, afterEach, beforeAll, describe, expect, test,
} from 'vitest';
import {createAgentClient, isNeverSent} from './agent-client.js';
import {createAgentService} from './agent-service.js';
import {
	createConnections, defaultConnectionSettings, type Connections, type TlsFiles,
} from './connections.js';
import {startPeerServer, type PeerServer} from './peer-server.js';

const sharedKey = 'the shared key';
const timeoutMs = 5000;

let directory: string;
let tls: TlsFiles;
let strangerTls: TlsFiles;
let server: PeerServer | undefined;
const opened: Connections[] = [];

/** Writes a certificate that is its own authority, good for loopback. */
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
			throw new Error('no attempt is sent here');
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

async function askStatus(url: string, key: string, clientTls: TlsFiles | undefined) {
	const connections = createConnections({...defaultConnectionSettings, sharedKey: key, tls: clientTls});
	opened.push(connections);
	return createAgentClient(connections, timeoutMs).getStatus(url);
}

beforeAll(async () => {
	directory = mkdtempSync(path.join(tmpdir(), 'currantcross-tls-'));
	tls = await createTlsFiles('peer');
	strangerTls = await createTlsFiles('stranger');
});

afterAll(() => {
	rmSync(directory, {recursive: true});
});

afterEach(async () => {
	for (const connections of opened.splice(0)) {
		connections.close();
	}

	await server?.close();
});

describe('a peer', () => {
	test('with the certificate and the key is heard over TLS', async () => {
		const port = await startAgentServer(tls);
		const status = await askStatus(`https://127.0.0.1:${port}`, sharedKey, tls);
		expect(status).toMatchObject({server: 'm1', state: 'serving'});
	});

	test('with a certificate of another authority is refused', async () => {
		const port = await startAgentServer(tls);
		await expect(askStatus(`https://127.0.0.1:${port}`, sharedKey, strangerTls)).rejects.toThrow();
	});

	test('without TLS is refused by a server that wants it', async () => {
		const port = await startAgentServer(tls);
		await expect(askStatus(`http://127.0.0.1:${port}`, sharedKey, undefined)).rejects.toThrow();
	});

	test('with a wrong key is refused, and knows that nothing was sent on', async () => {
		const port = await startAgentServer(undefined);
		const error: unknown = await askStatus(`http://127.0.0.1:${port}`, 'another key', undefined).catch((error_: unknown) => error_);
		expect(isNeverSent(error)).toBe(true);
	});

	test('that does not listen is known never to have got anything', async () => {
		const port = await startAgentServer(undefined);
		await server?.close();
		const error: unknown = await askStatus(`http://127.0.0.1:${port}`, sharedKey, undefined).catch((error_: unknown) => error_);
		expect(isNeverSent(error)).toBe(true);
	});
});
