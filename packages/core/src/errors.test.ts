/**
Compares the response of every kind of error with a golden file.
*/
import {expect, test} from 'vitest';
import {
	createNotRunFailure, errorTable, getErrorBody, tryGetRetryAfterMs, type ErrorKind,
} from './errors.js';

function isErrorKind(kind: string): kind is ErrorKind {
	return kind in errorTable;
}

test('returns the expected status, body and retry delay for every kind of error', async () => {
	const lines = Object.keys(errorTable).filter(kind => isErrorKind(kind)).map(kind => {
		const failure = createNotRunFailure(kind);
		return `${errorTable[kind].status} ${JSON.stringify(getErrorBody(failure, 'r1'))} ${tryGetRetryAfterMs(failure) ?? 'never'}`;
	});
	await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot('golden/error-table.txt');
});
