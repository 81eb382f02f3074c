/**
Settings files: JSON, checked whole by a schema.
*/
import {getProblems} from '@currantcross/core/ticket';
import type {z} from 'zod';
import {readJsonFile} from './commands.js';
import {UsageError} from './usage-error.js';

/**
Reads a file and checks it.

@throws UsageError that names the file, the key's path and what is wanted.
*/
export function readSettingsFile<Settings>(file: string, schema: z.ZodType<Settings>): Settings {
	const result = schema.safeParse(readJsonFile(file));
	if (result.success) {
		return result.data;
	}

	const [problem] = getProblems(result.error);
	throw new UsageError(`${file}: ${problem?.path ?? ''}: ${problem?.message ?? ''}`);
}
