/**
Errors as values of an unknown type, which is how a `catch` gets them.
*/

/** Returns the error itself, or one that names the value that was thrown in its place. */
export function getError(thrown: unknown): Error {
	return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Returns the text of an error. */
export function getErrorText(thrown: unknown): string {
	return getError(thrown).message;
}
