#!/usr/bin/env node
/**
Measures policies on the workloads of the two deployments, each policy on the same seeds.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {createHasher, type Hasher} from '@currantcross/caller/hasher';
import {defaultRoutingPolicy} from '@currantcross/core/routing';
import {Command, Option} from 'commander';
import {summariseRun, type RunSummary} from './summary.js';
import {formatSummaries} from './summary-table.js';
import {formatSlowdownChart} from './summary-chart.js';
import {
	noRunFaults, runWorkload, type Policy, type RunFaults,
} from './virtual-run.js';
import {
	createGreedyWorkload, createWorkload, deployments, isLongPrompt, type Deployment, type WorkloadName,
} from './workload.js';

const policies: readonly Policy[] = [
	{name: 'round-robin', routing: {kind: 'roundRobin'}, queue: {kind: 'firstCome'}},
	{name: 'least-outstanding', routing: {kind: 'leastOutstanding'}, queue: {kind: 'firstCome'}},
	{name: 'length-aware', routing: defaultRoutingPolicy, queue: {kind: 'byClass'}},
];

type FaultName = 'none' | 'servers-die' | 'reports-cut' | 'data-centre-lost';

type Options = Readonly<{
	workload: WorkloadName;
	policy: string;
	seed: string;
	seeds: string;
	load: string;
	seconds: string;
	fault: FaultName;
	greedy: string;
	unboundedRetries: boolean;
	json?: string;
	svg?: string;
}>;

const millisecondsPerSecond = 1000;

function createFaults(name: FaultName, deployment: Deployment, durationMs: number): RunFaults {
	const dyingAt = durationMs / 3;
	switch (name) {
		case 'none': {
			return noRunFaults;
		}

		case 'servers-die': {
			const count = Math.ceil(deployment.modelServers / 10);
			const deadServers = Array.from({length: count}, (_, index) => ({index, at: dyingAt + (index * 60_000 / count)}));
			return {...noRunFaults, deadServers};
		}

		case 'reports-cut': {
			return {
				...noRunFaults, reportLagMs: 2000, reportsCutFrom: dyingAt, reportsCutUntil: dyingAt + 30_000,
			};
		}

		case 'data-centre-lost': {
			const indexes = Array.from({length: deployment.modelServers}, (_, index) => index).filter(index => index % deployment.dataCentres.length === 0);
			return {...noRunFaults, deadServers: indexes.map(index => ({index, at: dyingAt}))};
		}
	}
}

function measureSeed(policy: Policy, options: Options, seed: number, getHash: Hasher['getHash']): RunSummary {
	const deployment = deployments[options.workload];
	const durationMs = Number(options.seconds) * millisecondsPerSecond;
	const load = Number(options.load);
	const prompts = createGreedyWorkload(createWorkload(deployment, seed, load, durationMs), Number(options.greedy));
	const run = {
		seed, faults: createFaults(options.fault, deployment, durationMs), hasUnboundedRetries: options.unboundedRetries, getHash,
	};
	const result = runWorkload(deployment, policy, prompts, run);
	const alone = runWorkload(deployment, policy, prompts.filter(prompt => !isLongPrompt(prompt)), run);
	return summariseRun(result, alone, {policy: policy.name, seed, load});
}

async function measure(options: Options): Promise<void> {
	const {getHash} = await createHasher();
	const chosen = policies.filter(policy => options.policy === 'all' || policy.name === options.policy);
	const first = Number(options.seed);
	const seeds = Array.from({length: Number(options.seeds)}, (_, index) => first + index);
	const summaries = chosen.flatMap(policy => seeds.map(seed => measureSeed(policy, options, seed, getHash)));
	process.stdout.write(formatSummaries(summaries));
	if (options.json !== undefined) {
		writeFileSync(options.json, `${JSON.stringify({options, summaries}, undefined, '\t')}\n`);
	}

	if (options.svg !== undefined) {
		writeFileSync(options.svg, formatSlowdownChart(summaries));
	}
}

await new Command('measure')
	.description('Measure policies in virtual time')
	.addOption(new Option('--workload <name>', 'deployment and workload').choices(['rivebasse', 'skarvig']).default('rivebasse'))
	.addOption(new Option('--policy <name>', 'policy').choices(['all', ...policies.map(policy => policy.name)]).default('all'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <count>', 'how many seeds from the first', '1')
	.option('--load <share>', 'share of the pool that the workload needs', '0.7')
	.option('--seconds <number>', 'length of the run in virtual time', '240')
	.addOption(new Option('--fault <name>', 'fault during the run').choices(['none', 'servers-die', 'reports-cut', 'data-centre-lost']).default('none'))
	.option('--greedy <factor>', 'how often the first organisation sends each of its prompts', '1')
	.option('--unbounded-retries', 'retry without a budget', false)
	.option('--json <file>', 'write the figures as JSON')
	.option('--svg <file>', 'write a picture')
	.action(measure)
	.parseAsync();
