/**
Fails responses whose head is none that HTTP allows, whatever they say of their request, or names a transfer coding that isn't decoded. undici
checks only part of it.
*/
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import VError from 'verror';

const lowestStatus = 100;
const switchingProtocolsStatus = 101;
const highestStatus = 599;

/** Returns whether a response may have a status, informational ones included. No request asks for another protocol. */
function isPossibleStatus(status: number): boolean {
	return status >= lowestStatus && status <= highestStatus && status !== switchingProtocolsStatus;
}

/** Transfer codings that the parser removes. */
const decodedCodings: ReadonlySet<string> = new Set(['chunked', 'identity']);

function isDecoded(headers: IncomingHttpHeaders): boolean {
	const coding = headers['transfer-encoding'];
	return coding === undefined || (typeof coding === 'string' && decodedCodings.has(coding.trim().toLowerCase()));
}

/** Creates an interceptor that fails such responses and closes their connections. */
export function createHeadInterceptor(): Dispatcher.DispatcherComposeInterceptor {
	return dispatch => (options, handler) => dispatch(options, {
		onRequestStart(controller, context) {
			handler.onRequestStart?.(controller, context);
		},
		onResponseStart(controller, statusCode, headers, statusMessage) {
			if (!isPossibleStatus(statusCode)) {
				controller.abort(new VError({name: 'InvalidStatus'}, 'the response has the status %d', statusCode));
			} else if (isDecoded(headers)) {
				handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
			} else {
				controller.abort(new VError({name: 'UnknownCoding'}, 'the response has the transfer coding %s', headers['transfer-encoding']));
			}
		},
		onResponseData(controller, chunk) {
			handler.onResponseData?.(controller, chunk);
		},
		onResponseEnd(controller, trailers) {
			handler.onResponseEnd?.(controller, trailers);
		},
		onResponseError(controller, error) {
			handler.onResponseError?.(controller, error);
		},
	});
}
