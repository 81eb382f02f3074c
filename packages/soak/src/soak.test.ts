import {fileURLToPath} from 'node:url';
import {expect, test} from 'vitest';
import {runSoak} from './soak.js';

const script = fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url));

/** Seeds that revealed a bug, each with a description of the bug, and the size and length of the run. */
const seeds: ReadonlyArray<readonly [seed: number, bug: string, gatewayCount: number, faultsMs: number]> = [
	[1, 'prompts larger than the memory of one server were refused if their prefill was fast', 3, 6000],
	[144, 'the byte relay reordered bytes', 3, 6000],
	[524, 'after a restore, the store stand-in wrote an older configuration over a newer one', 3, 6000],
	[6, 'each retry to watch an unreachable gateway leaked an event listener', 3, 6000],
	[9210, 'gateways that followed a reader refused keys while the store answered', 10, 18_000],
];

test.each(seeds)('a soak run with seed %i finds no violation (regression: %s)', async (seed, _, gatewayCount, faultsMs) => {
	const {broken, requests} = await runSoak({
		seed, faultsMs, gatewayCount, callerCount: 8, script,
	});
	expect(broken).toEqual([]);
	expect(requests).toBeGreaterThan(100);
});
