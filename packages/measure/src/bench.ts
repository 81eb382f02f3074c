#!/usr/bin/env node
/**
Command that runs the benchmarks, prints the results and optionally writes them as JSON.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'commander';
import {measureDecisionLogic, type BenchmarkResult} from './bench-decisions.js';
import {measureActions, measureAllIdleUsage, measureProcesses} from './bench-processes.js';

type BenchmarkOptions = Readonly<{part: 'all' | 'decisions' | 'processes' | 'actions' | 'rest'; json?: string}>;

async function runBenchmarks({part, json}: BenchmarkOptions): Promise<void> {
	const results: BenchmarkResult[] = [];
	if (part === 'all' || part === 'decisions') {
		results.push(...measureDecisionLogic());
	}

	if (part === 'all' || part === 'processes') {
		results.push(...await measureProcesses());
	}

	if (part === 'actions') {
		results.push(...await measureActions());
	}

	if (part === 'rest') {
		results.push(...await measureAllIdleUsage());
	}

	for (const {name, value, unit} of results) {
		process.stdout.write(`${name}: ${value.toPrecision(4)} ${unit}\n`);
	}

	if (json !== undefined) {
		writeFileSync(json, `${JSON.stringify(results, undefined, '\t')}\n`);
	}
}

await new Command('bench')
	.description('Run benchmarks of the decision logic and of a deployment of real processes')
	.addOption(new Option('--part <part>', 'benchmarks to run').choices(['all', 'decisions', 'processes', 'actions', 'rest']).default('all'))
	.option('--json <file>', 'write the results as JSON')
	.action(runBenchmarks)
	.parseAsync();
