#!/usr/bin/env node
/**
Command that compares scheduling policies in simulation, on the same seeds of a deployment's workload.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {createHasher, type Hasher} from '@currantcross/caller/hasher';
import {defaultRoutingPolicy} from '@currantcross/core/routing';
import {Command, Option} from 'commander';
import {summariseRun, type RunSummary} from './summary.js';
import {formatSummaries} from './summary-table.js';
import {formatFirstTokenChart} from './summary-chart.js';
import {
	noFaults, runSimulation, type Policy, type FaultSchedule,
} from './simulation.js';
import {
	createGreedyWorkload, createWorkload, deployments, isLongPrompt, type DeploymentProfile, type WorkloadName,
} from './workload.js';

const policies: readonly Policy[] = [
	{name: 'round-robin', routing: {kind: 'roundRobin'}, queue: {kind: 'firstCome'}},
	{name: 'least-outstanding', routing: {kind: 'leastOutstanding'}, queue: {kind: 'firstCome'}},
	{name: 'length-aware', routing: defaultRoutingPolicy, queue: {kind: 'byClass'}},
];

type FaultName = 'none' | 'servers-die' | 'reports-cut' | 'data-centre-lost';

type MeasureOptions = Readonly<{
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

function createFaultSchedule(name: FaultName, deployment: DeploymentProfile, durationMs: number): FaultSchedule {
	const faultStartsAt = durationMs / 3;
	switch (name) {
		case 'none': {
			return noFaults;
		}

		case 'servers-die': {
			const count = Math.ceil(deployment.modelServerCount / 10);
			const serverCrashes = Array.from({length: count}, (_, index) => ({index, at: faultStartsAt + (index * 60_000 / count)}));
			return {...noFaults, serverCrashes};
		}

		case 'reports-cut': {
			return {
				...noFaults, reportDelayMs: 2000, reportOutageFrom: faultStartsAt, reportOutageUntil: faultStartsAt + 30_000,
			};
		}

		case 'data-centre-lost': {
			const serverIndexes = Array.from({length: deployment.modelServerCount}, (_, index) => index).filter(index => index % deployment.dataCentres.length === 0);
			return {...noFaults, serverCrashes: serverIndexes.map(index => ({index, at: faultStartsAt}))};
		}
	}
}

function measureSeed(policy: Policy, options: MeasureOptions, seed: number, getHash: Hasher['getHash']): RunSummary {
	const deployment = deployments[options.workload];
	const durationMs = Number(options.seconds) * millisecondsPerSecond;
	const load = Number(options.load);
	const prompts = createGreedyWorkload(createWorkload(deployment, seed, load, durationMs), Number(options.greedy));
	const simulationOptions = {
		seed, faults: createFaultSchedule(options.fault, deployment, durationMs), hasUnboundedRetries: options.unboundedRetries, getHash,
	};
	const result = runSimulation(deployment, policy, prompts, simulationOptions);
	const baseline = runSimulation(deployment, policy, prompts.filter(prompt => !isLongPrompt(prompt)), simulationOptions);
	return summariseRun(result, baseline, {policy: policy.name, seed, load});
}

async function measure(options: MeasureOptions): Promise<void> {
	const {getHash} = await createHasher();
	const selectedPolicies = policies.filter(policy => options.policy === 'all' || policy.name === options.policy);
	const firstSeed = Number(options.seed);
	const seeds = Array.from({length: Number(options.seeds)}, (_, index) => firstSeed + index);
	const summaries = selectedPolicies.flatMap(policy => seeds.map(seed => measureSeed(policy, options, seed, getHash)));
	process.stdout.write(formatSummaries(summaries));
	if (options.json !== undefined) {
		writeFileSync(options.json, `${JSON.stringify({options, summaries}, undefined, '\t')}\n`);
	}

	if (options.svg !== undefined) {
		writeFileSync(options.svg, formatFirstTokenChart(summaries));
	}
}

await new Command('measure')
	.description('Compare scheduling policies in simulation')
	.addOption(new Option('--workload <name>', 'deployment whose workload is simulated').choices(['rivebasse', 'skarvig']).default('rivebasse'))
	.addOption(new Option('--policy <name>', 'scheduling policy').choices(['all', ...policies.map(policy => policy.name)]).default('all'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <count>', 'number of consecutive seeds', '1')
	.option('--load <share>', 'offered load as a share of the capacity of all servers', '0.7')
	.option('--seconds <number>', 'duration of the workload in virtual time', '240')
	.addOption(new Option('--fault <name>', 'fault to inject').choices(['none', 'servers-die', 'reports-cut', 'data-centre-lost']).default('none'))
	.option('--greedy <factor>', 'number of times the first organisation sends each of its prompts', '1')
	.option('--unbounded-retries', 'disable the retry budget', false)
	.option('--json <file>', 'write the results as JSON')
	.option('--svg <file>', 'write a chart of the time to the first token as SVG')
	.action(measure)
	.parseAsync();
