/**
Callers of the soak test outside the limits: each sends a body in large or tiny chunks that stops short of its end, stays, disconnects and
comes back to a randomly chosen gateway.
*/
import net from 'node:net';
import type {Random} from '@currantcross/core/random';
import {formatCallHeaders} from '@currantcross/standins/platform-caller-standin';
import {callDeadlineMs, permanentKey, soakHost} from './soak-configuration.js';
import type {SoakGateway} from './soak-gateways.js';

export type SoakOutsideCallers = Readonly<{stop(): void}>;

const callerCount = 4;
const maximumStayMs = 1000;
const largeChunkCharacters = 10_000;
/** Ends below the maximum length of a body. */
const bodies = [
	Array.from({length: 9}, () => `${largeChunkCharacters.toString(16)}\r\n${'x'.repeat(largeChunkCharacters)}\r\n`).join(''),
	'1\r\nx\r\n'.repeat(2000),
] as const;

function getHead(): string {
	// The action would be one that no caller sent: the checks of the runs notice if it runs.
	const headers = formatCallHeaders({
		host: soakHost, requestId: 'r-outside', key: permanentKey, remainingMs: callDeadlineMs.book, promptTokens: undefined,
	});
	return ['POST /book/r-outside HTTP/1.1', 'transfer-encoding: chunked', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n');
}

/** Starts the callers, which go on until they are stopped. */
export function startSoakOutsideCallers(random: Random, gateways: readonly SoakGateway[]): SoakOutsideCallers {
	const stopController = new AbortController();

	async function keepBodyOpen(gateway: SoakGateway): Promise<void> {
		const socket = net.connect(gateway.callerPort, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(`${getHead()}${bodies[random.getInteger(bodies.length)] ?? ''}`);
		const stayMs = random.getInteger(maximumStayMs);
		await new Promise(resolve => {
			setTimeout(resolve, stayMs);
		});
		socket.destroy();
	}

	async function runCaller(): Promise<void> {
		for (;;) {
			const gateway = gateways[random.getInteger(gateways.length)];
			if (gateway === undefined || stopController.signal.aborted) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- one connection after the other
			await keepBodyOpen(gateway);
		}
	}

	for (let index = 0; index < callerCount; index += 1) {
		void runCaller();
	}

	return {
		stop() {
			stopController.abort();
		},
	};
}
