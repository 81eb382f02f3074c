/**
The identity of one life of a process.
*/
import {randomBytes} from 'node:crypto';

const incarnationBytes = 9;

/** Returns a new incarnation, unique with near certainty. */
export function createIncarnation(): string {
	return randomBytes(incarnationBytes).toString('base64url');
}
