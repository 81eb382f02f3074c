/**
Bundles the deployed program as a single file, which starts faster than hundreds of modules, with its code cache and the launcher that
uses both. The cache is left out if the program doesn't run on this host; it then starts without.
*/
import {spawnSync} from 'node:child_process';
import {readFileSync, rmSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const programFile = 'target/program.cjs';
const cacheFile = 'target/program.cache';
const settingsFile = 'target/code-cache-settings.json';
/** Longest time for which the program may take to write the cache. */
const timeoutMs = 60_000;

const common = {
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	conditions: ['source'],
	logLevel: 'warning',
};

/** Settings of a gateway that finds no store and uses free ports of loopback. */
const settings = {
	name: 'bundle',
	dataCentre: 'none',
	callerAddress: '127.0.0.1:0',
	readinessAddress: '127.0.0.1:0',
	peerAddress: '127.0.0.1:0',
	metricsAddress: '127.0.0.1:0',
	platformAddress: '127.0.0.1:9',
	graceMs: 1000,
	retries: {
		ratio: 0, fixedSends: 0, windowMs: 1000,
	},
};

/** Returns the flags with which the deploy file runs the program. */
function getFlags() {
	const [, flags = ''] = /^run = "node (?<flags>(?:--\S+ )*)target\//mv.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
	return flags.split(' ').filter(flag => flag !== '');
}

await build({
	...common, entryPoints: {program: 'platform/src/main.ts'}, minifyWhitespace: true, minifySyntax: true,
});
await build({...common, entryPoints: {currantcross: 'scripts/launch-program.js'}});
rmSync(cacheFile, {force: true});
writeFileSync(settingsFile, JSON.stringify(settings));
const programArguments = ['gateway', '--settings', settingsFile];
const {status, error} = spawnSync(process.execPath, [...getFlags(), 'scripts/write-code-cache.js', programFile, cacheFile, ...programArguments], {
	stdio: ['ignore', 'ignore', 'inherit'],
	timeout: timeoutMs,
});
rmSync(settingsFile);
if (status !== 0) {
	console.warn(`no code cache was written: ${error?.message ?? `status ${status}`}`);
}
