/**
Starts the bundled program, `program.cjs` beside this file, with the code cache that was written when it was bundled. Compiling the
program is most of the work of a start, which takes a small host seconds. V8 compiles the program as usual if the cache is missing,
or of another version or other flags.
*/
import {existsSync, readFileSync} from 'node:fs';
import module from 'node:module';
import path from 'node:path';
import process from 'node:process';
import vm from 'node:vm';

const directory = path.dirname(process.argv[1]);
const file = path.join(directory, 'program.cjs');
const cacheFile = path.join(directory, 'program.cache');
const script = new vm.Script(module.wrap(readFileSync(file, 'utf8')), {
	filename: file,
	cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
const program = {exports: {}};
script.runInThisContext().call(program.exports, program.exports, module.createRequire(file), program, file, directory);
