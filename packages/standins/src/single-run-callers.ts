/**
Callers whose requests may run once. They repeat what was answered as not run, with a new id on a new connection, and nothing else.
*/
import http, {type ClientRequest, type IncomingHttpHeaders} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {createRandom, type Random} from '@currantcross/core/random';
import {formatCallHeaders} from './platform-caller-standin.js';
import {
	fateHeader, streamPrefix, type RequestFate, type Trouble,
} from './single-run-messages.js';

/** How a caller sends the body of its request. */
export type BodyForm = 'whole' | 'parts' | 'chunked' | 'continue';

export type CallerSettings = Readonly<{
	seed: number;
	durationMs: number;
	actionsPerSecond: number;
	/** Troubles that requests meet, each equally often. */
	troubles: readonly Trouble[];
	/** Share of the requests that meet a trouble. */
	troubledShare: number;
	/** Share of the requests that a server refuses and doesn't run. */
	refusedShare: number;
	/** Share of the actions that use a kept connection first. */
	keptShare: number;
	bodyForms: readonly BodyForm[];
	/** Share of the actions that have the ids of the action before. */
	sharedIdShare: number;
}>;

/** One request of an action. */
export type Attempt = Readonly<{
	key: string;
	action: number;
	address: string;
	fate: RequestFate;
	/** Status of the response, `undefined` if the connection ended or the time was over before its head. */
	status: number | undefined;
	/** Whether the response came whole. */
	isComplete: boolean;
	sentAt: number;
	endedAt: number;
}>;

type Answer = Readonly<{status: number | undefined; isComplete: boolean; retryAfterMs: number | undefined}>;

type AttemptHead = Readonly<{key: string; requestId: string; remainingMs: number; isFirst: boolean; fate: RequestFate}>;

type Action = Readonly<{number: number; idNumber: number; isStream: boolean; isKept: boolean; bodyForm: BodyForm; fates: readonly RequestFate[]; addressFractions: readonly number[]}>;

/** Statuses that promise that a request has not run. */
export const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const maximumAttempts = 3;
const patienceMs = 3000;
/** Least time for which a request is repeated. */
const shortestPatienceMs = 100;
const usualRetryMs = 20;
/** Time between two looks at how many actions are due. */
const stepMs = 5;
/** Each so many-th action has a stream as its answer. */
const streamInterval = 3;
const bodyParts = ['first,', 'second,', 'third'];
const partPauseMs = 5;

function drawFate(random: Random, {troubles, troubledShare, refusedShare}: CallerSettings): RequestFate {
	const fraction = random.getFraction();
	const trouble = troubles[random.getInteger(Math.max(1, troubles.length))];
	if (fraction < refusedShare) {
		return {kind: 'refuse'};
	}

	return fraction < refusedShare + troubledShare && trouble !== undefined ? {kind: 'trouble', trouble} : {kind: 'serve'};
}

/** Draws all that an action may need at once, so that it doesn't depend on when others end. */
function drawAction(number: number, random: Random, settings: CallerSettings): Action {
	return {
		number,
		idNumber: random.getFraction() < settings.sharedIdShare ? number - 1 : number,
		isStream: number % streamInterval === 0,
		isKept: random.getFraction() < settings.keptShare,
		bodyForm: settings.bodyForms[random.getInteger(settings.bodyForms.length)] ?? 'whole',
		fates: Array.from({length: maximumAttempts}, () => drawFate(random, settings)),
		addressFractions: Array.from({length: maximumAttempts}, () => random.getFraction()),
	};
}

function parseRetryAfter(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after'] ?? Number.NaN);
	return Number.isFinite(seconds) ? seconds * 1000 : undefined;
}

async function writeParts(outgoing: ClientRequest): Promise<void> {
	for (const part of bodyParts) {
		outgoing.write(part);
		await wait(partPauseMs); // eslint-disable-line no-await-in-loop -- the parts follow each other
	}

	outgoing.end();
}

async function writeBody(outgoing: ClientRequest, bodyForm: BodyForm): Promise<void> {
	switch (bodyForm) {
		case 'whole': {
			outgoing.end(bodyParts.join(''));
			return;
		}

		case 'parts':
		case 'chunked': {
			await writeParts(outgoing);
			return;
		}

		case 'continue': {
			outgoing.once('continue', () => {
				outgoing.end(bodyParts.join(''));
			});
			outgoing.flushHeaders();
		}
	}
}

/** Sends requests at a steady rate and returns what came of each. */
export async function runSingleRunCallers(settings: CallerSettings, getAddresses: () => readonly string[]): Promise<readonly Attempt[]> {
	const random = createRandom(settings.seed);
	const attempts: Attempt[] = [];
	const keptAgent = new http.Agent({keepAlive: true, maxSockets: Number.POSITIVE_INFINITY});

	async function send(address: string, {isStream, isKept, bodyForm}: Action, {key, requestId, remainingMs, isFirst, fate}: AttemptHead): Promise<Answer> {
		const [hostname = '', port = ''] = address.split(':');
		const framing = bodyForm === 'chunked' ? {'transfer-encoding': 'chunked'} : {'content-length': String(bodyParts.join('').length)};
		const outgoing = http.request({
			hostname, port, method: 'POST', path: `${isStream ? streamPrefix : '/book/'}${key}`, agent: isKept && isFirst ? keptAgent : false,
			headers: {
				...formatCallHeaders({
					host: 'a.example', requestId, remainingMs: Math.floor(remainingMs), key: 'key-1', promptTokens: undefined,
				}),
				...framing,
				[fateHeader]: JSON.stringify(fate),
				...(bodyForm === 'continue' ? {expect: '100-continue'} : {}),
			},
		});
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				outgoing.destroy();
			}, remainingMs);
			let answer: Answer = {status: undefined, isComplete: false, retryAfterMs: undefined};
			outgoing.on('error', () => undefined).on('close', () => {
				clearTimeout(timer);
				resolve(answer);
			}).on('response', response => {
				answer = {status: response.statusCode, isComplete: false, retryAfterMs: parseRetryAfter(response.headers)};
				response.on('error', () => undefined).on('end', () => {
					answer = {...answer, isComplete: response.complete};
					// A caller that was answered before it has sent its body sends nothing more.
					if (!outgoing.writableEnded) {
						outgoing.destroy();
					}
				}).resume();
			});
			void writeBody(outgoing, bodyForm);
		});
	}

	async function runAction(action: Action): Promise<void> {
		const endsAt = performance.now() + patienceMs;
		for (const [index, fate] of action.fates.entries()) {
			const addresses = getAddresses();
			const address = addresses[Math.floor((action.addressFractions[index] ?? 0) * addresses.length)] ?? '';
			const key = `${action.number}-${index}`;
			const sentAt = performance.now();
			// eslint-disable-next-line no-await-in-loop -- a request is repeated after its answer
			const {status, isComplete, retryAfterMs = usualRetryMs} = await send(address, action, {
				key, requestId: `q-${action.idNumber}-${index}`, remainingMs: endsAt - sentAt, isFirst: index === 0, fate,
			});
			const endedAt = performance.now();
			attempts.push({
				key, action: action.number, address, fate, status, isComplete, sentAt, endedAt,
			});
			if (status === undefined || !promisingStatuses.has(status) || endsAt - endedAt < shortestPatienceMs) {
				return;
			}

			await wait(Math.min(retryAfterMs, (endsAt - endedAt) / 3)); // eslint-disable-line no-await-in-loop -- as above
		}
	}

	const actions: Array<Promise<void>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < settings.durationMs) {
		const dueCount = (performance.now() - startedAt) * settings.actionsPerSecond / 1000;
		while (actions.length < dueCount) {
			actions.push(runAction(drawAction(actions.length + 1, random, settings)));
		}

		await wait(stepMs); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(actions);
	keptAgent.destroy();
	return attempts;
}
