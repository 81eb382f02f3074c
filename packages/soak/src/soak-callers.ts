/**
Callers of the soak test: each one keeps its connection to a gateway until a request fails on it, then connects to a
randomly chosen gateway. Every outcome is recorded.
*/
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage} from 'node:http';
import type {Random} from '@currantcross/core/random';
import {formatCallHeaders, hasResponseStamp} from '@currantcross/standins/platform-caller-standin';
import {
	callDeadlineMs, crashSegment, soakHost, permanentKey, type CallKind,
} from './soak-configuration.js';
import type {SoakGateway} from './soak-gateways.js';

/** Outcome of one request as its caller observed it. */
export type CallOutcome = Readonly<{
	requestId: string;
	kind: CallKind;
	/** Whether servers crash on the request's prompt. */
	isCrashing: boolean;
	gateway: SoakGateway;
	key: string;
	sentAt: number;
	endedAt: number;
	/** Missing if no response head was received. */
	status: number | undefined;
	hasResponseStamp: boolean;
	retryAfter: string | undefined;
	/** Whether the body was received to the end that its HTTP framing marks. */
	isComplete: boolean;
	text: string;
	/** Message of the error if the connection failed before a response head was received. */
	error: string | undefined;
	/** Whether the request was sent on a connection that an earlier request had opened. */
	isConnectionReused: boolean;
	/** Whether the caller disconnects after `disconnectAfterMs` unless the request has ended by then. */
	shouldDisconnect: boolean;
}>;

export type SoakCallers = Readonly<{
	/** Stops sending requests and waits for those that are open. */
	stop(): Promise<void>;
}>;

export type SoakCallersContext = Readonly<{
	random: Random;
	/** Draws the segments of prompts. A generator of its own keeps the requests of a seed as they are. */
	segmentRandom: Random;
	gateways: readonly SoakGateway[];
	/** Returns whether callers send prompts with the crash segment. */
	areCrashesActive(): boolean;
	/** Returns a key that is not revoked. */
	getKey(): string;
	recordOutcome(outcome: CallOutcome): void;
}>;

const maximumPauseMs = 120;
/** Exceeds the memory of one model server, which is 1,000,000 tokens. */
const archiveTokens = 1_100_000;
const askTokens = 6000;
/** Share of the requests whose callers disconnect early. */
const disconnectShare = 0.05;
const disconnectAfterMs = 60;
/** Share of the prompts with the crash segment while it is in use. */
const crashShare = 0.06;
const sharedSegmentCount = 5;
/** Kinds from which one is drawn for each request; a kind is weighted by the number of its occurrences. */
const weightedKinds: readonly CallKind[] = ['ask', 'ask', 'ask', 'ask', 'book', 'book', 'book', 'look', 'look', 'archive'];
/** Time after its deadline at which a caller gives up; a response as late as this is a violation in any case. */
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

/** Returns the segments of a prompt; those of prompts with and without the crash segment are shared. */
function drawSegments(random: Random, requestId: string, isCrashing: boolean): string {
	const shared = ['aa:40', `b${random.getInteger(sharedSegmentCount)}:500`, ...(isCrashing ? [`${crashSegment}:300`] : [])];
	return [...shared, `${Buffer.from(requestId).toString('hex')}:100`].join(',');
}

async function readBody(response: IncomingMessage): Promise<Readonly<{text: string; isComplete: boolean}>> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}
	} catch {
		// The connection broke; the bytes received so far are kept.
		return {text: Buffer.concat(chunks).toString(), isComplete: false};
	}

	return {text: Buffer.concat(chunks).toString(), isComplete: response.complete};
}

/** Starts callers that send requests sequentially until they are stopped. */
export function startSoakCallers(context: SoakCallersContext, count: number): SoakCallers {
	const {random} = context;
	const stopController = new AbortController();
	let requestCount = 0;

	async function call(agent: http.Agent, gateway: SoakGateway): Promise<CallOutcome> {
		requestCount += 1;
		const requestId = `r-${requestCount}`;
		const kind = weightedKinds[random.getInteger(weightedKinds.length)] ?? 'ask';
		const isCrashing = kind === 'ask' && context.segmentRandom.getFraction() < crashShare && context.areCrashesActive();
		const key = random.getFraction() < 0.5 ? permanentKey : context.getKey();
		const sentAt = performance.now();
		const shouldDisconnect = random.getFraction() < disconnectShare;
		const request = http.request({
			agent,
			host: '127.0.0.1',
			port: gateway.callerPort,
			method: 'POST',
			path: `/${kind}/${requestId}`,
			headers: formatCallHeaders({
				host: soakHost, requestId, key, remainingMs: callDeadlineMs[kind], promptTokens: getPromptTokens(kind),
				segments: drawSegments(context.segmentRandom, requestId, isCrashing),
			}),
		});
		if (shouldDisconnect) {
			setTimeout(() => {
				request.destroy();
			}, disconnectAfterMs);
		}

		const timer = setTimeout(() => {
			request.destroy(new Error('no complete response within the deadline and its margin'));
		}, callDeadlineMs[kind] + giveUpMarginMs);
		const commonFields = {
			requestId, kind, isCrashing, gateway, key, sentAt, shouldDisconnect,
		};
		try {
			const response = await new Promise<IncomingMessage>((resolve, reject) => {
				request.once('response', resolve);
				request.once('error', reject);
				request.end(requestId);
			});
			const {text, isComplete} = await readBody(response);
			return {
				...commonFields,
				endedAt: performance.now(),
				status: response.statusCode,
				hasResponseStamp: hasResponseStamp(response.headers),
				retryAfter: response.headers['retry-after'],
				isComplete,
				text,
				error: undefined,
				isConnectionReused: request.reusedSocket,
			};
		} catch (error) {
			return {
				...commonFields,
				endedAt: performance.now(),
				status: undefined,
				hasResponseStamp: false,
				retryAfter: undefined,
				isComplete: false,
				text: '',
				error: error instanceof Error ? error.message : String(error),
				isConnectionReused: request.reusedSocket,
			};
		} finally {
			clearTimeout(timer);
		}
	}

	async function runCaller(): Promise<void> {
		let agent = new http.Agent({keepAlive: true, maxSockets: 1});
		let gateway = context.gateways[random.getInteger(context.gateways.length)];
		while (!stopController.signal.aborted && gateway !== undefined) {
			// eslint-disable-next-line no-await-in-loop -- requests are sent sequentially
			const outcome = await call(agent, gateway);
			context.recordOutcome(outcome);
			if (outcome.error !== undefined || !outcome.isComplete) {
				agent.destroy();
				agent = new http.Agent({keepAlive: true, maxSockets: 1});
				gateway = context.gateways[random.getInteger(context.gateways.length)];
			}

			const pauseMs = random.getInteger(maximumPauseMs);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, pauseMs);
			});
		}

		agent.destroy();
	}

	const callers = Array.from({length: count}, async () => runCaller());
	return {
		async stop() {
			stopController.abort();
			await Promise.all(callers);
		},
	};
}
