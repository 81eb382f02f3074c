/**
A user's mistake: told in one line, without a stack trace, with exit code 2.
*/

/** Exit codes of the command. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;

/** A wrong setting, flag, file or ticket. The message names the file, the key's path and what is wanted. */
export class UsageError extends Error {
	override name = 'UsageError';
}
