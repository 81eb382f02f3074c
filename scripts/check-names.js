/**
Checks that each function name begins with a verb listed in docs/naming.md. Prints the names that do not, and
exits with status 1 if there are any.
*/
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const namingFile = 'docs/naming.md';

function readVerbs() {
	const rows = readFileSync(namingFile, 'utf8').split('\n').filter(line => line.startsWith('| `'));
	return new Set(rows.flatMap(row => [...row.split('|')[1].matchAll(/`(?<verb>[a-zA-Z]+)`/gv)].map(match => match.groups.verb)));
}

function listSources(directory) {
	return readdirSync(directory, {withFileTypes: true}).flatMap(item => {
		const file = path.join(directory, item.name);
		if (item.isDirectory()) {
			return ['node_modules', 'dist', 'gen'].includes(item.name) ? [] : listSources(file);
		}

		return item.name.endsWith('.ts') && !item.name.endsWith('.test.ts') ? [file] : [];
	});
}

const verbs = [...readVerbs()].toSorted((left, right) => right.length - left.length);

function hasKnownVerb(name) {
	return verbs.some(verb => name === verb || (name.startsWith(verb) && /[A-Z]/v.test(name[verb.length])));
}

const violations = ['packages', 'platform'].flatMap(directory => listSources(directory)).flatMap(file => {
	const text = readFileSync(file, 'utf8');
	const names = [...text.matchAll(/^\s*(?:export )?(?:async )?function \*? ?(?<name>[a-zA-Z]+)/gmv)].map(match => match.groups.name);
	return names.filter(name => !hasKnownVerb(name)).map(name => `${file}: ${name}`);
});

for (const violation of violations) {
	console.error(`${violation}: does not begin with a verb listed in ${namingFile}`);
}

process.exitCode = violations.length > 0 ? 1 : 0;
