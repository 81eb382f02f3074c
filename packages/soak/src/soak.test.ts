import {fileURLToPath} from 'node:url';
import {expect, test} from 'vitest';
import {runSoak} from './soak.js';

const script = fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url));

/** Seeds that once failed, each with its cause. */
const seeds: ReadonlyArray<readonly [seed: number, cause: string]> = [
	[1, 'prompts beyond one server were refused where they are read fast'],
	[144, 'bytes overtook each other in the relay of the soak'],
	[6, 'each retry to follow a lost gateway left a listener behind'],
];

test.each(seeds)('seed %i keeps all promises (once: %s)', async seed => {
	const {broken, requests} = await runSoak({
		seed, faultsMs: 6000, gateways: 3, callers: 8, script,
	});
	expect(broken).toEqual([]);
	expect(requests).toBeGreaterThan(100);
});
