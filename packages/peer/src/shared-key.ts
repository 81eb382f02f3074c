/**
Interceptors for the shared key that authenticates calls between processes.
*/
import {createHash, timingSafeEqual} from 'node:crypto';
import {Code, ConnectError, type Interceptor} from '@connectrpc/connect';

const sharedKeyHeader = 'x-currantcross-key';

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

/** Creates a server interceptor that rejects calls without the right key with `unauthenticated`. */
export function createServerKeyInterceptor(sharedKey: string): Interceptor {
	const expected = getDigest(sharedKey);
	return next => async request => {
		const actual = getDigest(request.header.get(sharedKeyHeader) ?? '');
		if (!timingSafeEqual(actual, expected)) {
			throw new ConnectError('the shared key is missing or wrong', Code.Unauthenticated);
		}

		return next(request);
	};
}
