/**
Command line of the soak test: `npm run soak -- --seed 7 --minutes 2`.

Prints one line of JSON for each seed. Exit codes: 0 no violation was found, 1 a violation was found, 2 invalid arguments.
*/
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Command, InvalidArgumentError} from 'commander';
import {runSoak} from './soak.js';

const gatewayScript = fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url));
const millisecondsPerMinute = 60_000;

function parseNumber(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		throw new InvalidArgumentError('must be a number greater than 0');
	}

	return value;
}

type Options = Readonly<{seed: number; seeds: number; minutes: number; gateways: number; callers: number}>;

const program = new Command('soak')
	.description('run gateways under random faults and check the requests and responses that callers and servers observe')
	.option('--seed <number>', 'first seed', parseNumber, 1)
	.option('--seeds <count>', 'number of consecutive seeds to run', parseNumber, 1)
	.option('--minutes <minutes>', 'duration of fault injection for each seed', parseNumber, 0.5)
	.option('--gateways <count>', 'number of gateways to start', parseNumber, 3)
	.option('--callers <count>', 'number of callers, each of which sends requests sequentially', parseNumber, 12)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : 2); // eslint-disable-line unicorn/no-process-exit
	})
	.action(async ({seed, seeds, minutes, gateways, callers}: Options) => {
		for (let current = seed; current < seed + seeds; current += 1) {
			// eslint-disable-next-line no-await-in-loop -- seeds run sequentially
			const result = await runSoak({
				seed: current, faultsMs: minutes * millisecondsPerMinute, gatewayCount: gateways, callerCount: callers, script: gatewayScript,
			});
			process.stdout.write(`${JSON.stringify(result)}\n`);
			if (result.broken.length > 0) {
				process.exitCode = 1;
			}
		}
	});
await program.parseAsync();
// Connections that were broken by faults may still be open and would keep the process alive.
process.exit(); // eslint-disable-line unicorn/no-process-exit
