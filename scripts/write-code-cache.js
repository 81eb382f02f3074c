/**
Writes the code cache of a bundled program: runs the program for a moment, so that the cache also has the functions that a start calls,
and ends the process. Usage: `node FLAGS write-code-cache.js PROGRAM CACHE ARGUMENTS`, with the flags with which the program will run,
since V8 refuses a cache that was written with others.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import module from 'node:module';
import path from 'node:path';
import process from 'node:process';
import vm from 'node:vm';

/** Time for which the program runs. */
const runMs = 1500;

const [node, , programPath, cacheFile, ...programArguments] = process.argv;
const file = path.resolve(programPath);
const script = new vm.Script(module.wrap(readFileSync(file, 'utf8')), {filename: file});
process.argv = [node, file, ...programArguments];
const program = {exports: {}};
script.runInThisContext().call(program.exports, program.exports, module.createRequire(file), program, file, path.dirname(file));
setTimeout(() => {
	writeFileSync(cacheFile, script.createCachedData());
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}, runMs);
