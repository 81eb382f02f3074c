/**
Converts values caught by a `catch` clause, whose type is unknown, to errors.
*/

/** Returns the thrown value if it is an error, otherwise a new error whose message is the value as a string. */
export function toError(thrown: unknown): Error {
	return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Returns the message of a thrown value. */
export function getErrorText(thrown: unknown): string {
	return toError(thrown).message;
}
