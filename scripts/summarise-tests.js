/**
Reads vitest's JSON report, passes over the tests that KNOWN-RED.txt names and prints them, and ends with the line
`N passed, N failed`. Exits with 1 when another test failed, or when none ran.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile, knownRedFile] = process.argv.slice(2);

/** Returns the full names of tests that are known to fail: the lines that start with `test: `. */
function readKnownRed() {
	const lines = readFileSync(knownRedFile, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const knownRed = readKnownRed();
const results = report.testResults.flatMap(file => file.assertionResults);
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0);
const passed = results.filter(result => result.status === 'passed');
const failed = results.filter(result => result.status === 'failed');
const excused = failed.filter(result => knownRed.has(result.fullName));
for (const result of excused) {
	console.log(`known red: ${result.fullName}`);
}

for (const file of brokenFiles) {
	console.log(`broken test file: ${file.name}`);
}

const failureCount = failed.length - excused.length + brokenFiles.length;
console.log(`${passed.length} passed, ${failureCount} failed`);
process.exitCode = failureCount > 0 || passed.length === 0 ? 1 : 0;
