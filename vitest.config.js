import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const packages = fileURLToPath(new URL('packages', import.meta.url));

export default defineConfig({
	resolve: {
		alias: [{find: /^@currantcross\/(?<name>[^\/]+)\/(?<module>.+)$/v, replacement: `${packages}/$1/src/$2.ts`}],
	},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'tests/**/*.test.ts'],
		testTimeout: 120_000,
		hookTimeout: 120_000,
		// Each process test starts about twenty processes, so few test files run at once.
		maxWorkers: 3,
	},
});
