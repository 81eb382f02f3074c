/**
Interceptors for the shared key that authenticates calls between processes.
*/
import {createHash, timingSafeEqual} from 'node:crypto';
import {Code, ConnectError, type Interceptor} from '@connectrpc/connect';

const sharedKeyHeader = 'x-currantcross-key';
const refusalText = 'the shared key is missing or wrong';

function getDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** Creates a client interceptor that adds the key to each call. */
export function createClientKeyInterceptor(sharedKey: string): Interceptor {
	return next => async request => {
		request.header.set(sharedKeyHeader, sharedKey);
		return next(request);
	};
}

/** Returns whether a server rejected the key of a call, and not something else that answers in its place, such as by status 401. */
export function isKeyRefusal(error: unknown): boolean {
	return error instanceof ConnectError && error.code === Code.Unauthenticated && error.rawMessage === refusalText;
}

/** Creates a server interceptor that rejects calls without the right key with `unauthenticated`. */
export function createServerKeyInterceptor(sharedKey: string): Interceptor {
	const expected = getDigest(sharedKey);
	return next => async request => {
		const actual = getDigest(request.header.get(sharedKeyHeader) ?? '');
		if (!timingSafeEqual(actual, expected)) {
			throw new ConnectError(refusalText, Code.Unauthenticated);
		}

		return next(request);
	};
}
