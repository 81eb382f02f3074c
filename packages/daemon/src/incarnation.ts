/**
Identifiers that tell one run of a process from another.
*/
import {randomBytes} from 'node:crypto';

const incarnationBytes = 9;

/** Returns a random incarnation of 72 bits, so that collisions are negligible. */
export function createIncarnation(): string {
	return randomBytes(incarnationBytes).toString('base64url');
}
