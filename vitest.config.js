import {fileURLToPath} from 'node:url';
import {configDefaults, defineConfig} from 'vitest/config';

const packages = fileURLToPath(new URL('packages', import.meta.url));
const testFiles = ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'tests/**/*.test.ts'];
/** Tests with callers outside the limits, which run one at a time and apart from other load. */
const outsideCallerFiles = ['packages/*/src/**/outside-callers.process.test.ts', 'platform/src/**/outside-callers.process.test.ts'];

export default defineConfig({
	resolve: {
		alias: [{find: /^@currantcross\/(?<name>[^\/]+)\/(?<module>.+)$/v, replacement: `${packages}/$1/src/$2.ts`}],
	},
	test: {
		testTimeout: 120_000,
		hookTimeout: 120_000,
		projects: [
			{
				extends: true,
				test: {
					name: 'tests',
					include: testFiles,
					exclude: [...configDefaults.exclude, ...outsideCallerFiles],
					// Each process test starts about twenty processes, so few test files run at once.
					maxWorkers: 3,
					sequence: {groupOrder: 0},
				},
			},
			{
				extends: true,
				test: {
					name: 'outside callers',
					include: outsideCallerFiles,
					// A crowd may keep a busy machine for long; no time is judged.
					testTimeout: 300_000,
					maxWorkers: 1,
					fileParallelism: false,
					sequence: {groupOrder: 1},
				},
			},
		],
	},
});
