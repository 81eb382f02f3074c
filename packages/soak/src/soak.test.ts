import {fileURLToPath} from 'node:url';
import {expect, test} from 'vitest';
import {runSoak} from './soak.js';

const script = fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url));

/** Seeds that revealed a bug, each with a description of the bug. */
const seeds: ReadonlyArray<readonly [seed: number, bug: string]> = [
	[1, 'prompts larger than the memory of one server were refused if their prefill was fast'],
	[144, 'the byte relay reordered bytes'],
	[524, 'after a restore, the store stand-in wrote an older configuration over a newer one'],
	[6, 'each retry to watch an unreachable gateway leaked an event listener'],
];

test.each(seeds)('a soak run with seed %i finds no violation (regression: %s)', async seed => {
	const {broken, requests} = await runSoak({
		seed, faultsMs: 6000, gatewayCount: 3, callerCount: 8, script,
	});
	expect(broken).toEqual([]);
	expect(requests).toBeGreaterThan(100);
});
