/**
Starts a whole deployment on loopback: the platform's stand-in, servers, agents and entries, each a process of its own.
*/
import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {execFile} from 'node:child_process';
import {createRequire} from 'node:module';
import process from 'node:process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseTrustedJson} from '@currantcross/core/json';
import {request} from 'undici';
import {startProcess, stopProcess, type RunningProcess} from './child-process.js';

export type DeploymentSettings = Readonly<{
	dataCentres: readonly string[];
	modelServersPerDataCentre: number;
	businessServersPerDataCentre: number;
	/** Factor on the engines' times. */
	timeScale: number;
	drainLagMs: number;
	/** Put into the settings of each entry. */
	entrySettings?: Readonly<Record<string, unknown>> | undefined;
	/** Put into the settings of each agent. */
	agentSettings?: Readonly<Record<string, unknown>> | undefined;
	/** Returns whether the engine of a server checks fencing numbers. */
	checksFencing?: ((name: string) => boolean) | undefined;
	/** Sequences that an engine works on at once. */
	maximumSequences?: number | undefined;
}>;

export type EntryProcess = Readonly<{
	name: string;
	dataCentre: string;
	callerUrl: string;
	operatorUrl: string;
	peerUrl: string;
	running: RunningProcess;
}>;

export type ServerProcess = Readonly<{
	name: string;
	dataCentre: string;
	kind: 'model' | 'business';
	serverUrl: string;
	agentUrl: string;
	server: RunningProcess;
	agent: RunningProcess;
}>;

export type Deployment = Readonly<{
	directory: string;
	platformUrl: string;
	operatorKeyFile: string;
	getEntries(): readonly EntryProcess[];
	getServers(): readonly ServerProcess[];
	/** Starts an entry or agent again under the same name, after the end of the one before; the host list hears of it. */
	restartEntry(name: string): Promise<EntryProcess>;
	restartAgent(name: string): Promise<ServerProcess>;
	/** Writes the host list anew. */
	publishHosts(change?: HostListChange): Promise<void>;
	/** Runs the command line; returns its exit code and output. */
	runCommand(commandArguments: readonly string[]): Promise<CommandResult>;
	/** Stops all processes and removes their files. */
	stop(): Promise<void>;
}>;

/** What a host list says that differs from the processes as they are. */
export type HostListChange = Readonly<{
	/** Names of servers that are listed as leaving. */
	leaving?: readonly string[];
	/** Other URLs of agents, such as those of relays, by name of server. */
	agentUrls?: Readonly<Record<string, string>>;
}>;

export type CommandResult = Readonly<{exitCode: number | undefined; stdout: string; stderr: string}>;

const loopback = '127.0.0.1';
const {resolve: resolveModule} = createRequire(import.meta.url);
const standinScript = fileURLToPath(new URL('../dist/main.js', import.meta.url));

function getDaemonScript(): string {
	return path.join(path.dirname(resolveModule('@currantcross/core/types')), '../../daemon/dist/main.js');
}

/** Sends JSON and returns the parsed answer. */
export async function sendJsonRequest<Answer>(method: 'GET' | 'POST' | 'PUT', url: string, body?: unknown): Promise<Answer> {
	const response = await request(url, {method, ...(body === undefined ? {} : {body: JSON.stringify(body)})});
	return parseTrustedJson<Answer>(await response.body.text());
}

function compareNames(left: Readonly<{name: string}>, right: Readonly<{name: string}>): number {
	return left.name.localeCompare(right.name);
}

/** Starts a deployment and waits until each process listens. */
export async function startDeployment(settings: DeploymentSettings): Promise<Deployment> {
	const directory = mkdtempSync(path.join(tmpdir(), 'currantcross-'));
	const entries = new Map<string, EntryProcess>();
	const servers = new Map<string, ServerProcess>();
	const sharedKeyFile = writeFile('shared-key', 'shared-key-of-the-deployment');
	const operatorKeyFile = writeFile('operator-key', 'operator-key-of-the-deployment');
	mkdirSync(path.join(directory, 'logs'));

	function writeFile(name: string, text: string): string {
		const file = path.join(directory, name);
		writeFileSync(file, text);
		return file;
	}

	async function start(name: string, script: string, commandArguments: readonly string[]): Promise<RunningProcess> {
		return startProcess({
			name, script, commandArguments, logFile: path.join(directory, 'logs', `${name}.log`),
		});
	}

	const platform = await start('platform', standinScript, ['platform']);
	const platformUrl = `http://${loopback}:${platform.ports.port ?? 0}`;

	async function startDaemon(role: 'entry' | 'agent', name: string, rest: Readonly<Record<string, unknown>>): Promise<RunningProcess> {
		const file = writeFile(`${name}.json`, JSON.stringify({
			role, name, peer: {host: loopback, port: 0, sharedKeyFile}, log: {level: 'debug'}, ...rest,
		}));
		return start(name, getDaemonScript(), [role, '--settings', file]);
	}

	async function startEntry(name: string, dataCentre: string): Promise<EntryProcess> {
		const running = await startDaemon('entry', name, {
			dataCentre,
			caller: {host: loopback, port: 0},
			operator: {host: loopback, port: 0, keyFile: operatorKeyFile},
			platform: {objectApiUrl: platformUrl, hostListUrl: platformUrl},
			peers: [...entries.values()].filter(other => other.name !== name)
				.map(other => ({name: other.name, dataCentre: other.dataCentre, peerUrl: other.peerUrl})),
			drainLagMs: settings.drainLagMs,
			...settings.entrySettings,
		});
		const getUrl = (purpose: string) => `http://${loopback}:${running.ports[purpose] ?? 0}`;
		const entry = {
			name, dataCentre, running, callerUrl: getUrl('caller'), operatorUrl: getUrl('operator'), peerUrl: getUrl('peer'),
		};
		entries.set(name, entry);
		return entry;
	}

	async function startAgent(name: string, parts: Omit<ServerProcess, 'name' | 'agent' | 'agentUrl'>): Promise<ServerProcess> {
		const {dataCentre, kind, serverUrl} = parts;
		const agent = await startDaemon('agent', name, {
			dataCentre, server: {kind, url: serverUrl}, platform: {objectApiUrl: platformUrl}, ...settings.agentSettings,
		});
		const server = {
			...parts, name, agent, agentUrl: `http://${loopback}:${agent.ports.peer ?? 0}`,
		};
		servers.set(name, server);
		return server;
	}

	async function startServer(name: string, dataCentre: string, kind: 'model' | 'business'): Promise<void> {
		const sequences = settings.maximumSequences === undefined ? [] : ['--maximum-sequences', String(settings.maximumSequences)];
		const fencing = settings.checksFencing?.(name) === true ? ['--checks-fencing'] : [];
		const options = kind === 'model' ? ['--time-scale', String(settings.timeScale), ...sequences, ...fencing] : [];
		const server = await start(`server-${name}`, standinScript, [kind, ...options]);
		await startAgent(name, {
			dataCentre, kind, server, serverUrl: `http://${loopback}:${server.ports.port ?? 0}`,
		});
	}

	async function publishHosts({leaving = [], agentUrls = {}}: HostListChange = {}): Promise<void> {
		await sendJsonRequest('PUT', `${platformUrl}/v1/hosts`, {
			servers: [...servers.values()].map(({name, kind, dataCentre, agentUrl}) => ({
				server: {
					name, kind, dataCentre, agentUrl: agentUrls[name] ?? agentUrl, pool: kind === 'model' ? 'models' : 'shop',
				},
				isLeaving: leaving.includes(name),
			})),
			entries: [...entries.values()].map(({name, dataCentre, peerUrl}) => ({name, dataCentre, peerUrl})),
		});
	}

	await Promise.all(settings.dataCentres.flatMap(dataCentre => [
		...Array.from({length: settings.modelServersPerDataCentre}, async (_, index) => startServer(`model-${dataCentre}-${index + 1}`, dataCentre, 'model')),
		...Array.from({length: settings.businessServersPerDataCentre}, async (_, index) => startServer(`shop-${dataCentre}-${index + 1}`, dataCentre, 'business')),
	]));
	await publishHosts();
	await Promise.all(settings.dataCentres.map(async dataCentre => startEntry(`entry-${dataCentre}`, dataCentre)));
	await publishHosts();

	return {
		directory,
		platformUrl,
		operatorKeyFile,
		getEntries: () => [...entries.values()].toSorted(compareNames),
		getServers: () => [...servers.values()].toSorted(compareNames),
		async restartEntry(name) {
			const old = entries.get(name);
			if (old === undefined) {
				throw new Error(`no entry ${name}`);
			}

			await stopProcess(old.running, 'SIGKILL');
			const entry = await startEntry(name, old.dataCentre);
			await publishHosts();
			return entry;
		},
		async restartAgent(name) {
			const old = servers.get(name);
			if (old === undefined) {
				throw new Error(`no server ${name}`);
			}

			await stopProcess(old.agent, 'SIGKILL');
			const server = await startAgent(name, old);
			await publishHosts();
			return server;
		},
		publishHosts,
		runCommand: async commandArguments => runCommand(commandArguments),
		async stop() {
			const running = [
				...[...entries.values()].map(entry => entry.running),
				...[...servers.values()].flatMap(server => [server.agent, server.server]),
				platform,
			];
			await Promise.all(running.map(async child => stopProcess(child, 'SIGKILL')));
			rmSync(directory, {recursive: true, force: true});
		},
	};
}

/** Runs the command `currantcross` to its end. */
export async function runCommand(commandArguments: readonly string[]): Promise<CommandResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [getDaemonScript(), ...commandArguments], (error, stdout, stderr) => {
			const exitCode = error === null ? 0 : (typeof error.code === 'number' ? error.code : undefined);
			resolve({exitCode, stdout, stderr});
		});
	});
}
