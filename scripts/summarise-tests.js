/**
Summarises Vitest's JSON report. Known failures, which KNOWN-RED.txt lists, are printed and not counted. The last line of
output is `N passed, N failed`. Exits with status 1 if any other test failed, or if no test passed.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile, knownFailuresFile] = process.argv.slice(2);

/** Reads the full names of the tests that are known to fail, from the lines that start with `test: `. */
function readKnownFailures() {
	const lines = readFileSync(knownFailuresFile, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const knownFailures = readKnownFailures();
const results = report.testResults.flatMap(file => file.assertionResults);
// Test files that failed without a result for any test, for example because an import failed.
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0);
const passed = results.filter(result => result.status === 'passed');
const failed = results.filter(result => result.status === 'failed');
const expectedFailures = failed.filter(result => knownFailures.has(result.fullName));
for (const result of expectedFailures) {
	console.log(`known red: ${result.fullName}`);
}

for (const file of brokenFiles) {
	console.log(`broken test file: ${file.name}`);
}

const failureCount = failed.length - expectedFailures.length + brokenFiles.length;
console.log(`${passed.length} passed, ${failureCount} failed`);
process.exitCode = failureCount > 0 || passed.length === 0 ? 1 : 0;
