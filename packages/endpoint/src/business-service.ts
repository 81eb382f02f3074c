/**
Client of a business service. It never retries a call, because a call that is not idempotent must not run twice; undici
does not retry such calls either.
*/
import type {
	Milliseconds, Ran, ServiceAnswer, ServiceWork,
} from '@currantcross/core/types';
import {
	Agent, buildConnector, request, type Dispatcher,
} from 'undici';
import {createPieceInterceptor} from './body-pieces.js';
import {createHeldConnections} from './held-connections.js';
import {createResetDetector} from './reset-detector.js';
import {createHeadInterceptor} from './response-heads.js';

/** Outcome of a call; on failure, `ran` says whether the service may have run it. */
export type ServiceCallOutcome
	= | Readonly<{kind: 'answered'; answer: ServiceAnswer}>
		| Readonly<{kind: 'failed'; ran: Ran; detail: string}>;

export type BusinessServiceClient = Readonly<{
	/** Calls the service once. Never throws. */
	call(work: ServiceWork, timeoutMs: Milliseconds): Promise<ServiceCallOutcome>;
}>;

/** Maximum length of an answer, which the agent holds as a whole. */
const maximumAnswerBytes = 8_388_608;

function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function getHeaders(work: ServiceWork): Record<string, string> {
	return {
		...(work.contentType === undefined ? {} : {'content-type': work.contentType}),
		...(work.idempotencyKey === undefined ? {} : {'idempotency-key': work.idempotencyKey}),
	};
}

/** Returns the URL of a path at the service. A path such as `//host/` can't change the host. */
function getTargetUrl(serviceUrl: string, path: string): URL {
	const target = new URL(serviceUrl);
	const [pathname = '/', ...search] = path.split('?');
	target.pathname = pathname;
	target.search = search.join('?');
	return target;
}

/** Creates the client of the service at a URL. */
export function createBusinessServiceClient(url: string): BusinessServiceClient {
	// Connections are not reused: a call that fails on a stale connection can't be told from a call that ran.
	const heldConnections = createHeldConnections();
	const resetDetector = createResetDetector(buildConnector({}), heldConnections.watchConnection);
	const dispatcher = new Agent({
		pipelining: 0, keepAliveTimeout: 1, maxResponseSize: maximumAnswerBytes, connect: resetDetector.connect,
	}).compose(heldConnections.intercept, resetDetector.intercept, createPieceInterceptor(), createHeadInterceptor());

	return {
		async call(work, timeoutMs) {
			try {
				const response = await request(getTargetUrl(url, work.path), {
					method: work.method,
					headers: getHeaders(work),
					...(work.body === '' ? {} : {body: work.body}),
					dispatcher,
					signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
				});
				const contentType = response.headers['content-type'];
				const answer = {
					status: response.statusCode,
					contentType: (Array.isArray(contentType) ? contentType[0] : contentType) ?? 'application/octet-stream',
					body: await response.body.text(),
				};
				return {kind: 'answered', answer};
			} catch (error) {
				const ran = isConnectionRefused(error) ? 'no' : 'unknown';
				return {kind: 'failed', ran, detail: 'the service did not answer'};
			}
		},
	};
}
