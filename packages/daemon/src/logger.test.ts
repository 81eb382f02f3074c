/**
Tests of the format of log lines.
*/
import {expect, test} from 'vitest';
import {formatLogLine} from './logger.js';

test('formatLogLine quotes values that are empty or have whitespace, quotes, equals signs or backslashes, and omits undefined values', () => {
	const line = formatLogLine({
		plain: 'a-1/b.c:8', spaced: 'two words', equals: 'a=b', quote: 'say "no"', empty: '', lines: 'a\nb', back: String.raw`a\b`, number: 1.5, flag: false, none: undefined,
	});
	expect(line).toBe(String.raw`plain=a-1/b.c:8 spaced="two words" equals="a=b" quote="say \"no\"" empty="" lines="a\nb" back="a\\b" number=1.5 flag=false`);
});
