/**
Command line of the soak: `npm run soak -- --seed 7 --minutes 2`.

Prints one line of JSON for each seed. Exit codes: 0 all promises kept, 1 one was broken, 2 a wrong flag.
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
		throw new InvalidArgumentError('must be a number above 0');
	}

	return value;
}

type Options = Readonly<{seed: number; seeds: number; minutes: number; gateways: number; callers: number}>;

const program = new Command('soak')
	.description('run gateways under random faults and check what callers and servers see')
	.option('--seed <number>', 'first seed', parseNumber, 1)
	.option('--seeds <count>', 'seeds to play, one after the other', parseNumber, 1)
	.option('--minutes <minutes>', 'time with faults for each seed', parseNumber, 0.5)
	.option('--gateways <count>', 'gateways to start', parseNumber, 3)
	.option('--callers <count>', 'callers that send one request after the other', parseNumber, 12)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : 2); // eslint-disable-line unicorn/no-process-exit
	})
	.action(async ({seed, seeds, minutes, gateways, callers}: Options) => {
		for (let current = seed; current < seed + seeds; current += 1) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const result = await runSoak({
				seed: current, faultsMs: minutes * millisecondsPerMinute, gateways, callers, script: gatewayScript,
			});
			process.stdout.write(`${JSON.stringify(result)}\n`);
			if (result.broken.length > 0) {
				process.exitCode = 1;
			}
		}
	});
await program.parseAsync();
// Connections that were broken on purpose may linger.
process.exit(); // eslint-disable-line unicorn/no-process-exit
