/**
Length classes of prompts.
*/
import {maximumTokensByClass, type PromptClass, type TokenCount} from './types.js';

/** The classes, from the most to the least urgent. */
export const promptClasses = ['short', 'medium', 'long'] as const satisfies readonly PromptClass[];

/** Returns the class of a prompt of the given length. */
export function getPromptClass(promptTokens: TokenCount): PromptClass {
	if (promptTokens <= maximumTokensByClass.short) {
		return 'short';
	}

	return promptTokens <= maximumTokensByClass.medium ? 'medium' : 'long';
}

/** Returns the classes whose queued prompts go before a new prompt of the class: the class itself and all more urgent ones. */
export function getClassesAhead(promptClass: PromptClass): readonly PromptClass[] {
	return promptClasses.slice(0, promptClasses.indexOf(promptClass) + 1);
}
