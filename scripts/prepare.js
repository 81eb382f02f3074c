/**
Makes a fresh checkout ready: installs the locked packages and builds, each only where needed.
*/
import {execFileSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import process from 'node:process';

const installedLock = 'node_modules/.package-lock.json';

function run(command, commandArguments) {
	execFileSync(command, commandArguments, {stdio: ['ignore', 'inherit', 'inherit']});
}

function isInstalled() {
	return existsSync(installedLock) && statSync(installedLock).mtimeMs >= statSync('package-lock.json').mtimeMs;
}

if (!isInstalled()) {
	run('npm', ['ci', '--no-audit', '--no-fund']);
}

run(process.execPath, ['node_modules/typescript/bin/tsc', '--build']);
