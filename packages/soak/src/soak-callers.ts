/**
Callers of the soak: each keeps a connection to one gateway as long as that works, and notes what it gets.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage} from 'node:http';
import type {Random} from '@currantcross/core/random';
import {formatCallHeaders, hasServerProof} from '@currantcross/standins/platform-caller-standin';
import {
	callDeadlineMs, soakHost, steadyKey, type CallKind,
} from './soak-configuration.js';
import type {SoakGateway} from './soak-gateways.js';

/** One request as its caller saw it. */
export type CallOutcome = Readonly<{
	requestId: string;
	kind: CallKind;
	gateway: SoakGateway;
	key: string;
	sentAt: number;
	endedAt: number;
	/** Missing where no head of an answer came. */
	status: number | undefined;
	hasStamp: boolean;
	retryAfter: string | undefined;
	/** Whether the answer came to its marked end. */
	isComplete: boolean;
	text: string;
	/** Error of a connection that failed. */
	error: string | undefined;
	/** Whether the connection was there before the request. */
	wasConnected: boolean;
	hasLeft: boolean;
}>;

export type SoakCallers = Readonly<{
	stop(): Promise<void>;
}>;

export type SoakCallersHost = Readonly<{
	random: Random;
	gateways: readonly SoakGateway[];
	/** Returns a key that works now. */
	getKey(): string;
	recordOutcome(outcome: CallOutcome): void;
}>;

const longestPauseMs = 120;
/** More than one server holds. */
const archiveTokens = 1_100_000;
const askTokens = 6000;
const leaveShare = 0.05;
const leaveAfterMs = 60;
const kinds: readonly CallKind[] = ['ask', 'ask', 'ask', 'ask', 'book', 'book', 'book', 'look', 'look', 'archive'];
/** Time beyond its time limit after which a caller gives up; a gateway that answers so late has broken its promise. */
const giveUpMarginMs = 2500;

function getPromptTokens(kind: CallKind): number | undefined {
	switch (kind) {
		case 'ask': {
			return askTokens;
		}

		case 'archive': {
			return archiveTokens;
		}

		case 'book':
		case 'look': {
			return undefined;
		}
	}
}

async function readBody(response: IncomingMessage): Promise<Readonly<{text: string; isComplete: boolean}>> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}
	} catch {
		// The connection broke; what came is kept.
		return {text: Buffer.concat(chunks).toString(), isComplete: false};
	}

	return {text: Buffer.concat(chunks).toString(), isComplete: response.complete};
}

/** Starts callers that send requests one after the other until they are stopped. */
export function startSoakCallers(host: SoakCallersHost, count: number): SoakCallers {
	const {random} = host;
	const stopping = new AbortController();
	let requestCount = 0;

	async function call(agent: http.Agent, gateway: SoakGateway): Promise<CallOutcome> {
		requestCount += 1;
		const requestId = `r-${requestCount}`;
		const kind = kinds[random.getInteger(kinds.length)] ?? 'ask';
		const key = random.getFraction() < 0.5 ? steadyKey : host.getKey();
		const sentAt = performance.now();
		const hasLeft = random.getFraction() < leaveShare;
		const request = http.request({
			agent,
			host: '127.0.0.1',
			port: gateway.callerPort,
			method: 'POST',
			path: `/${kind}/${requestId}`,
			headers: formatCallHeaders({
				host: soakHost, requestId, key, remainingMs: callDeadlineMs[kind], promptTokens: getPromptTokens(kind),
			}),
		});
		if (hasLeft) {
			setTimeout(() => {
				request.destroy();
			}, leaveAfterMs);
		}

		const timer = setTimeout(() => {
			request.destroy(new Error('no answer in time'));
		}, callDeadlineMs[kind] + giveUpMarginMs);
		const common = {
			requestId, kind, gateway, key, sentAt, hasLeft,
		};
		try {
			const response = await new Promise<IncomingMessage>((resolve, reject) => {
				request.once('response', resolve);
				request.once('error', reject);
				request.end(requestId);
			});
			const {text, isComplete} = await readBody(response);
			return {
				...common,
				endedAt: performance.now(),
				status: response.statusCode,
				hasStamp: hasServerProof(response.headers),
				retryAfter: response.headers['retry-after'],
				isComplete,
				text,
				error: undefined,
				wasConnected: request.reusedSocket,
			};
		} catch (error) {
			return {
				...common,
				endedAt: performance.now(),
				status: undefined,
				hasStamp: false,
				retryAfter: undefined,
				isComplete: false,
				text: '',
				error: error instanceof Error ? error.message : String(error),
				wasConnected: request.reusedSocket,
			};
		} finally {
			clearTimeout(timer);
		}
	}

	async function keepCalling(): Promise<void> {
		let agent = new http.Agent({keepAlive: true, maxSockets: 1});
		let gateway = host.gateways[random.getInteger(host.gateways.length)];
		while (!stopping.signal.aborted && gateway !== undefined) {
			// eslint-disable-next-line no-await-in-loop -- one request after the other
			const outcome = await call(agent, gateway);
			host.recordOutcome(outcome);
			if (outcome.error !== undefined || !outcome.isComplete) {
				agent.destroy();
				agent = new http.Agent({keepAlive: true, maxSockets: 1});
				gateway = host.gateways[random.getInteger(host.gateways.length)];
			}

			const pauseMs = random.getInteger(longestPauseMs);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, pauseMs);
			});
		}

		agent.destroy();
	}

	const loops = Array.from({length: count}, async () => keepCalling());
	return {
		async stop() {
			stopping.abort();
			await Promise.all(loops);
		},
	};
}
