/**
The shared key that each call between processes carries. A peer without it is refused.
*/
import {createHash, timingSafeEqual} from 'node:crypto';
import {Code, ConnectError, type Interceptor} from '@connectrpc/connect';

const headerName = 'x-currantcross-key';

function getDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** Creates an interceptor that adds the key to each call of a client. */
export function createKeySender(sharedKey: string): Interceptor {
	return next => async request => {
		request.header.set(headerName, sharedKey);
		return next(request);
	};
}

/** Creates an interceptor that refuses calls without the key with `unauthenticated`. */
export function createKeyChecker(sharedKey: string): Interceptor {
	const expected = getDigest(sharedKey);
	return next => async request => {
		const actual = getDigest(request.header.get(headerName) ?? '');
		if (!timingSafeEqual(actual, expected)) {
			throw new ConnectError('the shared key is missing or wrong', Code.Unauthenticated);
		}

		return next(request);
	};
}
