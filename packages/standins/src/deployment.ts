/**
Starts a complete deployment on loopback: the platform stand-in, servers, agents and entries, each as its own process.
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
	/** Factor applied to all durations of the model servers; 0.5 halves them. */
	timeScale: number;
	drainLagMs: number;
	/** Added to the settings of each entry. */
	entrySettings?: Readonly<Record<string, unknown>> | undefined;
	/** Added to the settings of each agent. */
	agentSettings?: Readonly<Record<string, unknown>> | undefined;
	/** Returns whether the model server of this name refuses orders with a lower fencing number than the last one. */
	checksFencing?: ((name: string) => boolean) | undefined;
	/** Maximum number of sequences that an engine runs concurrently. */
	maximumSequences?: number | undefined;
}>;

/** A running entry, the process that accepts requests of callers. */
export type EntryProcess = Readonly<{
	name: string;
	dataCentre: string;
	callerUrl: string;
	operatorUrl: string;
	peerUrl: string;
	running: RunningProcess;
}>;

/** A running server and its agent. */
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
	/** Kills an entry, starts it again under the same name and updates the host list. */
	restartEntry(name: string): Promise<EntryProcess>;
	/** Kills an agent, starts it again under the same name and updates the host list. */
	restartAgent(name: string): Promise<ServerProcess>;
	/** Replaces the host list on the platform stand-in. */
	publishHosts(overrides?: HostListOverrides): Promise<void>;
	/** Runs the command `currantcross` and returns its exit code and output. */
	runCommand(commandArguments: readonly string[]): Promise<CommandResult>;
	/** Kills all processes and removes the directory of the deployment. */
	stop(): Promise<void>;
}>;

/** Differences between a published host list and the running processes. */
export type HostListOverrides = Readonly<{
	/** Names of servers that are published as leaving. */
	leaving?: readonly string[];
	/** Agent URLs by server name that replace the real ones, such as the URLs of relays. */
	agentUrls?: Readonly<Record<string, string>>;
}>;

export type CommandResult = Readonly<{exitCode: number | undefined; stdout: string; stderr: string}>;

const loopback = '127.0.0.1';
const {resolve: resolveModule} = createRequire(import.meta.url);
const standinScript = fileURLToPath(new URL('../dist/main.js', import.meta.url));

function getDaemonScript(): string {
	return path.join(path.dirname(resolveModule('@currantcross/core/types')), '../../daemon/dist/main.js');
}

/** Sends a request with a JSON body and returns the parsed response body. */
export async function sendJsonRequest<ResponseBody>(method: 'GET' | 'POST' | 'PUT', url: string, body?: unknown): Promise<ResponseBody> {
	const response = await request(url, {method, ...(body === undefined ? {} : {body: JSON.stringify(body)})});
	return parseTrustedJson<ResponseBody>(await response.body.text());
}

function compareNames(left: Readonly<{name: string}>, right: Readonly<{name: string}>): number {
	return left.name.localeCompare(right.name);
}

/** Starts a deployment and waits until every process listens. */
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

	async function startLoggedProcess(name: string, script: string, commandArguments: readonly string[]): Promise<RunningProcess> {
		return startProcess({
			name, script, commandArguments, logFile: path.join(directory, 'logs', `${name}.log`),
		});
	}

	const platform = await startLoggedProcess('platform', standinScript, ['platform']);
	const platformUrl = `http://${loopback}:${platform.ports.port ?? 0}`;

	async function startDaemon(role: 'entry' | 'agent', name: string, roleSettings: Readonly<Record<string, unknown>>): Promise<RunningProcess> {
		const file = writeFile(`${name}.json`, JSON.stringify({
			role, name, peer: {host: loopback, port: 0, sharedKeyFile}, log: {level: 'debug'}, ...roleSettings,
		}));
		return startLoggedProcess(name, getDaemonScript(), [role, '--settings', file]);
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

	async function startAgent(name: string, serverProcess: Omit<ServerProcess, 'name' | 'agent' | 'agentUrl'>): Promise<ServerProcess> {
		const {dataCentre, kind, serverUrl} = serverProcess;
		const agent = await startDaemon('agent', name, {
			dataCentre, server: {kind, url: serverUrl}, platform: {objectApiUrl: platformUrl}, ...settings.agentSettings,
		});
		const server = {
			...serverProcess, name, agent, agentUrl: `http://${loopback}:${agent.ports.peer ?? 0}`,
		};
		servers.set(name, server);
		return server;
	}

	async function startServer(name: string, dataCentre: string, kind: 'model' | 'business'): Promise<void> {
		const sequenceOptions = settings.maximumSequences === undefined ? [] : ['--maximum-sequences', String(settings.maximumSequences)];
		const fencingOptions = settings.checksFencing?.(name) === true ? ['--checks-fencing'] : [];
		const options = kind === 'model' ? ['--time-scale', String(settings.timeScale), ...sequenceOptions, ...fencingOptions] : [];
		const server = await startLoggedProcess(`server-${name}`, standinScript, [kind, ...options]);
		await startAgent(name, {
			dataCentre, kind, server, serverUrl: `http://${loopback}:${server.ports.port ?? 0}`,
		});
	}

	async function publishHosts({leaving = [], agentUrls = {}}: HostListOverrides = {}): Promise<void> {
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
			const previous = entries.get(name);
			if (previous === undefined) {
				throw new Error(`entry ${name} does not exist`);
			}

			await stopProcess(previous.running, 'SIGKILL');
			const entry = await startEntry(name, previous.dataCentre);
			await publishHosts();
			return entry;
		},
		async restartAgent(name) {
			const previous = servers.get(name);
			if (previous === undefined) {
				throw new Error(`server ${name} does not exist`);
			}

			await stopProcess(previous.agent, 'SIGKILL');
			const server = await startAgent(name, previous);
			await publishHosts();
			return server;
		},
		publishHosts,
		runCommand: async commandArguments => runCommand(commandArguments),
		async stop() {
			const processes = [
				...[...entries.values()].map(entry => entry.running),
				...[...servers.values()].flatMap(server => [server.agent, server.server]),
				platform,
			];
			await Promise.all(processes.map(async child => stopProcess(child, 'SIGKILL')));
			rmSync(directory, {recursive: true, force: true});
		},
	};
}

/** Runs the command `currantcross` and waits until it exits. */
export async function runCommand(commandArguments: readonly string[]): Promise<CommandResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [getDaemonScript(), ...commandArguments], (error, stdout, stderr) => {
			const exitCode = error === null ? 0 : (typeof error.code === 'number' ? error.code : undefined);
			resolve({exitCode, stdout, stderr});
		});
	});
}
