/**
Tests ports that several processes reserve at the same time.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {expect, test} from 'vitest';

const processCount = 4;
/** More than a block. */
const portCount = 60;

const script = `
import {reservePort} from './packages/standins/dist/reserved-ports.js';
const ports = await Promise.all(Array.from({length: ${portCount}}, async () => reservePort()));
console.log(ports.join(' '));
process.stdin.resume();
`;

type ReservingProcess = Readonly<{ports: readonly string[]; end(): void}>;

/** Starts a process that reserves ports, and keeps them until it is ended. */
async function startProcess(): Promise<ReservingProcess> {
	const {stdin, stdout} = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['pipe', 'pipe', 'inherit']});
	const [line] = await once(createInterface({input: stdout}), 'line') as readonly [string]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {
		ports: line.split(' '),
		end() {
			stdin.end();
		},
	};
}

// Guards against gateways that end at their start, since another process has taken a port that was found free (EADDRINUSE).
test('no port is reserved by two of several processes at the same time', async () => {
	const processes = await Promise.all(Array.from({length: processCount}, async () => startProcess()));
	for (const {end} of processes) {
		end();
	}

	expect(new Set(processes.flatMap(({ports}) => ports)).size).toBe(processCount * portCount);
});
