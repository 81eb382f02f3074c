/**
Reads JSON settings files and validates them against a schema.
*/
import {getProblems} from '@currantcross/core/ticket';
import type {z} from 'zod';
import {readJsonFile} from './commands.js';
import {UsageError} from './usage-error.js';

/**
Reads a settings file and validates it.

@throws UsageError with the file, the path of the invalid key, and the expected value.
*/
export function readSettingsFile<Settings>(file: string, schema: z.ZodType<Settings>): Settings {
	const result = schema.safeParse(readJsonFile(file));
	if (result.success) {
		return result.data;
	}

	const [problem] = getProblems(result.error);
	throw new UsageError(`${file}: ${problem?.path ?? ''}: ${problem?.message ?? ''}`);
}
