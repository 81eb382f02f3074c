/**
Child processes of the demo and of the process tests: each prints one line of JSON once it listens.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {openSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseTrustedJson} from '@currantcross/core/json';

export type RunningProcess = Readonly<{
	name: string;
	/** Ports from its first line, by purpose. */
	ports: Readonly<Record<string, number>>;
	process: ChildProcess;
	/** Resolves with its exit code, or `undefined` where a signal ended it. */
	exited: Promise<number | undefined>;
}>;

export type ProcessCommand = Readonly<{
	name: string;
	script: string;
	commandArguments: readonly string[];
	/** File that takes its standard error. */
	logFile: string;
}>;

const children = new Set<ChildProcess>();

// Without a handler these signals would end the process without its 'exit' event, and leave the children.
for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

async function waitForExit(child: ChildProcess): Promise<number | undefined> {
	await once(child, 'exit');
	children.delete(child);
	return child.exitCode ?? undefined;
}

async function readFirstLine(child: ChildProcess): Promise<string | undefined> {
	if (child.stdout === null) {
		return undefined;
	}

	const lines = createInterface({input: child.stdout});
	const first = await lines[Symbol.asyncIterator]().next();
	return first.done === true ? undefined : first.value;
}

/** Starts a process and waits until it listens. */
export async function startProcess(command: ProcessCommand): Promise<RunningProcess> {
	const log = openSync(command.logFile, 'a');
	const child = spawn(process.execPath, [command.script, ...command.commandArguments], {stdio: ['ignore', 'pipe', log]});
	children.add(child);
	const exited = waitForExit(child);
	const line = await readFirstLine(child);
	if (line === undefined) {
		throw new Error(`${command.name} ended before it listened; see ${command.logFile}`);
	}

	const ports = parseTrustedJson<RunningProcess['ports']>(line);
	return {
		name: command.name, ports, process: child, exited,
	};
}

/** Sends a signal and waits for the end. */
export async function stopProcess(running: RunningProcess, signal: NodeJS.Signals): Promise<number | undefined> {
	running.process.kill(signal);
	return running.exited;
}
