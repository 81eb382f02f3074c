#!/usr/bin/env node
/**
Benchmarks: prints each figure, and writes them as JSON where asked.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'commander';
import {measureDecisions, type Figure} from './bench-decisions.js';
import {measureActions, measureAllAtRest, measureProcesses} from './bench-processes.js';

type Options = Readonly<{part: 'all' | 'decisions' | 'processes' | 'actions' | 'rest'; json?: string}>;

async function runBenchmarks({part, json}: Options): Promise<void> {
	const figures: Figure[] = [];
	if (part === 'all' || part === 'decisions') {
		figures.push(...measureDecisions());
	}

	if (part === 'all' || part === 'processes') {
		figures.push(...await measureProcesses());
	}

	if (part === 'actions') {
		figures.push(...await measureActions());
	}

	if (part === 'rest') {
		figures.push(...await measureAllAtRest());
	}

	for (const {name, value, unit} of figures) {
		process.stdout.write(`${name}: ${value.toPrecision(4)} ${unit}\n`);
	}

	if (json !== undefined) {
		writeFileSync(json, `${JSON.stringify(figures, undefined, '\t')}\n`);
	}
}

await new Command('bench')
	.description('Measure costs of decisions and processes')
	.addOption(new Option('--part <part>', 'what to measure').choices(['all', 'decisions', 'processes', 'actions', 'rest']).default('all'))
	.option('--json <file>', 'write the figures as JSON')
	.action(runBenchmarks)
	.parseAsync();
