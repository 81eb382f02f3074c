#!/usr/bin/env node
/**
Runs one stand-in as a process of its own, and prints the port on which it listens.
*/
import process from 'node:process';
import {Command} from 'commander';
import {startBusinessStandin} from './business-standin.js';
import {defaultEngineModelSettings} from './engine-model.js';
import {startModelServerStandin} from './model-server-standin.js';
import {startPlatformStandin} from './object-api-standin.js';

const program = new Command('currantcross-standin').description('Stand-ins of outside systems, for tests and the demo');

function report(port: number): void {
	process.stdout.write(`${JSON.stringify({port})}\n`);
}

program.command('platform').description('the object API and the host list')
	.option('--port <number>', 'port to listen on', '0')
	.action(async ({port}: {port: string}) => {
		const standin = await startPlatformStandin('127.0.0.1', Number(port));
		report(standin.port);
	});

program.command('business').description('a business service')
	.option('--port <number>', 'port to listen on', '0')
	.action(async ({port}: {port: string}) => {
		const standin = await startBusinessStandin('127.0.0.1', Number(port));
		report(standin.port);
	});

program.command('model').description('a model server')
	.option('--port <number>', 'port to listen on', '0')
	.option('--time-scale <factor>', 'factor on all times', '1')
	.option('--memory-tokens <count>', 'memory of the engine', String(defaultEngineModelSettings.memoryTokens))
	.option('--maximum-sequences <count>', 'prompts that the engine works on at once', String(defaultEngineModelSettings.maximumSequences))
	.option('--checks-fencing', 'refuse orders with an old fencing number', false)
	.action(async (options: {port: string; timeScale: string; memoryTokens: string; maximumSequences: string; checksFencing: boolean}) => {
		const standin = await startModelServerStandin({
			host: '127.0.0.1',
			port: Number(options.port),
			model: {...defaultEngineModelSettings, memoryTokens: Number(options.memoryTokens), maximumSequences: Number(options.maximumSequences)},
			timeScale: Number(options.timeScale),
			reportLagMs: 500,
			checksFencing: options.checksFencing,
		});
		report(standin.port);
	});

await program.parseAsync();
