#!/usr/bin/env node
/**
Command line of `currantcross`: runs the daemons, validates settings files, and offers the operator commands.

Exit codes: 0 success, 1 failure, 2 invalid flag, file, setting or ticket.
*/
import process from 'node:process';
import {getErrorText} from '@currantcross/core/error-text';
import {addOperatorCommands} from '@currantcross/operator/commands';
import {exitCodes, UsageError} from '@currantcross/operator/usage-error';
import {Command, CommanderError} from 'commander';
import {startAgentDaemon} from './agent-daemon.js';
import type {Daemon} from './daemon.js';
import {startEntryDaemon} from './entry-daemon.js';
import {readSettings, type AgentDaemonSettings, type EntryDaemonSettings} from './settings.js';

function createRoleError(file: string, expected: string, actual: string): UsageError {
	return new UsageError(`${file}: role: must be ${expected}, not ${actual}`);
}

function readEntrySettings(file: string): EntryDaemonSettings {
	const settings = readSettings(file);
	if (settings.role !== 'entry') {
		throw createRoleError(file, 'entry', settings.role);
	}

	return settings;
}

function readAgentSettings(file: string): AgentDaemonSettings {
	const settings = readSettings(file);
	if (settings.role !== 'agent') {
		throw createRoleError(file, 'agent', settings.role);
	}

	return settings;
}

/** Prints the daemon's ports as one line of JSON, and stops it gracefully on the first SIGTERM or SIGINT. */
function runUntilSignal(daemon: Daemon): void {
	process.stdout.write(`${JSON.stringify(daemon.ports)}\n`);
	let isStopping = false;
	async function stop(): Promise<void> {
		if (isStopping) {
			return;
		}

		isStopping = true;
		await daemon.stop();
		process.exit(exitCodes.success);
	}

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}
}

function createProgram(): Command {
	const program = new Command('currantcross')
		.description('Serving layer for prompts whose lengths differ widely')
		.addHelpText('after', '\nExit codes: 0 success, 1 failure, 2 a wrong flag, file, setting or ticket.')
		.configureHelp({showGlobalOptions: true});
	program.command('entry').description('run an entry, which serves callers')
		.requiredOption('--settings <file>', 'settings in JSON')
		.action(async ({settings}: {settings: string}) => {
			runUntilSignal(await startEntryDaemon(readEntrySettings(settings)));
		});
	program.command('agent').description('run an agent, beside a server')
		.requiredOption('--settings <file>', 'settings in JSON')
		.action(async ({settings}: {settings: string}) => {
			runUntilSignal(await startAgentDaemon(readAgentSettings(settings)));
		});
	program.command('settings').description('check settings').command('check')
		.description('check a settings file without starting anything')
		.argument('<file>', 'settings in JSON')
		.option('--role <role>', 'entry or agent; taken from the file when left out')
		.action((file: string, {role}: {role?: string}) => {
			const settings = readSettings(file);
			if (role !== undefined && role !== settings.role) {
				throw createRoleError(file, role, settings.role);
			}

			process.stdout.write(`${file}: valid settings of the ${settings.role} ${settings.name}\n`);
		});
	addOperatorCommands(program);
	return program;
}

/** Makes a command and all its subcommands throw a `CommanderError` instead of exiting the process. */
function addExitOverrides(command: Command): void {
	command.exitOverride();
	for (const child of command.commands) {
		addExitOverrides(child);
	}
}

function getExitCode(error: unknown): number {
	if (error instanceof CommanderError) {
		return error.exitCode === 0 ? exitCodes.success : exitCodes.usage;
	}

	process.stderr.write(`currantcross: ${getErrorText(error)}\n`);
	return error instanceof UsageError ? exitCodes.usage : exitCodes.failure;
}

try {
	const program = createProgram();
	addExitOverrides(program);
	await program.parseAsync();
} catch (error) {
	process.exitCode = getExitCode(error);
}
