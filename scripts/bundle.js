/**
Bundles the deployed program as a single file, which starts faster than hundreds of modules.
*/
import {build} from 'esbuild';

await build({
	entryPoints: {currantcross: 'platform/src/main.ts'},
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	conditions: ['source'],
	logLevel: 'warning',
});
