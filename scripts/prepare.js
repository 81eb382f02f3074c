/**
Prepares a checkout for use: installs the locked dependencies unless they are up to date, and builds incrementally.
*/
import {execFileSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import process from 'node:process';

/** The lock file that npm writes on installation; newer than package-lock.json if the installation is up to date. */
const installedLockFile = 'node_modules/.package-lock.json';

function run(command, commandArguments) {
	execFileSync(command, commandArguments, {stdio: ['ignore', 'inherit', 'inherit']});
}

function isInstalled() {
	return existsSync(installedLockFile) && statSync(installedLockFile).mtimeMs >= statSync('package-lock.json').mtimeMs;
}

if (!isInstalled()) {
	run('npm', ['ci', '--no-audit', '--no-fund']);
}

run(process.execPath, ['node_modules/typescript/bin/tsc', '--build']);
