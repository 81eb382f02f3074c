#!/usr/bin/env node
/**
Runs one stand-in as a process and prints the port on which it listens as a line of JSON.
*/
import process from 'node:process';
import {Command} from 'commander';
import {startBusinessStandin} from './business-standin.js';
import {defaultEngineModelSettings} from './engine-model.js';
import {startModelServerStandin} from './model-server-standin.js';
import {startObjectApiStandin} from './object-api-standin.js';

const program = new Command('currantcross-standin').description('Stand-ins for external systems, for tests and the demo');

function printPort(port: number): void {
	process.stdout.write(`${JSON.stringify({port})}\n`);
}

program.command('platform').description('run the object API and the host list')
	.option('--port <number>', 'port to listen on', '0')
	.action(async ({port}: {port: string}) => {
		const standin = await startObjectApiStandin('127.0.0.1', Number(port));
		printPort(standin.port);
	});

program.command('business').description('run a business service')
	.option('--port <number>', 'port to listen on', '0')
	.action(async ({port}: {port: string}) => {
		const standin = await startBusinessStandin('127.0.0.1', Number(port));
		printPort(standin.port);
	});

program.command('model').description('run a model server')
	.option('--port <number>', 'port to listen on', '0')
	.option('--time-scale <factor>', 'factor applied to all durations', '1')
	.option('--memory-tokens <count>', 'memory of the engine, in tokens', String(defaultEngineModelSettings.memoryTokens))
	.option('--maximum-sequences <count>', 'maximum number of sequences that the engine runs concurrently', String(defaultEngineModelSettings.maximumSequences))
	.option('--checks-fencing', 'refuse orders with a lower fencing number than the last one', false)
	.action(async (options: {port: string; timeScale: string; memoryTokens: string; maximumSequences: string; checksFencing: boolean}) => {
		const standin = await startModelServerStandin({
			host: '127.0.0.1',
			port: Number(options.port),
			model: {...defaultEngineModelSettings, memoryTokens: Number(options.memoryTokens), maximumSequences: Number(options.maximumSequences)},
			timeScale: Number(options.timeScale),
			reportLagMs: 500,
			checksFencing: options.checksFencing,
		});
		printPort(standin.port);
	});

await program.parseAsync();
