/**
Errors caused by the user. They are printed as one line without a stack trace, and the command exits with code 2.
*/

/** Exit codes of the command line. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;

/** An invalid setting, flag, file or ticket. The message names the file, the key's path and what is expected. */
export class UsageError extends Error {
	override name = 'UsageError';
}
