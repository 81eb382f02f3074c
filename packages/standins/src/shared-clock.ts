/**
A clock that all threads of a process share, so that times of one can be compared with those of another.
*/
import process from 'node:process';

const nanosecondsPerMicrosecond = 1000n;
const microsecondsPerMillisecond = 1000;

/** Returns the time in milliseconds since an unspecified moment. */
export function getSharedTime(): number {
	return Number(process.hrtime.bigint() / nanosecondsPerMicrosecond) / microsecondsPerMillisecond;
}
