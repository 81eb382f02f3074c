/**
The table from kind to answer, whole.
*/
import {expect, test} from 'vitest';
import {
	createNotRunFailure, errorTable, getErrorBody, tryGetRetryAfterMs, type ErrorKind,
} from './errors.js';

function isErrorKind(kind: string): kind is ErrorKind {
	return kind in errorTable;
}

test('every kind has its answer', async () => {
	const lines = Object.keys(errorTable).filter(kind => isErrorKind(kind)).map(kind => {
		const failure = createNotRunFailure(kind);
		return `${errorTable[kind].status} ${JSON.stringify(getErrorBody(failure, 'r1'))} ${tryGetRetryAfterMs(failure) ?? 'never'}`;
	});
	await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot('golden/error-table.txt');
});
